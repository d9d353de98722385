// Scenario: fault injection into engines and gateways.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>

#include "fault_scenario/scenario_internal.h"
#include "http/parser.h"
#include "net/tcp_stream.h"

namespace gorsenotch::fault_scenario {

namespace {

constexpr Millis kShortestDowntime = 100;  // from SIGKILL to the restart
constexpr Millis kGatewayStartTime = 500;  // after a restart, during which a gateway counts as down
constexpr Millis kDrainMargin = 1000;      // from the endpoint list's update to the engine's end
constexpr Millis kShortestSuspension = 5;

Millis wall_clock() {
    using std::chrono::duration_cast;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Millis>(duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace

void Scenario::inject_fault(const Fault& fault, std::size_t number) {
    std::mt19937_64 random(seed_ * 7919 + number);
    switch (fault.kind) {
        case FaultKind::kill_gateway:
            if (GatewayProcess* gateway = random_running_gateway(random)) kill_gateway(*gateway, fault);
            return;
        case FaultKind::suspend_gateway:
            if (GatewayProcess* gateway = random_running_gateway(random))
                suspend_gateway(*gateway, fault.duration);
            return;
        case FaultKind::suspend_gateways:
            return suspend_gateways_in_turn(fault, net::now() + fault.duration, 0);
        case FaultKind::cut_zone:
            set_zone_cut(*fault.zone, true);
            return schedule(fault.duration, [this, zone = *fault.zone] { set_zone_cut(zone, false); });
        case FaultKind::crash_engine:
        case FaultKind::drain_engine:
        case FaultKind::order_engine:
            for (EngineProcess* engine : affected_engines(fault, random)) inject_engine_fault(*engine, fault);
    }
}

void Scenario::inject_engine_fault(EngineProcess& engine, const Fault& fault) {
    if (fault.kind == FaultKind::crash_engine) return crash_engine(engine, fault);
    if (fault.kind == FaultKind::drain_engine) return drain_engine(engine, fault);
    invariants::Json order = {{"order", fault.engine_order},
                              {"on", true},
                              {"class", fault.cls},
                              {"factor", fault.magnitude},
                              {"ms", fault.magnitude}};
    send_order(engine, order);
    order["on"] = false;
    schedule(fault.duration, [this, &engine, order] { send_order(engine, order); });
}

// A random selection of the healthy engines that match the fault's filters.
std::vector<Scenario::EngineProcess*> Scenario::affected_engines(const Fault& fault,
                                                                 std::mt19937_64& random) {
    std::vector<EngineProcess*> matching;
    for (auto& engine : engines_) {
        const Endpoint& endpoint = engine->engine.endpoint;
        if (!engine->running || engine->excluded_from_faults || endpoint.status != EndpointStatus::healthy)
            continue;
        if (fault.engine_kind && endpoint.kind != *fault.engine_kind) continue;
        if (fault.zone && endpoint.zone != *fault.zone) continue;
        if (fault.cell && endpoint.cell != *fault.cell) continue;
        matching.push_back(engine.get());
    }
    for (std::size_t i = matching.size(); i > 1; --i) std::swap(matching[i - 1], matching[random() % i]);
    const double count = std::ceil(fault.fraction * static_cast<double>(matching.size()) - 1e-9);
    matching.resize(std::min(static_cast<std::size_t>(count), matching.size()));
    return matching;
}

Scenario::GatewayProcess* Scenario::random_running_gateway(std::mt19937_64& random) {
    std::vector<GatewayProcess*> candidates;
    for (auto& gateway : gateways_) {
        if (gateway->is_fault_target()) candidates.push_back(gateway.get());
    }
    if (candidates.empty()) return nullptr;
    return candidates[random() % candidates.size()];
}

void Scenario::crash_engine(EngineProcess& engine, const Fault& fault) {
    engine.child->kill(SIGKILL);
    engine.engine.endpoint.status = EndpointStatus::removed;
    write_lists_after(fault.list_update_delay);
    if (fault.duration <= 0) {
        engine.excluded_from_faults = true;
        return;
    }
    schedule(std::max(fault.duration, kShortestDowntime), [this, &engine, delay = fault.list_update_delay] {
        if (ended_) return;
        engine.engine.endpoint.status = EndpointStatus::healthy;
        engine.engine.endpoint.started_at = wall_clock();
        start_engine(engine, true);
        write_lists_after(delay);
    });
}

// Drains the engine, then replaces it by a new one.
void Scenario::drain_engine(EngineProcess& engine, const Fault& fault) {
    engine.engine.endpoint.status = EndpointStatus::draining;
    engine.excluded_from_faults = true;
    write_lists_after(fault.list_update_delay);
    schedule(std::max(fault.duration, fault.list_update_delay + kDrainMargin),
             [this, &engine, delay = fault.list_update_delay] { replace_engine(engine, delay); });
}

// Kills the engine and starts another with a new id, new addresses and a slow start.
void Scenario::replace_engine(EngineProcess& engine, Millis list_update_delay) {
    if (ended_) return;
    engine.child->kill(SIGKILL);
    engine.engine.endpoint.status = EndpointStatus::removed;
    auto replacement = std::make_unique<EngineProcess>();
    replacement->engine = engine.engine;
    Endpoint& endpoint = replacement->engine.endpoint;
    endpoint.id = ++next_engine_id_;
    endpoint.status = EndpointStatus::healthy;
    endpoint.started_at = wall_clock();
    assign_addresses(*replacement);
    start_engine(*replacement, true);
    engines_.push_back(std::move(replacement));
    write_lists_after(list_update_delay);
}

// Starts or ends a network partition between the zone and all others. Each engine drops the traffic of
// engines and gateways on the other side.
void Scenario::set_zone_cut(int zone, bool on) {
    const int zones = static_cast<int>(plan_.program.zones.size());
    for (auto& engine : engines_) {
        if (!engine->running) continue;
        const bool is_inside = engine->engine.endpoint.zone == zone;
        for (int other = 0; other < zones; ++other) {
            if (is_inside == (other == zone)) continue;
            for (const int first_network : {1, 100}) {  // engines, gateways
                const std::string from = "127." + std::to_string(second_octet_) + "." +
                                         std::to_string(first_network + other) + ".";
                send_order(*engine, {{"order", "cut"}, {"on", on}, {"from", from}});
            }
        }
        if (on) record_cut(*engine, zone);
    }
}

void Scenario::record_cut(const EngineProcess& engine, int zone) {
    Millis length = 0;
    for (const auto& fault : plan_.faults) {
        if (fault.kind == FaultKind::cut_zone && fault.zone == zone)
            length = std::max(length, fault.duration);
    }
    recorder_->write(
        net::now(), "trouble",
        {{"server", engine.engine.endpoint.id}, {"what", "cut"}, {"until", net::now() + length}});
}

void Scenario::kill_gateway(GatewayProcess& gateway, const Fault& fault) {
    const Millis downtime = std::max(fault.duration, kShortestDowntime);
    gateway.exit_expected = true;
    gateway.list_frozen = true;
    gateway.child->kill(SIGKILL);
    const Millis until = net::now() + downtime + kGatewayStartTime;
    recorder_->write(net::now(), "kill_gateway", {{"gateway", gateway.address}, {"until", until}});
    schedule(downtime, [this, &gateway, delay = fault.list_update_delay] {
        if (ended_ || stopping_) return;
        start_gateway(gateway);
        schedule(delay, [this, &gateway] {
            gateway.list_frozen = false;
            write_list(gateway);
        });
    });
}

// Suspends the process and resumes it after `length`, as under a debugger or on a host that swaps.
void Scenario::suspend_gateway(GatewayProcess& gateway, Millis length) {
    recorder_->write(net::now(), "stop_gateway",
                     {{"gateway", gateway.address}, {"until", net::now() + length}});
    gateway.suspended = true;
    gateway.child->kill(SIGSTOP);
    schedule(length, [&gateway] {
        gateway.suspended = false;
        gateway.child->kill(SIGCONT);
    });
}

// CPU starvation: suspends one gateway at a time, in turn, for `magnitude` ms each.
void Scenario::suspend_gateways_in_turn(const Fault& fault, Millis until, std::size_t turn) {
    if (ended_ || stopping_ || net::now() >= until) return;
    GatewayProcess& gateway = *gateways_[turn % gateways_.size()];
    const Millis length = std::max(fault.magnitude, kShortestSuspension);
    if (gateway.is_fault_target()) suspend_gateway(gateway, length);
    schedule(length, [this, &fault, until, turn] { suspend_gateways_in_turn(fault, until, turn + 1); });
}

void Scenario::send_order(const EngineProcess& engine, const invariants::Json& order) {
    if (!engine.running) return;
    orders_.push_back(std::make_unique<net::TcpStream>(loop_));
    net::TcpStream* connection = orders_.back().get();
    const std::string body = order.dump();
    connection->connect(engine.control_address, "", [connection, body](int error) {
        if (error != 0) return;
        const http::Headers headers = {{"host", "control"}, {"content-length", std::to_string(body.size())}};
        connection->set_reading(true);
        connection->write(http::request_head("POST", "/control", headers) + body);
    });
}

}  // namespace gorsenotch::fault_scenario
