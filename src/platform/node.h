// A gateway node on the platform: configuration, listener, discovery, signals, draining. RequestLifecycle
// handles requests, StatusReporter writes the status line, and ConfigReloader reloads the configuration.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/drain_schedule.h"
#include "control/memory_budget.h"
#include "gorsenotch/settings.h"
#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/config.h"
#include "platform/config_reloader.h"
#include "platform/endpoint_watcher.h"
#include "platform/status_reporter.h"
#include "proxy/connection_pool.h"
#include "proxy/memory_monitor.h"
#include "proxy/wakeup_timer.h"

namespace gorsenotch::platform {

// Runs a node configured by the GW_ environment variables, until it has drained after SIGTERM or SIGINT.
// Returns the exit code: 0 stopped, 3 invalid configuration, 4 the system refused the listen address. The
// reason is written to stderr.
int run_node();

// Ownership: all components of the gateway, and the hooks of the event loop during its lifetime. Threading:
// the event loop's thread. Times: ms on the clock of net::now(). Errors: a failure to listen is reported to
// on_listen_failed; invalid lists and files are logged, and the current ones stay.
class Node : Environment {
public:
    // `file`: the configuration file, for reload(). `memory` has to outlive the event loop.
    Node(net::EventLoop& loop, control::MemoryBudget& memory, Config config, std::string file);
    ~Node() override;
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Starts the node. It listens once the endpoint list was received, or after a short timeout.
    void start();
    std::function<void(int)> on_listen_failed;  // final failure, with a libuv error code
    // Reloads the configuration file.
    void reload() { config_reloader_.reload(); }
    // Drains: serves new requests for a while, then completes open ones, then calls `on_drained`.
    void stop(std::function<void()> on_drained);

private:
    // ---- Environment ----
    Millis now() override { return net::now(); }
    void start_exchange(const std::string& address, proxy::OutboundRequest request,
                        std::shared_ptr<UpstreamExchange> exchange, Connection connection) override;
    void pause(const UpstreamExchange& exchange, bool paused) override {
        connection_pool_.pause(exchange, paused);
    }
    void close(const UpstreamExchange& exchange) override { connection_pool_.close(exchange); }
    void end_sending(const UpstreamExchange& exchange, Millis timeout,
                     std::function<void()> on_peer_closed) override {
        connection_pool_.end_sending(exchange, timeout, std::move(on_peer_closed));
    }
    bool has_idle_connection(const std::string& address) override {
        return connection_pool_.has_idle(address);
    }
    void log(const char* level, const char* event, const std::string& text) override;

    // ---- discovery ----
    std::optional<std::uint64_t> on_list(const std::string& text, bool from_new_address);
    void on_discovery_fault(const std::string& reason);
    void load_cached_list();

    // ---- listener ----
    void listen();
    bool is_listen_retryable(int error) const;

    // ---- drain ----
    Millis earliest_kill() const;
    void drain_step();
    // No request or connection is open, and new connections are no longer expected.
    bool is_idle(Millis now) const;
    bool is_drained() const;

    net::EventLoop& loop_;
    const Config config_;
    control::MemoryBudget& memory_;
    EndpointList endpoints_;
    proxy::ConnectionPool connection_pool_;
    RequestLifecycle lifecycle_;
    ClientConnections client_connections_;
    EndpointWatcher endpoint_watcher_;
    ConfigReloader config_reloader_;
    proxy::MemoryMonitor memory_monitor_;
    StatusReporter status_reporter_;
    proxy::WakeupTimer wakeup_timer_;
    net::Timer drain_timer_;
    net::Timer listen_timer_;
    bool listening_ = false;
    bool listen_failure_logged_ = false;
    Millis started_at_ = 0;
    std::optional<Millis> stopped_at_;  // when stop() was called
    std::optional<control::DrainSchedule> drain_schedule_;
    std::function<void()> on_drained_;
};

}  // namespace gorsenotch::platform
