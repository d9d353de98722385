// A client connection: reads requests one at a time, passes them to RequestLifecycle and writes their
// answers.
//
//   reading --request complete--> open --answer ended--> reading
//      \________________________________\___________________\--> ending --> gone
//
// All connections that this side closes go through end(): no request may be unread; buffered output is
// written, followed by a FIN; then input is read and discarded, for a bounded time and up to a bounded number
// of bytes; then the socket is closed. Closing a socket with unread input would send a reset, and lose the
// answer.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "control/client_progress.h"
#include "control/memory_budget.h"
#include "control/send_preconditions.h"
#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "platform/client.h"
#include "platform/request.h"
#include "platform/request_lifecycle.h"

namespace gorsenotch::platform {

// Why a connection ended; all but `closed_by_peer` are initiated by this side.
enum class EndReason {
    closed_by_peer,     // its client closed it, or it broke
    close_requested,    // its client sent `connection: close`
    idle,               // its idle timeout passed without another request
    request_timeout,    // no first request was received in time
    evicted,            // closed to make room for another connection
    at_capacity,        // rejected without being read
    draining,           // this process is stopping
    bad_request,        // a request was malformed, or incomplete at its timeout
    pipeline_overflow,  // too many bytes were pipelined behind an open request
    stream_broken,      // a stream was aborted, because it broke or was migrated
    client_stalled,     // its client does not read its answers
    memory_full         // a request was refused for lack of memory
};
constexpr std::array<const char*, 12> kEndReasonNames = {
    "closed_by_peer",    "close_requested", "idle",           "request_timeout",
    "evicted",           "at_capacity",     "draining",       "bad_request",
    "pipeline_overflow", "stream_broken",   "client_stalled", "memory_full"};

// Limits of client connections; times are ms.
struct ClientConnectionLimits {
    std::size_t max_connections = 300;  // excluding those that are ending
    Millis request_timeout = 2000;  // from the first to the last byte of a request; also for a first request
    Millis min_idle = 2000;         // idle time before a connection may be closed to make room
    Millis max_idle = 10000;        // idle time after which a connection is closed
    // A client that acknowledges nothing of the rest of its answer for this long is disconnected.
    Millis stall_timeout = control::ClientProgress::kStallTimeout;
};

// Counts since the start, for the status line.
struct ClientConnectionCounters {
    std::uint64_t accepted = 0;
    std::uint64_t bad_requests = 0;      // rejected before RequestLifecycle accepted them
    std::uint64_t refused_draining = 0;  // read too late after the order to stop
    std::uint64_t refused_memory = 0;    // did not fit into the memory budget
    std::uint64_t refused_repeated = 0;  // their transaction id is that of a request that may have run
    std::uint64_t accept_failed = 0;
    std::array<std::uint64_t, kEndReasonNames.size()> ended{};
    std::array<std::uint64_t, control::kCloseBlockReasonNames.size()> close_blocks{};

    std::uint64_t of(EndReason reason) const { return ended[static_cast<std::size_t>(reason)]; }
};

// The state shared by all connections of a listener. Owned by ClientConnections, which alone changes the
// state of the drain; connections update the counters.
struct ClientConnectionGroup {
    ClientConnectionGroup(const settings::NamedSettings& named_settings, RequestLifecycle& request_lifecycle,
                          control::MemoryBudget& memory_budget,
                          const ClientConnectionLimits& connection_limits)
        : named(named_settings),
          lifecycle(request_lifecycle),
          memory(memory_budget),
          limits(connection_limits) {}

    const settings::NamedSettings& named;
    RequestLifecycle& lifecycle;
    control::MemoryBudget& memory;
    const ClientConnectionLimits limits;
    bool draining = false;                       // the readiness check fails; requests are still served
    bool accepting_stopped = false;              // connections are closed after their answer
    std::optional<Millis> refuse_requests_from;  // while draining
    std::size_t ending = 0;                      // connections in the state `ending`
    ClientConnectionCounters counters;

    // A request that is complete only now could not end before this process is killed.
    bool refuses_requests(Millis now) const { return refuse_requests_from && now >= *refuse_requests_from; }
};

// Ownership: its socket and the request being read. ClientConnections owns it, and frees it in a later
// iteration of the event loop than the one in which it is closed. Threading: the event loop's thread. Errors:
// a malformed request is answered with an error status, and the connection ends; calls after the close have
// no effect. Times: ms on the clock of net::now().
class ClientConnection : public Client {
public:
    enum class State {
        reading,  // waits for a request or reads it
        open,     // RequestLifecycle handles a request; further input is buffered, up to a limit
        ending,   // a FIN was sent; input is discarded until the client closes
        gone      // its socket is closed
    };
    // The callbacks of a connection to its owner.
    class Owner {
    public:
        virtual ~Owner() = default;
        // Schedules a call to flush() in this iteration of the event loop.
        virtual void schedule_flush(ClientConnection& connection) = 0;
        // The connection is closed: it is removed at once and freed later.
        virtual void remove(ClientConnection& connection) = 0;
    };
    using List = std::list<std::unique_ptr<ClientConnection>>;

