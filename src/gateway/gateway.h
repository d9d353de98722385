// A whole gateway process: settings, fleet file, clients, Core and engines on one loop, until told to stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gateway/http_server.h"
#include "proxy/connection_pool.h"
#include "proxy/wakeup_timer.h"
#include "state/snapshot_store.h"

namespace gorsenotch::gateway {

struct ServeOptions {
    std::string state;    // folder for the last list; empty: none is kept
    std::string journal;  // file for what the Router was told and said; empty: none
};

class Gateway : public Environment {
public:
    Gateway(net::EventLoop& loop, settings::Program program, const ServeOptions& options);
    ~Gateway() override;

    // 0 or a libuv error of listening. Then clients are served.
    int start();
    int port() const { return server_->port(); }
    // Takes no more, lets streams end within the drain limit, then answers the rest; `done` at the end.
    void drain(std::function<void()> done);
    std::size_t open() const { return lifecycle_->open(); }
    std::size_t most_waiting() const { return server_->most_waiting(); }

private:
    Millis now() override;
    Millis wall_ms() override;
    void start_exchange(const std::string& address, engine::UpstreamRequest wanted,
                        std::shared_ptr<UpstreamExchange> exchange) override;
    void pause(const UpstreamExchange& exchange, bool on) override;
    void close(const UpstreamExchange& exchange) override;
    void send_detached(const std::string& address, engine::UpstreamRequest wanted, Millis limit) override;
    void log(const char* level, const char* event, api::Json fields) override;
    void on_stall(Millis for_ms) override;

    void read_fleet();
    void save_list(std::string text);
    void slow_turn(Millis length, const net::EventLoop::Activities& parts);
    void drain_step();

    net::EventLoop& loop_;
    const settings::Program p_;
    const ServeOptions options_;
    std::unique_ptr<state::DecisionObserver> journal_;
    std::shared_ptr<state::SnapshotStore> saved_;  // also of the thread that saves
    std::optional<std::string> to_save_;           // newer than the one that is being saved
    bool saving_ = false, save_failed_ = false;
    bool unreadable_ = false;  // the fleet file could not be read the last time
    Millis slow_told_ = 0;
    long slow_turns_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<proxy::ConnectionPool> connection_pool_;
    std::unique_ptr<RequestLifecycle> lifecycle_;
    std::unique_ptr<HttpServer> server_;
    proxy::WakeupTimer wakeup_timer_;
    net::Timer drainer_, save_again_;
    bool ended_ = false;
    Millis drain_until_ = 0;
    std::function<void()> drained_;
    std::unique_ptr<net::FileWatcher> watch_;
};

}  // namespace gorsenotch::gateway
