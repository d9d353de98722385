#include "fault_scenario/scenario.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

#include "fault_scenario/scenario_internal.h"
#include "net/clock.h"
#include "net/signal_watcher.h"
#include "net/tcp_listener.h"
#include "net/timer.h"

namespace gorsenotch::fault_scenario {

namespace {

constexpr int kNetworks = 200;  // second octets that runs on one machine choose from
constexpr int kFirstNetwork = 16;
constexpr Millis kStartTimeout = 15000;    // until all processes listen
constexpr Millis kListReadTime = 100;      // gateways have read their lists by then
constexpr Millis kClientTimeout = 90000;   // past the plan's length, should a client process hang
constexpr Millis kReleaseTime = 500;       // past the lease limit, before gateways are told to stop
constexpr Millis kGatewayTimeout = 10000;  // from SIGTERM to the end of the last gateway

}  // namespace

Scenario::Scenario(ScenarioPlan plan, ScenarioOptions options)
    : plan_(std::move(plan)), options_(std::move(options)) {
    seed_ = options_.seed.value_or(plan_.seed);
    // The addresses of a run are its own: the first network that no other run on this machine has locked.
    for (int i = 0; i < kNetworks; ++i) {
        const auto candidate = static_cast<unsigned>(::getpid()) + static_cast<unsigned>(i);
        second_octet_ = kFirstNetwork + static_cast<int>(candidate % kNetworks);
        network_lock_ = std::make_unique<net::TcpListener>(loop_);
        if (network_lock_->listen(loopback_address(254, 254) + ":47") == 0) return;
    }
    error_ = "no loopback addresses are free";
}

Scenario::~Scenario() = default;

ScenarioResult Scenario::run() {
    ScenarioResult result;
    const Millis began = net::now();
    if (!error_.empty() || !make_folders()) {
        result.error = error_;
        return result;
    }
    recorder_ = std::make_unique<invariants::Recorder>(options_.output_folder + "/records/runner.ndjson");
    start_engines();
    start_gateways();
    const auto interrupt = [this] { on_interrupt(); };
    const net::SignalWatcher terminate(loop_, SIGTERM, interrupt);
    const net::SignalWatcher keyboard(loop_, SIGINT, interrupt);
    const net::SignalWatcher hangup(loop_, SIGHUP, interrupt);
    schedule(kStartTimeout, [this] { on_start_timeout(); });
    if (!ended_) loop_.run();
    // All processes are gone when this returns, and their records are complete.
    clients_.clear();
    for (auto& engine : engines_) engine->child.reset();
    for (auto& gateway : gateways_) gateway->child.reset();
    result.seconds = (net::now() - began) / 1000;
    result.error = error_;
    result.interrupted = interrupted_;
    result.system = system_;
    if (!interrupted_ && !system_) check_records(result);
    return result;
}

bool Scenario::make_folders() {
    std::error_code error;
    std::filesystem::remove_all(options_.output_folder, error);
    std::filesystem::create_directories(options_.output_folder + "/records", error);
    std::filesystem::create_directories(options_.output_folder + "/keys", error);
    if (error) error_ = options_.output_folder + ": " + error.message();
    return !error;
}

void Scenario::start_engines() {
    for (const auto& pool : plan_.pools) {
        for (int i = 0; i < pool.count; ++i) {
            auto engine = std::make_unique<EngineProcess>();
            Endpoint& endpoint = engine->engine.endpoint;
            endpoint.id = ++next_engine_id_;
            endpoint.kind = pool.kind;
            endpoint.zone = pool.zone;
            endpoint.cell = pool.cell;
            assign_addresses(*engine);
            start_engine(*engine, false);
            engines_.push_back(std::move(engine));
        }
    }
}

void Scenario::start_gateways() {
    const int zones = static_cast<int>(plan_.program.zones.size());
    for (int i = 0; i < plan_.gateways; ++i) {
        auto gateway = std::make_unique<GatewayProcess>();
        gateway->number = i;
        gateway->zone = i % zones;
        gateway->source = loopback_address(100 + gateway->zone, i + 1);
        gateway->address = free_addresses(gateway->source, 1).front();
        gateway->fleet_file = options_.output_folder + "/fleet-" + std::to_string(i) + ".xml";
        gateway->state_folder = options_.output_folder + "/state-" + std::to_string(i);
        std::error_code error;
        std::filesystem::create_directories(gateway->state_folder, error);
        write_list(*gateway);
        start_gateway(*gateway);
        gateways_.push_back(std::move(gateway));
    }
}

void Scenario::on_processes_ready() {
    playing_ = true;
    schedule(kListReadTime, [this] {
        start_clients();
        for (std::size_t i = 0; i < plan_.faults.size(); ++i)
            schedule(plan_.faults[i].at, [this, i] { play(plan_.faults[i], i); });
        schedule(plan_.length + kClientTimeout, [this] {
            if (stopping_) return;
            error_ = "the clients did not end in time";
            on_clients_done();
        });
    });
}

void Scenario::on_clients_done() {
    if (stopping_) return;
    // Leases that are still held must be released first; only then the gateways are told to stop.
    schedule(plan_.program.router.lease_release_timeout + kReleaseTime, [this] { stop_gateways(); });
}

void Scenario::stop_gateways() {
    stopping_ = true;
    bool any_running = false;
    for (auto& gateway : gateways_) {
        gateway->exit_expected = true;
        any_running |= gateway->child->running();
        gateway->child->kill(SIGTERM);
    }
    if (!any_running) return end();
    schedule(kGatewayTimeout, [this] {
        if (ended_) return;
        error_ = "a gateway did not stop on SIGTERM";
        for (auto& gateway : gateways_) gateway->child->kill(SIGKILL);
        end();
    });
}

void Scenario::on_interrupt() {
    interrupted_ = true;
    error_ = "stopped by a signal";
    end();
}

void Scenario::on_start_timeout() {
    if (playing_ || ended_) return;
    fail_system("not all processes came up in time; see the logs in " + options_.output_folder);
}

// The scenario can't be played on this system: there will be no verdict.
void Scenario::fail_system(const std::string& error) {
    error_ = error;
    system_ = true;
    end();
}

void Scenario::end() {
    if (ended_) return;
    ended_ = true;
    for (auto& gateway : gateways_) gateway->child->kill(SIGKILL);
    loop_.stop();
}

void Scenario::check_records(ScenarioResult& result) const {
    std::vector<std::string> files;
    for (const auto& file : std::filesystem::directory_iterator(options_.output_folder + "/records"))
        files.push_back(file.path().string());
    std::sort(files.begin(), files.end());
    const Settings& router = plan_.program.router;
    invariants::CheckerSettings limits;
    limits.classes = plan_.program.classes;
    limits.class_settings = router.classes;
    limits.answer_slack = router.answer_slack;
    limits.drain_grace = router.drain_grace;
    limits.release_within = router.lease_release_timeout;
    limits.overload_factor = router.overload_factor;
    limits.overload_window = router.overload_window;
    try {
        result.verdict = invariants::check_records(invariants::read(files), limits);
    } catch (const std::exception& error) {
        result.error = error.what();
    }
}

void Scenario::schedule(Millis delay, std::function<void()> task) {
    timers_.push_back(std::make_unique<net::Timer>(loop_, std::move(task)));
    timers_.back()->fire_after(delay);
}

}  // namespace gorsenotch::fault_scenario