    // Both references have to outlive this object.
    ClientConnection(Owner& owner, ClientConnectionGroup& group, std::unique_ptr<net::TcpStream> stream);

    // Starts reading.
    void start();
    // Rejects the connection because there is no room for it. Its request is not read, so the client may
    // retry.
    void reject_unread();
    // Writes buffered output.
    void flush();
    // Reads input that was pipelined behind an answered request.
    void read_pipelined();
    // Ends the connection if it is idle. Returns false if a request is open, or if there is unread input,
    // which has to be read first.
    bool close_idle(EndReason reason);
    // Refuses a request of which only a part has been received, and ends the connection.
    void refuse_incomplete();
    // Closes the socket.
    void close();
    // Ends the connection if a timeout has passed. `crowded`: use the shorter idle timeout, to free
    // connections.
    void enforce_timeouts(Millis now, bool crowded);

    State state() const { return state_; }
    // No request has begun on it.
    bool idle() const { return state_ == State::reading && !request_began_at_ && pipelined_.empty(); }
    // No request has ever been read on it.
    bool fresh() const { return fresh_; }
    // When it was opened, completed its last answer, or was last active while ending.
    Millis last_activity() const { return last_activity_; }
    // Bytes of answers that have not been handed to the kernel.
    std::size_t unsent_bytes() const { return stream_ ? stream_->queued() + output_.size() : 0; }
    // Bytes were received that nobody has read from the socket.
    bool has_unread_input() const { return stream_->has_unread_input(); }
    // Bytes were read behind the open request and are not parsed yet.
    bool has_pipelined_input() const { return !pipelined_.empty(); }

    // ---- Client ----
    void begin_stream(std::string_view events) override;
    void send_events(std::string_view events) override;
    void finish_stream() override;
    void abort_stream() override;
    void send_final(int status, Millis retry_after, std::string_view text) override;
    bool is_congested() const override;
    std::uint64_t acknowledged_bytes() const override { return stream_ ? stream_->acknowledged_bytes() : 0; }
    bool has_disconnected() override { return stream_->peer_closed(); }

    // For the owner: its place in the owner's list, and whether a flush is scheduled.
    List::iterator list_position;
    bool flush_scheduled = false;

private:
    void on_data(std::string_view bytes);
    void on_drain();
    void on_output_sent();
    void update_reading();
    void on_closed_by_peer();
    void buffer_pipelined(std::string_view bytes);
    void read(std::string_view bytes);
    void record_request_start();
    void reject_malformed();
    void on_headers();
    void on_body(std::string_view bytes);
    void on_request_complete();
    void start_request();
    void answer(int status, std::string_view text, Millis retry_after,
                std::optional<EndReason> end_reason = std::nullopt);
    void reject(int status, std::string_view text);
    void refuse_draining(std::optional<EndReason> end_reason);
    void refuse_repeated();
    void await_next_request();
    void end(EndReason reason);
    void disconnect_client();
    bool reserve_head();
    bool reserve_body(std::size_t bytes);
    void refuse_memory();
    void update_memory();
    std::size_t buffered_bytes() const;
    void send(std::string_view bytes);
    bool is_last_answer() const;
    bool is_end_overdue(Millis now);
    bool is_client_stalled(Millis now);
    bool is_request_overdue(Millis now) const;

    Owner& owner_;
    ClientConnectionGroup& group_;
    std::unique_ptr<net::TcpStream> stream_;
    http::Parser parser_;
    State state_ = State::reading;
    std::optional<Inbound> inbound_;    // the request whose body is being read
    bool is_readiness_check_ = false;   // the request being read is a readiness check
    std::uint64_t handle_ = 0;          // RequestLifecycle's handle of the open request; 0: none
    std::string pipelined_;             // input received behind the open request
    std::string output_;                // written by the next flush
    control::MemoryCharge memory_;      // for what this connection buffers, without inbound_
    std::size_t discarded_bytes_ = 0;   // while ending
    control::ClientProgress progress_;  // while ending, or while reading is paused
    Millis last_activity_ = 0;
    Millis linger_began_at_ = 0;              // while ending: when its output was last taken
    std::optional<Millis> request_began_at_;  // when the first byte of the request being read was received
    bool fresh_ = true;
    bool reading_paused_ = false;  // as the client does not read its answers
};

}  // namespace gorsenotch::platform
