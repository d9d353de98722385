// One gateway process: its HTTP server, RequestLifecycle, connections to engines and list of engines, on one
// loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/http_server.h"
#include "gorsenotch/settings.h"
#include "net/file_watcher.h"
#include "net/timer.h"
#include "proxy/connection_pool.h"
#include "proxy/wakeup_timer.h"
#include "state/snapshot_store.h"

namespace gorsenotch::gateway {

// Where a gateway keeps what outlives its process.
struct ServeOptions {
    std::string state;    // folder for the last list of engines; empty: it is not saved
    std::string journal;  // file for the Router's events and actions; empty: none
};

// Owns all parts of the process, and its hooks in the loop while it lives. Threading: the loop's thread;
// lists of engines are saved on another. Must be destroyed before the loop.
class Gateway : public Environment {
public:
    Gateway(net::EventLoop& loop, settings::Program program, const ServeOptions& options);
    ~Gateway() override;

    // Begins to serve clients; returns 0, or a libuv error of listening.
    int start();
    int port() const { return server_->port(); }
    // Accepts no more, lets requests end within the drain limit, then answers the rest; calls `done` at the
    // end.
    void drain(std::function<void()> done);
    std::size_t open() const { return lifecycle_->open(); }
    std::size_t most_waiting() const { return server_->most_waiting(); }

private:
    Millis now() override;
    Millis wall_ms() override;
    void start_exchange(const std::string& address, proxy::UpstreamRequest wanted,
                        std::shared_ptr<UpstreamExchange> exchange) override;
    void pause(const UpstreamExchange& exchange, bool on) override;
    void close(const UpstreamExchange& exchange) override;
    void send_detached(const std::string& address, proxy::UpstreamRequest wanted, Millis limit) override;
    void log(const char* level, const char* event, api::Json fields) override;
    void on_stall(Millis for_ms) override;

    void load_initial_list();
    void read_fleet();
    void save_list(std::string text);
    void on_slow_turn(Millis length, const net::EventLoop::Activities& parts);
    void drain_step();

    net::EventLoop& loop_;
    const settings::Program program_;
    const ServeOptions options_;
    std::unique_ptr<state::DecisionObserver> journal_;
    std::shared_ptr<state::SnapshotStore> snapshot_store_;  // shared with the thread that saves
    std::optional<std::string> unsaved_list_;               // newer than the one that is being saved
    bool saving_ = false;
    bool save_failed_ = false;            // the last time
    bool fleet_file_unreadable_ = false;  // the last time
    Millis slow_turn_logged_at_ = 0;
    long slow_turns_ = 0;                                         // since that line
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for work that may end after this object
    std::unique_ptr<proxy::ConnectionPool> connection_pool_;
    std::unique_ptr<RequestLifecycle> lifecycle_;
    std::unique_ptr<HttpServer> server_;
    proxy::WakeupTimer wakeup_timer_;
    net::Timer drain_timer_;
    net::Timer save_retry_timer_;
    bool all_ended_ = false;  // draining has answered every request
    Millis drain_deadline_ = 0;
    std::function<void()> on_drained_;
    std::unique_ptr<net::FileWatcher> fleet_watcher_;
};

}  // namespace gorsenotch::gateway
