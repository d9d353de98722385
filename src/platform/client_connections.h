// The listener for clients, and what bounds their connections: how many there are, which of them makes room
// for a new one, and for how long each may take. What happens on a connection is ClientConnection's.
//
// Idle connections make room for new ones; ones that say nothing, or never end a request, are answered or
// closed within ClientConnectionLimits::request_timeout. Answers of one turn of the event loop leave in one
// write.
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

// Ownership: the listener, all connections and what they share. The event loop, the settings and the
// lifecycle have to outlive it. Threading: the event loop's thread. Errors: listen() returns a libuv code; a
// failed accept is counted and closes an idle connection. Times: ms.
class ClientConnections : private ClientConnection::Owner {
public:
    // Connections that may be ending beside Config::limits.max_connections.
    static constexpr std::size_t kEndingMost = 16;
    using Counters = ClientConnectionCounters;
    struct Config {
        std::string listen;  // address and port
        ClientConnectionLimits limits;
    };

    ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named, RequestLifecycle& lifecycle,
                      Config config);
    ~ClientConnections() override;

    int listen();  // 0 or a libuv code
    int port() const { return listener_ ? listener_->port() : 0; }
    // The readiness check says no from now on; what comes is served still.
    void drain() { group_.draining = true; }
    // Listens no more; answers end their connections, idle ones close. To be called until listening() is
    // false.
    void stop_accepting();
    bool listening() const { return listener_ != nullptr; }
    std::size_t connections() const { return connections_.size(); }
    const Counters& counters() const { return group_.counters; }

private:
    // ---- ClientConnection::Owner ----
    void schedule_flush(ClientConnection& connection) override;
    void remove(ClientConnection& connection) override;

    void on_accepted(std::unique_ptr<net::TcpStream> stream);
    void on_accept_failed();
    ClientConnection& add(std::unique_ptr<net::TcpStream> stream);
    bool make_room();
    ClientConnection* longest_ending();
    ClientConnection* longest_idle();
    void flush();
    void enforce_timeouts();

    net::EventLoop& loop_;
    const std::string listen_address_;
    ClientConnectionGroup group_;
    std::unique_ptr<net::TcpListener> listener_;
    ClientConnection::List connections_;
    ClientConnection::List removed_;  // gone in a callback of their own, freed by the next turn
    std::vector<ClientConnection*> to_flush_;
    net::Timer timeout_timer_;
    net::Timer cleanup_timer_;
    net::DeferredCall flush_call_;
};

}  // namespace gorsenotch::platform
