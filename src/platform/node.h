// One gateway on the platform: configuration, listener, discovery, signals; the rest is the
// RequestLifecycle's.
//
// Exit codes: 0 stopped by SIGTERM or SIGINT, 3 the configuration was refused, 4 the system refused.
#pragma once

#include <memory>
#include <string>

#include "control/drain_schedule.h"
#include "platform/client_connections.h"
#include "platform/config.h"
#include "platform/endpoint_watcher.h"
#include "proxy/connection_pool.h"
#include "proxy/wakeup_timer.h"

namespace gorsenotch::platform {

int run_node();

class Node : Environment {
public:
    // `file`: of the configuration, read again by reload().
    Node(net::EventLoop& loop, Config config, std::string file);
    ~Node();
    // Listens as soon as the list has come, or after a moment without it.
    void start();
    std::function<void(int)> on_refused;  // the address to listen on was refused, with a libuv code
    void reload();
    // Serves what still comes for a while, then what is open, then calls `done`.
    void stop(std::function<void()> done);

private:
    Millis now() override { return net::now(); }
    void start_exchange(const std::string& address, std::string request,
                        std::shared_ptr<UpstreamExchange> attempt, Connection connection) override;
    void pause(const UpstreamExchange& attempt, bool on) override { connection_pool_.pause(attempt, on); }
    void close(const UpstreamExchange& attempt) override { connection_pool_.close(attempt); }
    bool has_idle_connection(const std::string& address) override {
        return connection_pool_.has_idle(address);
    }
    void log(const char* level, const char* event, const std::string& text) override;

    void open();
    void try_reload();
    void drain_step();
    void status();

    net::EventLoop& loop_;
    const Config config_;
    const std::string file_;
    EndpointList endpoints_;
    proxy::ConnectionPool connection_pool_;
    RequestLifecycle lifecycle_;
    ClientConnections client_connections_;
    EndpointWatcher watch_;
    proxy::WakeupTimer wakeup_timer_;
    net::Timer drainer_, opener_, reloader_, status_;
    bool open_ = false, listen_failed_ = false;
    Millis reload_asked_ = 0;
    std::string reload_refused_;  // why the configuration could not be taken the last time
    Millis stopped_ = 0, started_ = 0;
    std::optional<control::DrainSchedule> drain_schedule_;
    std::function<void()> done_;
};

}  // namespace gorsenotch::platform
