// One gateway on the platform: configuration, listener, discovery, signals. Requests are RequestLifecycle's,
// the status line is StatusReporter's, reading the configuration again is ConfigReloader's.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/drain_schedule.h"
#include "gorsenotch/settings.h"
#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/config.h"
#include "platform/config_reloader.h"
#include "platform/endpoint_watcher.h"
#include "platform/status_reporter.h"
#include "proxy/connection_pool.h"
#include "proxy/wakeup_timer.h"

namespace gorsenotch::platform {

// Runs a node by the GW_ variables until SIGTERM or SIGINT has drained it. Returns the exit code: 0 stopped,
// 3 the configuration was rejected, 4 the system refused the address to listen on. The reason is on stderr.
int run_node();

// Ownership: all components of the gateway, and the hooks of the event loop while it lives. Threading: the
// event loop's thread. Times: ms on the clock of net::now(). Errors: an address that cannot be listened on
// goes to on_listen_failed; lists and files that cannot be taken are logged, and what was in force stays.
class Node : Environment {
public:
    // `file`: of the configuration, read again by reload().
    Node(net::EventLoop& loop, Config config, std::string file);
    ~Node() override;
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Listens as soon as the endpoint list has come, or after a moment without it.
    void start();
    std::function<void(int)> on_listen_failed;  // with a libuv error code; nothing is tried again
    void reload() { config_reloader_.reload(); }
    // Drains: serves what still comes for a while, then what is open, then calls `on_drained`.
    void stop(std::function<void()> on_drained);

private:
    // ---- Environment ----
    Millis now() override { return net::now(); }
    void start_exchange(const std::string& address, std::string request,
                        std::shared_ptr<UpstreamExchange> exchange, Connection connection) override;
    void pause(const UpstreamExchange& exchange, bool on) override { connection_pool_.pause(exchange, on); }
    void close(const UpstreamExchange& exchange) override { connection_pool_.close(exchange); }
    bool has_idle_connection(const std::string& address) override {
        return connection_pool_.has_idle(address);
    }
    void log(const char* level, const char* event, const std::string& text) override;

    // ---- discovery ----
    std::optional<std::uint64_t> on_list(const std::string& text, bool from_new_address);
    void on_discovery_fault(const std::string& reason);
    void take_cached_list();

    // ---- listener ----
    void listen();
    bool is_listen_retried(int error) const;

    // ---- drain ----
    Millis earliest_kill() const;
    void drain_step();
    // Nothing is open, and new connections have ceased to come.
    bool is_quiet(Millis now) const;
    bool is_drained() const;

    net::EventLoop& loop_;
    const Config config_;
    EndpointList endpoints_;
    proxy::ConnectionPool connection_pool_;
    RequestLifecycle lifecycle_;
    ClientConnections client_connections_;
    EndpointWatcher endpoint_watcher_;
    ConfigReloader config_reloader_;
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
