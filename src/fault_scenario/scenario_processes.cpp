// Scenario: address assignment and process start.
#include <algorithm>
#include <filesystem>
#include <fstream>

#include "fault_scenario/scenario_internal.h"
#include "net/free_ports.h"

namespace gorsenotch::fault_scenario {

namespace {

// How long a client waits for an answer after its deadline and the answer slack of the settings.
constexpr Millis kOverdueMargin = 400;

std::string describe_exit(int status, int signal) {
    return signal ? "signal " + std::to_string(signal) : "exit code " + std::to_string(status);
}

std::string last_line(const std::string& file) {
    std::string last;
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) last = line;
    return last;
}

}  // namespace

std::string Scenario::loopback_address(int network, int host) const {
    return "127." + std::to_string(second_octet_) + "." + std::to_string(network) + "." +
           std::to_string(host);
}

// Addresses that no other process uses, so that a process can bind its port again after a restart.
std::vector<std::string> Scenario::free_addresses(const std::string& host, std::size_t count) {
    std::vector<int> ports = net::free_ports(loop_, host, count);
    if (ports.empty()) {
        fail_with_system_error(error_.empty() ? host + ": no free port" : error_);
        ports.assign(count, 0);
    }
    std::vector<std::string> addresses;
    addresses.reserve(ports.size());
    for (const int port : ports) addresses.push_back(host + ":" + std::to_string(port));
    return addresses;
}

void Scenario::assign_addresses(EngineProcess& engine) {
    const std::string host = loopback_address(engine.engine.endpoint.zone + 1, ++next_engine_host_);
    const auto addresses = free_addresses(host, 2);
    engine.engine.address = addresses[0];
    engine.control_address = addresses[1];
}

// The folder that the engines of one dedup scope share to recognize duplicates. The widest scope of all
// classes is used.
std::string Scenario::dedup_folder(const Endpoint& endpoint) const {
    DedupScope scope = DedupScope::cell;
    for (const auto& class_settings : plan_.program.router.classes) {
        if (class_settings.idempotency != Idempotency::with_key) continue;
        if (class_settings.dedup_scope != DedupScope::cell)
            scope = std::min(scope, class_settings.dedup_scope);
    }
    const std::string keys = options_.output_folder + "/keys/";
    if (scope == DedupScope::zone) return keys + "zone-" + std::to_string(endpoint.zone);
    if (scope == DedupScope::cell) return keys + "cell-" + std::to_string(endpoint.cell);
    return keys + "all";
}

void Scenario::start_engine(EngineProcess& engine, bool cold) {
    const Endpoint& endpoint = engine.engine.endpoint;
    const auto id = std::to_string(endpoint.id);
    const std::string keys = dedup_folder(endpoint);
    std::error_code error;
    std::filesystem::create_directories(keys, error);
    std::vector<std::string> arguments = {options_.executable,
                                          "fake-engine",
                                          plan_.settings_file,
                                          "--server",
                                          id,
                                          "--kind",
                                          plan_.program.kinds[static_cast<std::size_t>(endpoint.kind)],
                                          "--address",
                                          engine.engine.address,
                                          "--control",
                                          engine.control_address,
                                          "--record",
                                          options_.output_folder + "/records/engine-" + id + ".ndjson",
                                          "--keys",
                                          keys};
    if (cold) arguments.emplace_back("--cold");
    engine.running = true;
    const std::string log = options_.output_folder + "/engine-" + id + ".log";
    const auto on_exit = [this, &engine, id, log](int status, int signal) {
        recorder_->write(net::now(), "down", {{"server", engine.engine.endpoint.id}});
        engine.running = false;
        // Injected crashes are SIGKILL; an engine that exits by itself is an error of the scenario.
        if (signal == 0 && !ended_)
            on_start_failure("engine " + id + " at " + engine.engine.address, log, status, signal);
    };
    engine.child = std::make_unique<net::ChildProcess>(loop_, on_exit);
    await_ready(*engine.child);
    if (const int code = engine.child->spawn(arguments, log))
        fail_with_system_error("engine " + id + ": " + net::error_text(code));
}

