// The clients' side of the gateway: accepts connections and owns them.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gateway/client_connection.h"
#include "gorsenotch/settings.h"
#include "net/deferred_call.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::gateway {

// Owns the listener and all connections of clients. Threading: the loop's thread. Must be destroyed before
// the RequestLifecycle and the loop.
class HttpServer : private ConnectionOwner {
public:
    // `instance` makes request ids unique over all gateways and their restarts.
    HttpServer(net::EventLoop& loop, const settings::Program& program, RequestLifecycle& lifecycle,
               Environment& environment, std::uint64_t instance);
    ~HttpServer() override;

    // Listens on the settings' address; 0 or a libuv error.
    int listen();
    int port() const;
    // Accepts no more: closes the listener and idle connections; requests that still come are refused.
    void drain();
    std::size_t connections() const { return connections_.size(); }
    // The most bytes that ever waited here for one client, beyond the kernel's own buffers.
    std::size_t most_waiting() const { return most_waiting_; }

private:
    using Connections = std::list<std::unique_ptr<ClientConnection>>;

    std::string next_request_id() override;
    bool is_draining() const override { return draining_; }
    void schedule_flush(ClientConnection& connection) override;
    void cancel_flush(ClientConnection& connection) override;
    void record_queued(std::size_t bytes) override;
    void on_closed(ClientConnection& connection) override;

    void on_accepted(std::unique_ptr<net::TcpStream> stream);
    void on_accept_error(int error);
    void flush_all();

    net::EventLoop& loop_;
    const settings::Program& program_;
    RequestLifecycle& lifecycle_;
    Environment& environment_;
    const std::uint64_t instance_;
    std::uint64_t request_count_ = 0;
    std::size_t max_connections_ = 0;  // served at once; more are answered 529
    std::size_t most_waiting_ = 0;
    std::size_t rejected_connections_ = 0;  // among connections_: those beyond max_connections_
    bool draining_ = false;
    std::uint64_t accept_failures_ = 0;  // since the start
    std::optional<Millis> accept_failure_logged_at_;
    std::unique_ptr<net::TcpListener> listener_;
    Connections connections_;
    Connections closed_connections_;  // freed in a turn of their own, as their callbacks may be running
    std::vector<ClientConnection*> unsent_;  // have written in this turn
    net::DeferredCall flush_call_;
    net::Timer cleanup_timer_;
};

}  // namespace gorsenotch::gateway
