#include "platform/node.h"

#include <sys/resource.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>

#include "log/log.h"
#include "net/socket_error.h"
#include "settings/xml.h"

namespace gorsenotch::platform {
namespace {

// A stream whose request came within this time after SIGTERM may be ended by the kill.
constexpr Millis kEndedByKill = 700;
constexpr Millis kStillServed = 600;  // after SIGTERM new connections keep coming for a while
constexpr Millis kFirstList = 300;    // a process that starts waits so long for the list before it listens
constexpr Millis kState = 5000;       // between two lines of state in the log
constexpr Millis kListenRetry = 50;   // until the listener is tried again
// So long a start waits for an address that another process holds: one that stops is killed 3.7 s after it
// was told to, at the latest.
constexpr Millis kAddressHeld = 5000;
// A configuration that cannot be taken is read again: often at first, as discovery's new address counts as
// told 4 s after the signal, then seldom, until it is given up.
constexpr Millis kReloadRetry = 50, kReloadSoon = 4000, kReloadLateRetry = 1000, kReloadGivenUp = 60000;
// Descriptors for everything but clients and servers: the loop, the log, discovery, connections that end.
constexpr std::size_t kReserve = 24 + ClientConnections::kEndingMost;

Millis unix_offset() {
    using namespace std::chrono;
    const auto wall = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return net::now() - static_cast<Millis>(wall) / 1000;
}

std::size_t sockets(const Config& config) {
    return config.sockets > 64 ? config.sockets : config.sockets > 0 ? 64 : 1024;
}

proxy::ConnectionPool::Config upstream_config(const Config& config) {
    proxy::ConnectionPool::Config pool;
    pool.connect_timeout =
        config.named.settings.connect_timeout > 0 ? config.named.settings.connect_timeout : 250;
    // Well before the server closes it: what is written to a connection it has closed is lost.
    pool.idle_timeout = config.named.idle_close > 0 ? std::min(15000.0, 0.4 * config.named.idle_close) : 5000;
    pool.max_idle_per_address = 8;
    pool.cooldown = true;
    pool.learn_reuse = true;
    pool.max_connections = (sockets(config) - kReserve) * 45 / 100;
    return pool;
}

ClientConnections::Config clients_config(const Config& config) {
    ClientConnections::Config k;
    k.listen = config.listen;
    k.most = (sockets(config) - kReserve) * 55 / 100;
    if (config.memory_mb > 0) k.most_bytes = config.memory_mb * (1 << 20) / 8;
    return k;
}

// Counts by name, for the status line.
template <std::size_t N>
nlohmann::json counts(const std::array<const char*, N>& names, const std::array<std::uint64_t, N>& values) {
    nlohmann::json out;
    for (std::size_t i = 0; i < N; ++i) out[names[i]] = values[i];
    return out;
}

std::string variable(const char* name) {
    const char* v = std::getenv(name);
    return v ? v : "";
}

}  // namespace

Node::Node(net::EventLoop& loop, Config config, std::string file)
    : loop_(loop),
      config_(std::move(config)),
      file_(std::move(file)),
      endpoints_(config_.named, unix_offset()),
      connection_pool_(loop, upstream_config(config_)),
      lifecycle_(config_.named, config_.seed, endpoints_, *this),
      client_connections_(loop, config_.named, lifecycle_, clients_config(config_)),
      watch_(loop, config_.seed),
      wakeup_timer_(loop, [this] { return lifecycle_.tick(); }),
      drainer_(loop, [this] { drain_step(); }),
      opener_(loop, [this] { open(); }),
      reloader_(loop, [this] { try_reload(); }),
      status_(loop, [this] { status(); }) {
    lifecycle_.on_wake() = [this] { wakeup_timer_.wake(); };
    loop_.before_poll = [this](Millis due) { lifecycle_.before_poll(due); };
    loop_.after_poll = [this] { lifecycle_.after_poll(loop_.last_poll()); };
    watch_.on_list = [this](const std::string& text, bool moved) -> std::optional<std::uint64_t> {
        std::string why;
        auto update = endpoints_.take(
            text, moved ? EndpointList::Source::new_address : EndpointList::Source::same_address, net::now(),
            why);
        if (!update) {
            log("warn", "list_refused", why);
            return std::nullopt;
        }
        if (!update->endpoints.empty() || update->kind == EndpointUpdate::Kind::full)
            lifecycle_.on_endpoint_update(std::move(*update));
        if (!open_) opener_.fire_after(0);
        return endpoints_.version();
    };
    watch_.on_fault = [this](const std::string& why) {
        log("warn", "discovery", why);
        EndpointUpdate failed;
        failed.kind = EndpointUpdate::Kind::failed;
        lifecycle_.on_endpoint_update(std::move(failed));
    };
}

Node::~Node() { loop_.before_poll = nullptr, loop_.after_poll = nullptr; }

void Node::start() {
    started_ = net::now();
    std::string why;
    if (!config_.known.empty()) {
        if (auto update = endpoints_.take(config_.known, EndpointList::Source::cached, net::now(), why)) {
            lifecycle_.on_endpoint_update(std::move(*update));
        } else {
            log("warn", "known_refused", why);
        }
    }
    wakeup_timer_.wake();
    // Guards against sends by a known list that is out of date: what discovery has counts as told from this
    // process's first moment. While discovery is down the known list has to do.
    watch_.watch_address(config_.discovery);
    opener_.fire_after(kFirstList);
    status_.fire_after(kState);
}

void Node::open() {
    if (open_ || stopped_ > 0) return;
    open_ = true;
    opener_.stop();
    const int code = client_connections_.listen();
    const net::ErrorClass what = net::classify_listen_error(code);
    const bool held =
        what == net::ErrorClass::address_held && net::now() - started_ < kFirstList + kAddressHeld;
    if (what == net::ErrorClass::host_resources || held) {
        // Guards against a process that ends for a want of this host's that may be over in a moment, or for
        // the one before it. May do harm by telling of a wrong address 5 s late.
        open_ = false;
        if (!std::exchange(listen_failed_, true))
            log("warn", "listen_failed", net::error_text(code) + "; tried again");
        return opener_.fire_after(kListenRetry);
    }
    if (code != 0) return on_refused(code);
    log("info", "ready", config_.listen);
}

void Node::reload() {
    reload_asked_ = net::now();
    reload_refused_.clear();
    try_reload();
}

// Guards against a file that cannot be read just as the signal comes (half written, gone or locked for a
// moment): the old discovery would stay for good and what the new one tells be missed. May read a file that
// is wrong for good for a minute in vain.
void Node::try_reload() {
    std::string text, why;
    try {
        if (!settings::read_file(file_, text, why)) throw ConfigError("GW_CONFIG: " + why);
        const Config next = parse_config(text, config_.listen, config_.discovery);
        watch_.watch_address(next.discovery);
        log("info", "reloaded", next.discovery);
    } catch (const std::exception& error) {
        if (std::exchange(reload_refused_, error.what()) != error.what())
            log("error", "reload_refused", std::string(error.what()) + "; tried again");
        const Millis passed = net::now() - reload_asked_;
        if (passed < kReloadGivenUp)
            return reloader_.fire_after(passed < kReloadSoon ? kReloadRetry : kReloadLateRetry);
        log("error", "reload_given_up", error.what());
    }
}

void Node::stop(std::function<void()> done) {
    if (stopped_ > 0) return;
    stopped_ = net::now();
    done_ = std::move(done);
    log("info", "stopping", std::to_string(lifecycle_.open()) + " open");
    client_connections_.drain();
    // The platform kills no sooner than after the longest deadline, counted as 3 s where it is longer, and
    // 0.7 s.
    Millis longest = 0;
    for (const auto& class_settings : config_.named.settings.classes)
        longest = std::max(longest, class_settings.deadline);
    drain_schedule_.emplace(stopped_, stopped_ + std::min(longest, 3000.0) + 700,
                            config_.named.settings.stream_migration);
    drainer_.fire_after(20);
}

void Node::drain_step() {
    drainer_.fire_after(20);
    const Millis now = net::now();
    // With nothing open it may go once new connections have ceased to come.
    const bool quiet =
        now - stopped_ >= kStillServed && lifecycle_.open() == 0 && client_connections_.connections() == 0;
    if (!quiet && !drain_schedule_->stop_accepting(now) && lifecycle_.streams() == 0) return;
    if (quiet || drain_schedule_->stop_accepting(now)) client_connections_.stop_accepting();
    if (config_.named.settings.stream_migration)
        lifecycle_.migrate_streams(drain_schedule_->streams_to_migrate(now, lifecycle_.streams()));
    if (drain_schedule_->answer_remaining(now)) {
        lifecycle_.shutdown();
        lifecycle_.end_silent_streams(stopped_ + kEndedByKill);
    }
    const bool nothing_open =
        lifecycle_.open() == 0 && lifecycle_.releases() == 0 && client_connections_.connections() == 0;
    if (nothing_open && !client_connections_.listening()) {
        status();
        drainer_.stop();
        if (done_) done_();
    }
}

void Node::start_exchange(const std::string& address, std::string request,
                          std::shared_ptr<UpstreamExchange> attempt, Connection connection) {
    connection_pool_.start(address, std::move(request), std::move(attempt), connection == Connection::fresh);
}

void Node::log(const char* level, const char* event, const std::string& text) {
    log::write(level, event, {{"text", text}});
}

void Node::status() {
    status_.fire_after(kState);
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const double cpu = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) * 1000 +
                       static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1000;
    const Counters& counters = lifecycle_.counters();
    const auto& released = lifecycle_.release_counts();
    const auto& t = client_connections_.counters();
    const auto& u = connection_pool_.counters();
    nlohmann::json outcomes = counts(kOutcomeNames, lifecycle_.access_log().outcomes());
    outcomes["not_logged"] = lifecycle_.access_log().not_logged();
    const auto result = [&](AttemptResult r) { return counters.results[static_cast<int>(r)]; };
    log::write("info", "status",
               {{"up_ms", std::round(net::now() - started_)},
                {"cpu_ms", std::round(cpu)},
                {"peak_kb", use.ru_maxrss},
                {"endpoints", endpoints_.all().size()},
                {"client_connections", client_connections_.connections()},
                {"upstream_connections", connection_pool_.connections()},
                {"open_requests", lifecycle_.open()},
                {"attempts_in_flight", lifecycle_.attempts_in_flight()},
                {"releases_in_progress", lifecycle_.releases()},
                {"arrived", counters.arrived},
                {"served", counters.served},
                {"rejected", counters.rejected},
                {"failed", counters.failed},
                {"broken", counters.broken},
                {"client_disconnected", counters.client_disconnected},
                {"migrated", counters.migrated},
                {"attempts", counters.attempts},
                {"outcomes", outcomes},
                {"end_causes", counts(kEndCauseNames, lifecycle_.access_log().causes())},
                {"violations", counts(control::kInvariantNames, lifecycle_.invariant_checker().violations())},
                {"send_blocks", counts(control::kSendBlockReasonNames, counters.send_blocks)},
                {"close_blocks", counts(control::kCloseBlockReasonNames, t.close_denials)},
                {"client_connection_ends", counts(kEndReasonNames, t.ended)},
                {"upstream_connection_ends", counts(proxy::kConnectionEndNames, u.ended_by_cause)},
                {"results",
                 {{"prefill_done", result(AttemptResult::prefill_done)},
                  {"served", result(AttemptResult::served)},
                  {"error", result(AttemptResult::error)},
                  {"rejected", result(AttemptResult::rejected)},
                  {"timed_out", result(AttemptResult::timed_out)},
                  {"unreachable", result(AttemptResult::unreachable)},
                  {"reset", result(AttemptResult::reset)},
                  {"cancelled", result(AttemptResult::cancelled)},
                  {"not_sent", result(AttemptResult::not_sent)}}},
                {"released", {released.begun, released.asked_again, released.failed}},
                {"release_ends", counts(kReleaseEnds, counters.release_ends)},
                {"release_reasons", counts(kReleaseReasons, counters.release_reasons)},
                {"health_checks",
                 {{"sent", lifecycle_.health_checker().checks_sent()},
                  {"unanswered", lifecycle_.health_checker().checks_unanswered()}}},
                {"leases_unanswered", lifecycle_.invariant_checker().unanswered_leases()},
                {"longest_lease_ms", std::round(counters.longest_lease)},
                {"new_connections", {u.new_connections, u.new_broken}},
                {"reused_connections", {u.reused, u.reused_broken}},
                {"accepted", t.accepted},
                {"connections_rejected", t.of(EndReason::at_capacity)},
                {"evicted", t.of(EndReason::evicted)},
                {"accept_failed", t.accept_failed},
                {"request_timeouts", t.of(EndReason::request_timeout)},
                {"bad_requests", t.bad}});
}

int run_node() {
    const std::string file = variable("GW_CONFIG");
    std::string text, why;
    Config config;
    try {
        if (file.empty()) throw ConfigError("not set");
        if (!settings::read_file(file, text, why)) throw ConfigError(file + ": " + why);
        config = parse_config(text, variable("GW_LISTEN"), variable("GW_DISCOVERY"));
        const Router tried(config.named.settings, 0);  // refuses what it cannot meet
    } catch (const std::exception& error) {
        std::cerr << "GW_CONFIG: " << error.what() << '\n';
        return 3;
    }
    log::open("info");
    int code = 0;
    {
        net::reserve_descriptors(sockets(config));
        net::EventLoop loop;
        Node node(loop, std::move(config), file);
        const auto stop = [&] { node.stop([&] { loop.stop(); }); };
        net::SignalWatcher term(loop, SIGTERM, stop), interrupt(loop, SIGINT, stop);
        net::SignalWatcher hup(loop, SIGHUP, [&] { node.reload(); });
        node.on_refused = [&](int e) {
            std::cerr << "GW_LISTEN: " << net::error_text(e) << '\n';
            code = 4;
            loop.stop();
        };
        node.start();
        loop.run();
    }
    log::close();
    return code;
}

}  // namespace gorsenotch::platform
