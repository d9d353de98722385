// One gateway on the platform: configuration, listener, discovery, signals; the rest is the Relay's.
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

class Node : Ports {
public:
    // `file`: of the configuration, read again by reload().
    Node(net::Loop& loop, Config config, std::string file);
    ~Node();
    // Listens as soon as the list has come, or after a moment without it.
    void start();
    std::function<void(int)> on_refused;  // the address to listen on was refused, with a libuv code
    void reload();
    // Serves what still comes for a while, then what is open, then calls `done`.
    void stop(std::function<void()> done);

private:
    Millis now() override { return net::now(); }
    void start(const std::string& address, std::string request, std::shared_ptr<UpstreamExchange> attempt,
               Connection connection) override;
    void pause(const UpstreamExchange& attempt, bool on) override { upstream_.pause(attempt, on); }
    void close(const UpstreamExchange& attempt) override { upstream_.close(attempt); }
    bool connected(const std::string& address) override { return upstream_.idle_at(address); }
    void log(const char* level, const char* event, const std::string& text) override;

    void open();
    void try_reload();
    void drain_step();
    void status();

    net::Loop& loop_;
    const Config config_;
    const std::string file_;
    EndpointList endpoints_;
    proxy::Upstream upstream_;
    Relay relay_;
    Clients clients_;
    EndpointWatcher watch_;
    proxy::Ticker ticker_;
    net::Timer drainer_, opener_, reloader_, status_;
    bool open_ = false, listen_failed_ = false;
    Millis reload_asked_ = 0;
    std::string reload_refused_;  // why the configuration could not be taken the last time
    Millis stopped_ = 0, started_ = 0;
    std::optional<control::DrainSchedule> departure_;
    std::function<void()> done_;
};

}  // namespace gorsenotch::platform
