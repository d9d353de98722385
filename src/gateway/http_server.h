// The gateway's HTTP server: accepts client connections and owns them.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "control/memory_budget.h"
#include "gateway/client_connection.h"
#include "gorsenotch/settings.h"
#include "net/deferred_call.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::gateway {

// Owns the listener and all client connections. Threading: the loop's thread. Must be destroyed before the
// RequestLifecycle and the loop.
class HttpServer : private ConnectionOwner {
public:
    // `instance` makes request ids unique across all gateways and their restarts.
    HttpServer(net::EventLoop& loop, const settings::ProgramSettings& program, RequestLifecycle& lifecycle,
               control::MemoryBudget& memory, Environment& environment, std::uint64_t instance);
    ~HttpServer() override;

    // Listens on the settings' address. Returns 0 or a libuv error code.
    int listen();
    int port() const;
    // Stops accepting: closes the listener and idle connections. Requests that still arrive on open
    // connections are rejected.
    void drain();
    void close_idle_connections();
    // Rejects the requests of which only a part has been received.
    void reject_incomplete_requests();
    std::size_t connections() const { return connections_.size(); }
    // The largest number of bytes queued at any time for one client, beyond the kernel's buffers.
    std::size_t peak_queued_bytes() const { return peak_queued_bytes_; }

private:
    using Connections = std::list<std::unique_ptr<ClientConnection>>;

    std::string next_request_id() override;
    bool is_draining() const override { return draining_; }
    void schedule_flush(ClientConnection& connection) override;
    void cancel_flush(ClientConnection& connection) override;
    void record_queued_bytes(std::size_t bytes) override;
    void on_closed(ClientConnection& connection) override;

    void on_accepted(std::unique_ptr<net::TcpStream> stream);
    void on_accept_error(int error);
    void flush_all();
    void for_each_connection(void (ClientConnection::*call)());

    net::EventLoop& loop_;
    const settings::ProgramSettings& program_;
    RequestLifecycle& lifecycle_;
    control::MemoryBudget& memory_;
    Environment& environment_;
    const std::uint64_t instance_;
    std::uint64_t request_count_ = 0;
    std::size_t max_connections_ = 0;  // connections beyond it are answered with 529
    std::size_t peak_queued_bytes_ = 0;
    std::size_t rejected_connections_ = 0;  // connections_ beyond max_connections_
    bool draining_ = false;
    std::uint64_t accept_failures_ = 0;  // since the process started
    std::optional<Millis> accept_failure_logged_at_;
    std::unique_ptr<net::TcpListener> listener_;
    Connections connections_;
    Connections closed_connections_;  // freed in a later loop turn, as their callbacks may be running
    std::vector<ClientConnection*> flush_queue_;  // connections with output of this loop turn
    net::DeferredCall flush_call_;
    net::Timer cleanup_timer_;
};

}  // namespace gorsenotch::gateway
