// Scenario: writes the endpoint lists of the gateways and records when each list changed.
#include <filesystem>
#include <fstream>

#include "fault_scenario/scenario_internal.h"

namespace gorsenotch::fault_scenario {

namespace {

// The `mode` field of a `told` record.
const char* status_word(EndpointStatus status) {
    switch (status) {
        case EndpointStatus::healthy:
            return "healthy";
        case EndpointStatus::draining:
            return "draining";
        default:
            return "gone";
    }
}

}  // namespace

void Scenario::write_lists_after(Millis delay) {
    schedule(delay, [this] {
        for (auto& gateway : gateways_) {
            if (!gateway->list_frozen) write_list(*gateway);
        }
    });
}

void Scenario::write_list(GatewayProcess& gateway) {
    std::vector<settings::Engine> engines;
    for (const auto& engine : engines_) engines.push_back(engine->engine);
    const std::string new_file = gateway.fleet_file + ".new";
    std::ofstream(new_file, std::ios::trunc) << settings::write_fleet(engines, plan_.program);
    const Millis before = net::now();
    std::error_code error;
    std::filesystem::rename(new_file, gateway.fleet_file, error);
    record_list(gateway, engines, before, net::now());
}

// A gateway may read the file as soon as it is renamed, before this process continues. A status that permits
// requests (healthy) is therefore recorded with the time before the rename, one that forbids them with the
// time after it.
void Scenario::record_list(GatewayProcess& gateway, const std::vector<settings::Engine>& engines,
                           Millis before, Millis after) {
    for (const auto& engine : engines) {
        const EndpointStatus status = engine.endpoint.status;
        EndpointStatus& listed =
            gateway.listed.emplace(engine.endpoint.id, EndpointStatus::healthy).first->second;
        if (listed == status) continue;
        listed = status;
        recorder_->write(
            status == EndpointStatus::healthy ? before : after, "told",
            {{"server", engine.endpoint.id}, {"mode", status_word(status)}, {"gateway", gateway.address}});
    }
}

}  // namespace gorsenotch::fault_scenario
