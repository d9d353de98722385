// The listener for clients, and the limits of their connections: how many there are, which one is evicted to
// make room for a new one, and their timeouts. ClientConnection handles the traffic on each connection.
//
// Idle connections are evicted to make room. Connections that send nothing, or no complete request, are
// answered or closed within ClientConnectionLimits::request_timeout. Answers of one event loop iteration are
// written with one system call per connection.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/deferred_call.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"
#include "platform/client_connection.h"
#include "platform/request_lifecycle.h"

namespace gorsenotch::platform {

// Ownership: the listener, all connections and their shared state. The event loop, the settings, the
// lifecycle and the memory budget have to outlive it. Threading: the event loop's thread. Errors: listen()
// returns a libuv code; a failed accept is counted and closes an idle connection. Times: ms.
class ClientConnections : private ClientConnection::Owner {
public:
    // Connections that may be ending, in addition to Config::limits.max_connections.
    static constexpr std::size_t kMaxEndingConnections = 16;
    using Counters = ClientConnectionCounters;
    struct Config {
        std::string listen;  // address and port
        ClientConnectionLimits limits;
    };

    ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named, RequestLifecycle& lifecycle,
                      control::MemoryBudget& memory, Config config);
    ~ClientConnections() override;

    // Starts listening; returns 0 or a libuv code.
    int listen();
    int port() const { return listener_ ? listener_->port() : 0; }
    // Makes the readiness check fail. Requests are still served, up to `refuse_requests_from`; later ones are
    // refused with 503, also on connections that are open for longer.
    void drain(Millis refuse_requests_from) {
        group_.draining = true;
        group_.refuse_requests_from = refuse_requests_from;
    }
    // Refuses the requests of which only a part has been received. Guards against one whose last byte arrives
    // just before this process is killed.
    void refuse_incomplete_requests();
    // Accepts the connections in the accept queue, then closes the listener. Idle connections are closed at
    // once, the others after their answers. If accepting fails temporarily, the listener stays open: call
    // repeatedly until listening() is false.
    void stop_accepting();
    bool listening() const { return listener_ != nullptr; }
    std::size_t connections() const { return connections_.size(); }
    // Bytes of answers to all clients that have not been handed to the kernel.
    std::size_t unsent_bytes() const;
    const Counters& counters() const { return group_.counters; }

private:
    // ---- ClientConnection::Owner ----
    void schedule_flush(ClientConnection& connection) override;
    void remove(ClientConnection& connection) override;

    void on_accepted(std::unique_ptr<net::TcpStream> stream);
    void on_accept_failed();
    ClientConnection& add(std::unique_ptr<net::TcpStream> stream);
    bool make_room();
    // Calls `visit` for each connection; it may remove that connection.
    template <class Visit>
    void for_each_connection(Visit visit);
    ClientConnection* longest_ending();
    ClientConnection* longest_idle();
    void flush();
    void enforce_timeouts();

    net::EventLoop& loop_;
    const std::string listen_address_;
    ClientConnectionGroup group_;
    std::unique_ptr<net::TcpListener> listener_;
    ClientConnection::List connections_;
    ClientConnection::List removed_;  // closed within their own callbacks; freed in the next iteration
    std::vector<ClientConnection*> to_flush_;
    net::Timer timeout_timer_;
    net::Timer cleanup_timer_;
    net::DeferredCall flush_call_;
};

}  // namespace gorsenotch::platform
