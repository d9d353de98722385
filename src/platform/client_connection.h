// One connection of a client: reads requests one at a time, passes them to RequestLifecycle and writes their
// answers.
//
//   reading --request complete--> open --answer ended--> reading
//      \________________________________\___________________\--> ending --> gone
//
// Every connection that this side ends is ended in one way (see end()): no request may lie unread, what was
// written goes out, then a FIN; what still comes is read and thrown away, for a bounded time and up to a
// bounded amount; then it is closed. A close over unread bytes would be a reset, and take the answer with it.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "control/send_preconditions.h"
#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "platform/client.h"
#include "platform/request.h"
#include "platform/request_lifecycle.h"

namespace gorsenotch::platform {

// Why a connection ended; all but `closed_by_peer` are this side's doing.
enum class EndReason {
    closed_by_peer,     // its client closed it, or it broke
    close_requested,    // its client had asked for the close
    idle,               // no request had come on it for long
    request_timeout,    // new, and nothing had come
    evicted,            // it made room for another
    at_capacity,        // rejected without being read
    draining,           // this process stops
    bad_request,        // what came can't be read, or did not end in time
    pipeline_overflow,  // too much came behind an open request
    stream_broken       // or migrated
};
constexpr std::array<const char*, 10> kEndReasonNames = {
    "closed_by_peer", "close_requested", "idle",        "request_timeout",   "evicted",
    "at_capacity",    "draining",        "bad_request", "pipeline_overflow", "stream_broken"};

// Bounds of client connections; times are ms.
struct ClientConnectionLimits {
    std::size_t max_connections = 300;                   // that serve; a few more may be ending
    std::size_t max_body_bytes = std::size_t{16} << 20;  // of requests that are being read, in sum
    Millis request_timeout = 2000;  // from the first byte to the last of a request, or of silence before it
    Millis min_idle = 2000;         // before an idle connection may be closed to make room
    Millis max_idle = 10000;
};

// Counts since the start, for the status line.
struct ClientConnectionCounters {
    std::uint64_t accepted = 0;
    std::uint64_t bad = 0;  // requests that were not taken
    std::uint64_t accept_failed = 0;
    std::array<std::uint64_t, kEndReasonNames.size()> ended{};
    std::array<std::uint64_t, control::kCloseBlockReasonNames.size()> close_denials{};

    std::uint64_t of(EndReason reason) const { return ended[static_cast<std::size_t>(reason)]; }
};

// What all connections of a listener share. Owned by ClientConnections, which alone changes the two flags;
// connections count and account for their bytes in it.
struct ClientConnectionGroup {
    ClientConnectionGroup(const settings::NamedSettings& named_settings, RequestLifecycle& request_lifecycle,
                          const ClientConnectionLimits& connection_limits)
        : named(named_settings), lifecycle(request_lifecycle), limits(connection_limits) {}

    const settings::NamedSettings& named;
    RequestLifecycle& lifecycle;
    const ClientConnectionLimits limits;
    bool draining = false;           // the readiness check says no; requests are served still
    bool accepting_stopped = false;  // answers end their connections
    std::size_t body_bytes = 0;      // of bodies that are being read
    std::size_t ending = 0;          // connections in the state `ending`
    ClientConnectionCounters counters;
};

// Ownership: its socket and the request that is being read. ClientConnections owns it, and frees it in a
// later turn of the event loop than the one in which it is gone. Threading: the event loop's thread. Errors:
// what cannot be read is answered by a status and ends the connection; every call after it is gone changes
// nothing. Times: ms on the clock of net::now().
class ClientConnection : public Client {
public:
    enum class State {
        reading,  // a request is awaited or being read
        open,     // a request is with RequestLifecycle; what comes meanwhile waits, bounded
        ending,   // a FIN was sent; nothing more is read but the client's own close
        gone      // its socket is closed
    };
    class Owner {
    public:
        virtual ~Owner() = default;
        // flush() is to be called in this turn of the event loop.
        virtual void schedule_flush(ClientConnection& connection) = 0;
        // The connection is gone: it is forgotten at once and freed later.
        virtual void remove(ClientConnection& connection) = 0;
    };
    using List = std::list<std::unique_ptr<ClientConnection>>;

    // Both references have to outlive it.
    ClientConnection(Owner& owner, ClientConnectionGroup& group, std::unique_ptr<net::TcpStream> stream);

    // Starts to read what comes.
    void start();
    // Rejects a connection for which there is no room. Nothing of it is read, so its client may come again.
    void reject_unread();
    // Writes what has been answered.
    void flush();
    // Reads what has come behind an answered request.
    void read_pipelined();
    // Ends the connection if it is idle; false: a request is open, or something lies unread on it, which is
    // read first.
    bool close_idle(EndReason reason);
    // Closes the socket.
    void close();
    // Ends what has had its time. `crowded`: idle connections are to make room early.
    void enforce_timeouts(Millis now, bool crowded);

    State state() const { return state_; }
    // No request has begun on it.
    bool idle() const { return state_ == State::reading && !request_began_at_ && pipelined_.empty(); }
    // No request has ever been read on it.
    bool fresh() const { return fresh_; }
    // When it was opened, last answered, or began to end.
    Millis since() const { return since_; }
    bool has_unread_input() const { return stream_->has_unread_input(); }
    bool has_pipelined_input() const { return !pipelined_.empty(); }

    // ---- Client ----
    void begin_stream(std::string_view events) override;
    void send_events(std::string_view events) override;
    void finish_stream() override;
    void abort_stream() override;
    void send_final(int status, Millis retry_after, std::string_view text) override;
    bool has_disconnected() override { return stream_->peer_closed(); }

    // For the owner: its place in the owner's list, and whether a flush is scheduled.
    List::iterator list_position;
    bool flush_scheduled = false;

private:
    enum class Persistence { keep_alive, close };

    void on_data(std::string_view bytes);
    void on_drain();
    void on_closed_by_peer();
    void hold_back(std::string_view bytes);
    void read(std::string_view bytes);
    void note_request_start();
    void reject_malformed();
    void on_headers();
    void on_body(std::string_view bytes);
    void on_request_complete();
    void hand_over_request();
    void answer(int status, std::string_view text, Millis retry_after, Persistence persistence);
    void reject(int status, std::string_view text);
    void await_next_request();
    void end(EndReason reason);
    void disconnect_client();
    void release_body_bytes();
    void send(std::string_view bytes);
    bool is_last_answer() const;
    bool is_request_overdue(Millis now) const;

    Owner& owner_;
    ClientConnectionGroup& group_;
    std::unique_ptr<net::TcpStream> stream_;
    http::Parser parser_;
    State state_ = State::reading;
    std::optional<Inbound> inbound_;   // the request whose body is being read
    bool is_readiness_check_ = false;  // the request asks whether this gateway is ready
    std::uint64_t handle_ = 0;         // of the open request at RequestLifecycle, 0: none
    std::string pipelined_;            // what came behind the open request
    std::string output_;               // what the next flush writes
    std::size_t body_bytes_ = 0;       // of inbound_, as counted in the group
    std::size_t discarded_bytes_ = 0;  // while ending
    Millis since_ = 0;
    std::optional<Millis> request_began_at_;  // when the first byte of the request that is read came
    bool fresh_ = true;
    bool congested_ = false;  // the client reads more slowly than its answer comes
};

}  // namespace gorsenotch::platform