void Scenario::start_gateway(GatewayProcess& gateway) {
    const auto number = std::to_string(gateway.number);
    const std::uint64_t seed = seed_ * 1000 + static_cast<std::uint64_t>(gateway.number);
    const std::vector<std::string> arguments = {options_.executable,
                                                "serve",
                                                plan_.settings_file,
                                                "--listen",
                                                gateway.address,
                                                "--zone",
                                                plan_.program.zones[static_cast<std::size_t>(gateway.zone)],
                                                "--source",
                                                gateway.source,
                                                "--fleet",
                                                gateway.fleet_file,
                                                "--gateways",
                                                std::to_string(plan_.gateways),
                                                "--state",
                                                gateway.state_folder,
                                                "--journal",
                                                options_.output_folder + "/journal-" + number + ".ndjson",
                                                "--seed",
                                                std::to_string(seed)};
    gateway.exit_expected = false;
    const std::string log = options_.output_folder + "/gateway-" + number + ".log";
    const auto on_exit = [this, &gateway, log](int status, int signal) {
        on_gateway_exit(gateway, log, status, signal);
    };
    gateway.child = std::make_unique<net::ChildProcess>(loop_, on_exit);
    await_ready(*gateway.child);
    if (const int code = gateway.child->spawn(arguments, log))
        fail_with_system_error("gateway " + gateway.address + ": " + net::error_text(code));
}

void Scenario::on_gateway_exit(GatewayProcess& gateway, const std::string& log, int status, int signal) {
    if (ended_) return;  // killed by end(): not an error, and the first error is already recorded
    if (!processes_ready_) return on_start_failure("gateway " + gateway.address, log, status, signal);
    const bool failed_to_drain = stopping_ && (status != 0 || signal != 0);
    if (!gateway.exit_expected || failed_to_drain)
        error_ = "gateway " + gateway.address + " exited with status " + std::to_string(status) +
                 ", signal " + std::to_string(signal);
    const bool any_running = std::any_of(gateways_.begin(), gateways_.end(),
                                         [](const auto& other) { return other->child->running(); });
    if (stopping_ && !any_running) end();
}

// A process prints `ready` on its standard output when it listens. A successful connection would not prove
// that: another program could listen on the address.
void Scenario::await_ready(net::ChildProcess& process) {
    if (processes_ready_) return;
    ++processes_not_ready_;
    process.on_line = [this](const std::string& line) {
        if (processes_ready_ || line.rfind("ready ", 0) != 0 || --processes_not_ready_ > 0) return;
        on_processes_ready();
    };
}

void Scenario::on_start_failure(const std::string& name, const std::string& log, int status, int signal) {
    if (!error_.empty()) return;
    const std::string message = last_line(log);
    fail_with_system_error(name + " did not start (" + describe_exit(status, signal) +
                           "): " + (message.empty() ? "see " + log : message));
}

void Scenario::start_clients() {
    std::string addresses;
    for (const auto& gateway : gateways_) addresses += (addresses.empty() ? "" : ",") + gateway->address;
    for (std::size_t i = 0; i < plan_.loads.size(); ++i) start_client(i, addresses);
}

void Scenario::start_client(std::size_t index, const std::string& gateways) {
    clients_.push_back(std::make_unique<net::ChildProcess>(loop_, [this](int status, int signal) {
        if (status != 0 || signal != 0)
            error_ = "client process failed (" + describe_exit(status, signal) + ")";
        if (--running_clients_ == 0) on_clients_done();
    }));
    ++running_clients_;
    const std::string log = options_.output_folder + "/client-" + std::to_string(index) + ".log";
    if (const int code = clients_.back()->spawn(client_arguments(index, gateways), log))
        error_ = "client process: " + net::error_text(code);
}

std::vector<std::string> Scenario::client_arguments(std::size_t index, const std::string& gateways) const {
    const Load& load = plan_.loads[index];
    const Millis until = load.until > 0 ? std::min(load.until, plan_.length) : plan_.length;
    const Millis overdue = plan_.program.router.answer_slack + kOverdueMargin;
    std::vector<std::string> arguments = {
        options_.executable,
        "client",
        "--gateways",
        gateways,
        "--key",
        load.key,
        "--class",
        load.cls,
        "--model",
        load.model,
        "--per-s",
        std::to_string(load.per_s),
        "--impatient",
        std::to_string(load.impatient),
        "--prompt-tokens",
        std::to_string(load.prompt_tokens),
        "--prefix-tokens",
        std::to_string(load.prefix_tokens),
        "--prefixes",
        std::to_string(load.prefixes),
        "--max-tokens",
        std::to_string(load.max_tokens),
        "--turns",
        std::to_string(load.turns),
        "--retries",
        std::to_string(load.retries),
        "--think-ms",
        std::to_string(load.think),
        "--patience-ms",
        std::to_string(load.patience),
        "--usual-answer",
        std::to_string(load.usual_answer),
        "--seed",
        std::to_string(seed_ * 100 + index),
        "--length-ms",
        std::to_string(until),
        "--from-ms",
        std::to_string(load.from),
        "--overdue-ms",
        std::to_string(overdue),
        "--record",
        options_.output_folder + "/records/client-" + std::to_string(index) + ".ndjson"};
    if (!load.stream) arguments.emplace_back("--whole");
    if (load.keyed) arguments.emplace_back("--keyed");
    return arguments;
}

}  // namespace gorsenotch::fault_scenario
