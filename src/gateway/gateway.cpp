#include "gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

#include "api/messages.h"
#include "log/log.h"
#include "net/file_watcher.h"
#include "state/decision_journal.h"

namespace gorsenotch::gateway {
namespace {

constexpr Millis kSaveRetryDelay = 500;
constexpr Millis kFleetFilePollInterval = 20;
constexpr Millis kMinLoggedStall = 100;
constexpr Millis kSlowTurnLogInterval = 1000;
constexpr Millis kDrainCheckInterval = 20;
constexpr Millis kDrainSettleTime = 200;    // for the last lease releases and for requests still being sent
constexpr Millis kMinDrainCloseTime = 200;  // for the answers to requests that the drain has ended

// Milliseconds, rounded to the log's resolution of one microsecond.
double rounded_for_log(Millis duration) { return std::round(1000 * duration) / 1000; }

}  // namespace

Gateway::Gateway(net::EventLoop& loop, settings::ProgramSettings program, const ServeOptions& options)
    : loop_(loop),
      program_(std::move(program)),
      options_(options),
      memory_(program_.limits.memory_bytes),
      memory_monitor_(loop, memory_),
      wakeup_timer_(loop,
                    [this] {
                        const net::ActivityScope activity(loop_, "timers");
                        return lifecycle_->tick();
                    }),
      drain_timer_(loop, [this] { continue_drain(); }),
      save_retry_timer_(loop, [this] {
          if (unsaved_endpoint_list_) save_endpoint_list(std::move(*unsaved_endpoint_list_));
      }) {
    std::random_device device;
    const auto random = [&] { return (std::uint64_t{device()} << 32) | device(); };
    const std::uint64_t seed = program_.seed.value_or(random());
    connection_pool_ = std::make_unique<proxy::ConnectionPool>(
        loop, proxy::ConnectionPool::Config{program_.source, program_.router.connect_timeout,
                                            program_.limits.engine_idle_ms,
                                            program_.limits.max_idle_engine_connections});
    lifecycle_ = std::make_unique<RequestLifecycle>(program_, seed, *this, api::messages::error_body);
    lifecycle_->on_wake = [this] { wakeup_timer_.wake(); };
    loop_.on_slow_iteration = [this](Millis length, const net::EventLoop::Activities& activities) {
        on_slow_iteration(length, activities);
    };
    loop_.before_poll = [this](Millis due) { lifecycle_->before_poll(due); };
    loop_.after_poll = [this] { lifecycle_->after_poll(loop_.last_poll()); };
    if (!options_.journal_file.empty()) {
        journal_ = state::open_journal(options_.journal_file, seed, [this](const std::string& reason) {
            log("error", "journal", {{"why", reason}});
        });
        lifecycle_->observer = journal_.get();
    }
    server_ = std::make_unique<HttpServer>(loop, program_, *lifecycle_, memory_, *this, random());
}

Gateway::~Gateway() {
    loop_.before_poll = nullptr;
    loop_.after_poll = nullptr;
    loop_.on_slow_iteration = nullptr;
    if (lifecycle_) lifecycle_->on_wake = nullptr;
    server_.reset();
    lifecycle_.reset();
}

Millis Gateway::now() { return net::now(); }

Millis Gateway::wall_ms() {
    using namespace std::chrono;
    return static_cast<Millis>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

void Gateway::start_exchange(const std::string& address, proxy::UpstreamRequest request,
                             std::shared_ptr<UpstreamExchange> exchange) {
    connection_pool_->start(address, proxy::ConnectionPool::render(address, request, true),
                            std::move(exchange));
}
void Gateway::pause(const UpstreamExchange& exchange, bool paused) {
    connection_pool_->pause(exchange, paused);
}
void Gateway::close(const UpstreamExchange& exchange) { connection_pool_->close(exchange); }
void Gateway::send_detached(const std::string& address, proxy::UpstreamRequest request, Millis timeout) {
    connection_pool_->send_detached(address, request, timeout);
}
void Gateway::log(const char* level, const char* event, api::Json fields) {
    log::write(level, event, std::move(fields));
}

void Gateway::log_memory_refusals(std::uint64_t refusals) {
    log("warn", "memory_full",
        {{"refused", refusals},
         {"used", memory_.used()},
         {"capacity", memory_.capacity()},
         {"overhead", memory_.overhead()}});
}

void Gateway::on_stall(Millis duration) {
    // Guards against routing by an endpoint list that was replaced during the stall, to engines that have
    // started to drain.
    if (fleet_watcher_) fleet_watcher_->check_now();
    if (duration >= kMinLoggedStall) log("warn", "stalled", {{"ms", std::round(duration)}});
}

int Gateway::start() {
    // The first digest makes the crypto library load its configuration; done here so that it does not delay
    // the first client.
    settings::tenant_of(program_, "");
    load_initial_endpoint_list();
    if (!program_.fleet_file.empty())
        fleet_watcher_ = std::make_unique<net::FileWatcher>(
            loop_, program_.fleet_file, kFleetFilePollInterval, [this] { reload_endpoint_list(); });
    wakeup_timer_.wake();
    memory_monitor_.on_refusals = [this](std::uint64_t refusals) { log_memory_refusals(refusals); };
    memory_monitor_.start();
    return server_->listen();
}

// Uses the endpoint list saved by an earlier process until the fleet file is read. The Router treats it as
// possibly out of date.
void Gateway::load_initial_endpoint_list() {
    std::vector<settings::FileFault> faults;
    std::optional<std::vector<settings::Engine>> engines;
    if (!options_.state_folder.empty()) {
        snapshot_store_ = std::make_shared<state::SnapshotStore>(options_.state_folder, "fleet");
        const state::LoadedSnapshot snapshot = snapshot_store_->load();
        std::string reason = snapshot.error ? snapshot.error->message : "";
        if (snapshot.text) engines = settings::parse_fleet(*snapshot.text, program_, faults);
        if (!faults.empty()) reason = settings::render("cached endpoint list", faults);
        if (!reason.empty()) log("warn", "cached_endpoint_list", {{"why", reason}});
    }
    if (engines) {
        lifecycle_->on_endpoint_list(*engines, true);
    } else if (!program_.engines.empty()) {
        lifecycle_->on_endpoint_list(program_.engines, !program_.fleet_file.empty());
    }
}

void Gateway::reload_endpoint_list() {
    const net::ActivityScope activity(loop_, "list");
    std::string text;
    std::string reason;
    std::vector<settings::FileFault> faults;
    std::optional<std::vector<settings::Engine>> engines;
    if (!settings::read_file(program_.fleet_file, text, reason)) {
        // Guards against missing this version for good: the file does not change when it becomes readable.
        if (fleet_watcher_) fleet_watcher_->force_report();
        if (std::exchange(fleet_file_unreadable_, true)) return;
        faults.push_back({0, "", reason + "; will retry"});
    } else {
        fleet_file_unreadable_ = false;
        engines = settings::parse_fleet(text, program_, faults);
    }
    // Guards against a partly written or invalid list: the current one stays in use.
    if (!engines)
        return log("error", "endpoint_list_refused",
                   {{"faults", settings::render(program_.fleet_file, faults)}});
    lifecycle_->on_endpoint_list(*engines, false);
    log("info", "endpoint_list", {{"engines", engines->size()}});
    if (snapshot_store_) save_endpoint_list(std::move(text));
}

// Saves on the thread pool, since syncing a file may take as long as a time to first token. If further lists
// arrive meanwhile, only the latest of them is saved next.
void Gateway::save_endpoint_list(std::string text) {
    unsaved_endpoint_list_ = std::move(text);
    if (saving_) return;
    saving_ = true;
    const auto reason = std::make_shared<std::string>();
    const auto list = std::make_shared<std::string>(*std::exchange(unsaved_endpoint_list_, std::nullopt));
    net::run_on_thread_pool(
        loop_,
        [store = snapshot_store_, list, reason] {
            if (const auto error = store->save(*list)) *reason = error->message;
        },
        [this, alive = std::weak_ptr<bool>(alive_), list, reason] {
            if (alive.expired()) return;
            saving_ = false;
            // Guards against an outdated list at the next start after the file system was full or failed for
            // a while.
            if (!reason->empty()) {
                if (!std::exchange(save_failed_, true))
                    log("warn", "cached_endpoint_list", {{"why", *reason + "; will retry"}});
                if (!unsaved_endpoint_list_) unsaved_endpoint_list_ = std::move(*list);
                return save_retry_timer_.fire_after(kSaveRetryDelay);
            }
            save_failed_ = false;
            if (unsaved_endpoint_list_) save_endpoint_list(std::move(*unsaved_endpoint_list_));
        });
}

// Logs at most once a second: a process that lacks CPU time must not spend more of it on logging that.
void Gateway::on_slow_iteration(Millis length, const net::EventLoop::Activities& activities) {
    ++unlogged_slow_turns_;
    if (net::now() < slow_turn_logged_at_ + kSlowTurnLogInterval) return;
    slow_turn_logged_at_ = net::now();
    api::Json activity_ms = api::Json::object();
    for (const auto& [activity, ms] : activities) activity_ms[activity] = rounded_for_log(ms);
    log("warn", "slow_turn",
        {{"ms", rounded_for_log(length)}, {"did", activity_ms}, {"since", unlogged_slow_turns_}});
    unlogged_slow_turns_ = 0;
}

void Gateway::drain(std::function<void()> done) {
    on_drained_ = std::move(done);
    drain_deadline_ = net::now() + program_.limits.drain_ms;
    log("info", "drain", {{"open", lifecycle_->open()}});
    server_->drain();
    continue_drain();
}

// Requests that are still being sent are rejected as they become complete, else after the phase `settling`.
void Gateway::continue_drain() {
    server_->close_idle_connections();
    if (!is_drain_phase_over()) return drain_timer_.fire_after(kDrainCheckInterval);
    switch (drain_phase_) {
        case DrainPhase::serving:
            lifecycle_->end_all();
            drain_phase_ = DrainPhase::settling;
            return drain_timer_.fire_after(kDrainSettleTime);
        case DrainPhase::settling:
            server_->reject_incomplete_requests();
            drain_phase_ = DrainPhase::closing;
            drain_deadline_ = std::max(drain_deadline_, net::now() + kMinDrainCloseTime);
            return continue_drain();
        case DrainPhase::closing:
            if (on_drained_) on_drained_();
    }
}

bool Gateway::is_drain_phase_over() const {
    const bool timed_out = net::now() >= drain_deadline_;
    switch (drain_phase_) {
        case DrainPhase::serving:
            return timed_out || lifecycle_->open() == 0;
        case DrainPhase::settling:
            return true;  // it has a fixed length
        case DrainPhase::closing:
            return timed_out || server_->connections() == 0;
    }
    return true;
}

}  // namespace gorsenotch::gateway
