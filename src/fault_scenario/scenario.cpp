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

constexpr int kNetworkCount = 200;  // second octets of 127.N.x.y that the runs on one machine choose from
constexpr int kFirstNetwork = 16;
constexpr Millis kStartTimeout = 15000;    // from the start to the last `ready` line
constexpr Millis kListReadTime = 100;      // within which gateways read their endpoint lists
constexpr Millis kClientTimeout = 90000;   // after the end of the traffic, if a client process hangs
constexpr Millis kReleaseMargin = 500;     // after the lease release timeout, before SIGTERM to the gateways
constexpr Millis kGatewayTimeout = 10000;  // from SIGTERM to the exit of the last gateway

}  // namespace

Scenario::Scenario(ScenarioPlan plan, ScenarioOptions options)
    : plan_(std::move(plan)), options_(std::move(options)) {
    seed_ = options_.seed.value_or(plan_.seed);
    // Each run uses a loopback network of its own: the first one that no other run has locked.
    for (int i = 0; i < kNetworkCount; ++i) {
        const auto candidate = static_cast<unsigned>(::getpid()) + static_cast<unsigned>(i);
        second_octet_ = kFirstNetwork + static_cast<int>(candidate % kNetworkCount);
        network_lock_ = std::make_unique<net::TcpListener>(loop_);
        if (network_lock_->listen(loopback_address(254, 254) + ":47") == 0) return;
    }
    error_ = "no free loopback network in 127.16.0.0 to 127.215.255.255";
}

Scenario::~Scenario() = default;

ScenarioResult Scenario::run() {
    ScenarioResult result;
    const Millis started_at = net::now();
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
    // The destructors wait for each process, so the records are complete afterwards.
    clients_.clear();
    for (auto& engine : engines_) engine->child.reset();
    for (auto& gateway : gateways_) gateway->child.reset();
    result.seconds = (net::now() - started_at) / 1000;
    result.error = error_;
    result.interrupted = interrupted_;
    result.system = system_error_;
    if (!interrupted_ && !system_error_) check_records(result);
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
    processes_ready_ = true;
    schedule(kListReadTime, [this] {
        start_clients();
        for (std::size_t i = 0; i < plan_.faults.size(); ++i)
            schedule(plan_.faults[i].start, [this, i] { inject_fault(plan_.faults[i], i); });
        schedule(plan_.length + kClientTimeout, [this] {
            if (stopping_) return;
            error_ = "the client processes did not exit within 90 s of the end of the traffic";
            on_clients_done();
        });
    });
}

void Scenario::on_clients_done() {
    if (stopping_) return;
    // Gateways are stopped only after the time within which they must release all KV leases.
    schedule(plan_.program.router.lease_release_timeout + kReleaseMargin, [this] { stop_gateways(); });
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
        error_ = "a gateway did not exit within 10 s of SIGTERM";
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
    if (processes_ready_ || ended_) return;
    fail_with_system_error("not all processes were ready within 15 s; see the logs in " +
                           options_.output_folder);
}

// Ends the run without a verdict: the scenario can't run on this system.
void Scenario::fail_with_system_error(const std::string& error) {
    error_ = error;
    system_error_ = true;
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
