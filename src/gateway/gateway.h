// The gateway process of `gorsenotch serve`: the Messages API's HTTP server, RequestLifecycle, connections to
// engines and endpoint list, on one event loop. For `gorsenotch node` see platform/node.h.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/memory_budget.h"
#include "gateway/http_server.h"
#include "gorsenotch/settings.h"
#include "net/file_watcher.h"
#include "net/timer.h"
#include "proxy/connection_pool.h"
#include "proxy/memory_monitor.h"
#include "proxy/wakeup_timer.h"
#include "state/snapshot_store.h"

namespace gorsenotch::gateway {

// The paths under which a gateway stores data beyond the life of its process.
struct ServeOptions {
    std::string state_folder;  // stores the latest endpoint list; empty: it is not saved
    std::string journal_file;  // records the Router's events and actions; empty: none
};

// Owns all parts of the process. Implements Environment, through which the lifecycle uses the clocks, the
// connections to engines and the log. Installs its hooks in the event loop and removes them on destruction.
// Threading: the loop's thread; endpoint lists are saved on the thread pool. Must be destroyed before the
// loop.
class Gateway : public Environment {
public:
    Gateway(net::EventLoop& loop, settings::ProgramSettings program, const ServeOptions& options);
    ~Gateway() override;

    // Starts to serve clients. Returns 0, or the libuv error code if listening failed.
    int start();
    int port() const { return server_->port(); }
    // Accepts the connections in the accept queue, closes the listener, rejects requests that still arrive on
    // open connections, lets open requests finish and clients read their answers within limits.drain_ms,
    // answers the rest with an error, then calls `done`.
    void drain(std::function<void()> done);
    // Number of open requests.
    std::size_t open() const { return lifecycle_->open(); }
    std::size_t connections() const { return server_->connections(); }
    // What clients make this process hold.
    const control::MemoryBudget& memory() const { return memory_; }
    // The most response bytes that have been queued at any time for one client.
    std::size_t peak_queued_bytes() const { return server_->peak_queued_bytes(); }

private:
    Millis now() override;
    Millis wall_ms() override;
    void start_exchange(const std::string& address, proxy::UpstreamRequest request,
                        std::shared_ptr<UpstreamExchange> exchange) override;
    void pause(const UpstreamExchange& exchange, bool paused) override;
    void close(const UpstreamExchange& exchange) override;
    void send_detached(const std::string& address, proxy::UpstreamRequest request, Millis timeout) override;
    void log(const char* level, const char* event, api::Json fields) override;
    void on_stall(Millis duration) override;

    void load_initial_endpoint_list();
    void reload_endpoint_list();
    void save_endpoint_list(std::string text);
    void on_slow_iteration(Millis length, const net::EventLoop::Activities& activities);
    void log_memory_refusals(std::uint64_t refusals);
    void continue_drain();
    bool is_drain_phase_over() const;

    net::EventLoop& loop_;
    const settings::ProgramSettings program_;
    const ServeOptions options_;
    std::unique_ptr<state::DecisionObserver> journal_;
    std::shared_ptr<state::SnapshotStore> snapshot_store_;  // shared with the thread pool
    // Still to be saved: newer than the list being saved, or the one whose save failed.
    std::optional<std::string> unsaved_endpoint_list_;
    bool saving_ = false;
    bool save_failed_ = false;            // at the latest attempt
    bool fleet_file_unreadable_ = false;  // at the latest attempt
    Millis slow_turn_logged_at_ = 0;
    long unlogged_slow_turns_ = 0;  // since slow_turn_logged_at_
    std::shared_ptr<bool> alive_ =
        std::make_shared<bool>(true);  // guards callbacks that may run after destruction
    control::MemoryBudget memory_;
    proxy::MemoryMonitor memory_monitor_;
    std::unique_ptr<proxy::ConnectionPool> connection_pool_;
    std::unique_ptr<RequestLifecycle> lifecycle_;
    std::unique_ptr<HttpServer> server_;
    proxy::WakeupTimer wakeup_timer_;
    net::Timer drain_timer_;
    net::Timer save_retry_timer_;
    enum class DrainPhase {
        serving,   // open requests finish
        settling,  // every request has its final answer; leases are released
        closing,   // clients read what is left of their answers
    };
    DrainPhase drain_phase_ = DrainPhase::serving;
    Millis drain_deadline_ = 0;
    std::function<void()> on_drained_;
    std::unique_ptr<net::FileWatcher> fleet_watcher_;
};

}  // namespace gorsenotch::gateway
