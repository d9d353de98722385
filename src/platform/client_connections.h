// Client connections of the platform: reads requests, writes answers, bounds what either may take.
//
// One request at a time on a connection; what follows waits, bounded. Connections that say nothing, or never
// end a request, are answered or closed within `patience`; idle ones make room for new ones. Answers of one
// turn of the loop leave in one write.
//
// Every connection that this side ends is ended in one way (see end() and retire()): no request may lie
// unread, what was written goes out, then a FIN; what still comes is read and thrown away, for a bounded time
// and up to a bounded amount; then it is closed. A close over unread bytes would be a reset, and take the
// answer with it.
#pragma once

#include <array>
#include <list>
#include <memory>
#include <unordered_map>

#include "control/send_preconditions.h"
#include "net/event_loop.h"
#include "platform/request_lifecycle.h"

namespace gorsenotch::platform {

// Why a connection ended; all but `peer` are this side's doing.
enum class EndReason {
    closed_by_peer,     // its client closed it, or it broke
    close_requested,    // its client had asked for the close
    idle,               // it had rested for long
    request_timeout,    // new, and nothing had come
    evicted,            // it made room
    at_capacity,        // refused unread
    draining,           // this process stops
    bad_request,        // what came can't be read, or did not end in time
    pipeline_overflow,  // behind an open request
    stream_broken       // or handed back
};
constexpr std::array<const char*, 10> kEndReasonNames = {
    "closed_by_peer", "close_requested", "idle",        "request_timeout",   "evicted",
    "at_capacity",    "draining",        "bad_request", "pipeline_overflow", "stream_broken"};

class ClientConnections {
public:
    static constexpr std::size_t kEndingMost = 16;
    struct Config {
        std::string listen;
        std::size_t most = 300;             // connections that serve; kEndingMost more may be ending
        std::size_t most_bytes = 16 << 20;  // request bodies held, in sum
        Millis patience = 2000;             // from the first byte to the last of a request, or silence
        Millis least_idle = 2000;           // before an idle connection may be closed
        Millis most_idle = 10000;
    };
    ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named, RequestLifecycle& relay,
                      Config config);
    ~ClientConnections();

    int listen();  // 0 or a libuv code
    int port() const { return listener_ ? listener_->port() : 0; }
    void drain();  // no longer ready; what comes is served still
    // Listens no more; answers end their connections, idle ones close. To be called until listening() is
    // false.
    void stop_accepting();
    bool listening() const { return listener_ != nullptr; }
    std::size_t connections() const { return all_.size(); }

    struct Counters {
        std::uint64_t accepted = 0, bad = 0, accept_failed = 0;
        std::array<std::uint64_t, kEndReasonNames.size()> ended{};
        std::uint64_t of(EndReason reason) const { return ended[static_cast<std::size_t>(reason)]; }
        std::array<std::uint64_t, control::kCloseBlockReasonNames.size()> close_denials{};
    };
    const Counters& counters() const { return counters_; }

private:
    struct Connection;
    using Connections = std::list<std::unique_ptr<Connection>>;
    void accept(std::unique_ptr<net::TcpStream> stream);
    void data(Connection& connection, std::string_view bytes);
    void read(Connection& connection, std::string_view bytes);
    void headers(Connection& connection);
    void complete(Connection& connection);
    void answer(Connection& connection, int status, std::string_view why, Millis pause, bool close);
    void next(Connection& connection);
    Connection& adopt(std::unique_ptr<net::TcpStream> stream);
    // A FIN after what was written; what comes is thrown away, then it is gone.
    void end(Connection& connection, EndReason reason);
    // Ends one that rests; false: something lies unread on it, which is read first.
    bool retire(Connection& connection, EndReason reason);
    void erase(Connection& connection);
    void lose(Connection& connection);     // it went under a request that may be open
    void abandon(Connection& connection);  // it is given up under a request that may be open
    void release(Connection& connection);  // the bytes of its body count no more
    void send(Connection& connection, std::string_view bytes);
    void flush();
    void sweep();
    bool make_room();
    void accept_failed();
    Connection* longest_ending();
    Connection* longest_resting();

    net::EventLoop& loop_;
    const settings::NamedSettings& named_;
    RequestLifecycle& lifecycle_;
    const Config config_;
    std::unique_ptr<net::TcpListener> listener_;
    Connections all_, dead_;  // dead: closed in a callback of their own, freed by the next turn
    std::vector<Connection*> dirty_;
    net::Timer sweeper_, cleanup_;
    net::DeferredCall turn_;
    bool draining_ = false, stopped_accepting_ = false;
    std::size_t bytes_ = 0;
    std::size_t ending_ = 0;  // connections that end: they count to all_, not to Config::most
    Counters counters_;
};

}  // namespace gorsenotch::platform
