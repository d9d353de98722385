#include "gateway/gateway.h"

#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

#include "api/messages.h"
#include "log/log.h"
#include "state/decision_journal.h"

namespace gorsenotch::gateway {
namespace {
constexpr Millis kSaveAgain = 500;  // until a list is saved again whose save failed
}  // namespace

Gateway::Gateway(net::EventLoop& loop, settings::Program program, const ServeOptions& options)
    : loop_(loop),
      p_(std::move(program)),
      options_(options),
      wakeup_timer_(loop,
                    [this] {
                        const net::ActivityScope doing(loop_, "timers");
                        return lifecycle_->tick();
                    }),
      drainer_(loop, [this] { drain_step(); }),
      save_again_(loop, [this] {
          if (to_save_) save_list(std::move(*to_save_));
      }) {
    std::random_device device;
    const auto random = [&] { return (std::uint64_t{device()} << 32) | device(); };
    const std::uint64_t seed = p_.seed.value_or(random());
    connection_pool_ = std::make_unique<proxy::ConnectionPool>(
        loop, proxy::ConnectionPool::Config{p_.source, p_.router.connect_timeout, p_.limits.engine_idle_ms,
                                            p_.limits.engine_idle});
    lifecycle_ = std::make_unique<RequestLifecycle>(p_, seed, *this, api::messages::error_body);
    lifecycle_->on_wake = [this] { wakeup_timer_.wake(); };
    loop_.on_slow_turn = [this](Millis length, const net::EventLoop::Activities& parts) {
        slow_turn(length, parts);
    };
    loop_.before_poll = [this](Millis due) { lifecycle_->before_poll(due); };
    loop_.after_poll = [this] { lifecycle_->after_poll(loop_.last_poll()); };
    if (!options_.journal.empty()) {
        journal_ = state::open_journal(options_.journal, seed, [this](const std::string& why) {
            log("error", "journal", {{"why", why}});
        });
        lifecycle_->observer = journal_.get();
    }
    server_ = std::make_unique<HttpServer>(loop, p_, *lifecycle_, *this, random());
}

Gateway::~Gateway() {
    loop_.before_poll = nullptr, loop_.after_poll = nullptr, loop_.on_slow_turn = nullptr;
    if (lifecycle_) lifecycle_->on_wake = nullptr;
    server_.reset();
    lifecycle_.reset();
}

Millis Gateway::now() { return net::now(); }

Millis Gateway::wall_ms() {
    using namespace std::chrono;
    return static_cast<Millis>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

void Gateway::start_exchange(const std::string& address, engine::UpstreamRequest wanted,
                             std::shared_ptr<UpstreamExchange> exchange) {
    connection_pool_->start(address, proxy::ConnectionPool::render(address, wanted, true),
                            std::move(exchange));
}
void Gateway::pause(const UpstreamExchange& exchange, bool on) { connection_pool_->pause(exchange, on); }
void Gateway::close(const UpstreamExchange& exchange) { connection_pool_->close(exchange); }
void Gateway::send_detached(const std::string& address, engine::UpstreamRequest wanted, Millis limit) {
    connection_pool_->send_detached(address, std::move(wanted), limit);
}
void Gateway::log(const char* level, const char* event, api::Json fields) {
    log::write(level, event, std::move(fields));
}

void Gateway::on_stall(Millis for_ms) {
    // Guards against sends by a list that was replaced meanwhile: drains are counted from then.
    if (watch_) watch_->check_now();
    if (for_ms >= 100) log("warn", "stalled", {{"ms", std::round(for_ms)}});
}

int Gateway::start() {
    // The first digest makes the library read its own settings: not while the first client waits.
    settings::tenant_of(p_, "");
    // A list saved by an earlier life serves until the fleet file is read; the Router knows that it may be
    // old.
    std::vector<settings::FileFault> faults;
    std::optional<std::vector<settings::Engine>> engines;
    if (!options_.state.empty()) {
        saved_ = std::make_shared<state::SnapshotStore>(options_.state, "fleet");
        const state::LoadedSnapshot snapshot = saved_->load();
        std::string why = snapshot.error ? snapshot.error->message : "";
        if (snapshot.text) engines = settings::parse_fleet(*snapshot.text, p_, faults);
        if (!faults.empty()) why = settings::render("saved list", faults);
        if (!why.empty()) log("warn", "cached_endpoint_list", {{"why", why}});
    }
    if (engines) {
        lifecycle_->on_endpoint_list(*engines, true);
    } else if (!p_.engines.empty()) {
        lifecycle_->on_endpoint_list(p_.engines, !p_.fleet_file.empty());
    }
    if (!p_.fleet_file.empty())
        watch_ = std::make_unique<net::FileWatcher>(loop_, p_.fleet_file, 20, [this] { read_fleet(); });
    wakeup_timer_.wake();
    return server_->listen();
}

void Gateway::read_fleet() {
    const net::ActivityScope doing(loop_, "list");
    std::string text, why;
    std::vector<settings::FileFault> faults;
    std::optional<std::vector<settings::Engine>> engines;
    if (!settings::read_file(p_.fleet_file, text, why)) {
        // Guards against a list missed for good, as the file has not changed when it can be read again.
        if (watch_) watch_->report_again();
        if (std::exchange(unreadable_, true)) return;
        faults.push_back({0, "", why + "; tried again"});
    } else {
        unreadable_ = false;
        engines = settings::parse_fleet(text, p_, faults);
    }
    // Guards against a half-written or wrong list: the one in force stays.
    if (!engines)
        return log("error", "endpoint_list_refused", {{"faults", settings::render(p_.fleet_file, faults)}});
    lifecycle_->on_endpoint_list(*engines, false);
    log("info", "endpoint_list", {{"engines", engines->size()}});
    if (saved_) save_list(std::move(text));
}

// Off the loop: syncing a file may take as long as a first token. The newest list wins.
void Gateway::save_list(std::string text) {
    to_save_ = std::move(text);
    if (saving_) return;
    saving_ = true;
    const auto why = std::make_shared<std::string>();
    const auto list = std::make_shared<std::string>(*std::exchange(to_save_, std::nullopt));
    net::run_on_thread_pool(
        loop_,
        [saved = saved_, list, why] {
            if (const auto error = saved->save(*list)) *why = error->message;
        },
        [this, alive = std::weak_ptr<bool>(alive_), list, why] {
            if (alive.expired()) return;
            saving_ = false;
            // Guards against an old list at the next start, as the folder was full or failing for a while.
            if (!why->empty()) {
                if (!std::exchange(save_failed_, true))
                    log("warn", "cached_endpoint_list", {{"why", *why + "; tried again"}});
                if (!to_save_) to_save_ = std::move(*list);
                return save_again_.fire_after(kSaveAgain);
            }
            save_failed_ = false;
            if (to_save_) save_list(std::move(*to_save_));
        });
}

// At most one line a second: a process that is short of a core should not write of it all the time.
void Gateway::slow_turn(Millis length, const net::EventLoop::Activities& parts) {
    ++slow_turns_;
    if (net::now() < slow_told_ + 1000) return;
    slow_told_ = net::now();
    api::Json did = api::Json::object();
    for (const auto& [what, ms] : parts) did[what] = std::round(1000 * ms) / 1000;
    log("warn", "slow_turn",
        {{"ms", std::round(1000 * length) / 1000}, {"did", did}, {"since", slow_turns_}});
    slow_turns_ = 0;
}

void Gateway::drain(std::function<void()> done) {
    drained_ = std::move(done);
    drain_until_ = net::now() + p_.limits.drain_ms;
    log("info", "drain", {{"open", lifecycle_->open()}});
    server_->drain();
    drain_step();
}

void Gateway::drain_step() {
    if (!ended_ && lifecycle_->open() > 0 && net::now() < drain_until_) return drainer_.fire_after(20);
    if (!ended_) {
        // The last answers and let-gos still have to leave.
        ended_ = true;
        lifecycle_->end_all();
        return drainer_.fire_after(200);
    }
    if (drained_) drained_();
}

}  // namespace gorsenotch::gateway
