#include "cli/gateway_overrides.h"

#include <algorithm>
#include <iostream>

namespace gorsenotch::cli {

bool GatewayOverrides::apply_to(settings::ProgramSettings& program) const {
    if (!listen.empty()) program.listen = listen;
    if (!source_address.empty()) program.source = source_address;
    if (!fleet_file.empty()) program.fleet_file = fleet_file;
    if (gateways > 0) program.router.gateways = gateways;
    if (seed) program.seed = *seed;
    if (zone.empty()) return true;
    const auto it = std::find(program.zones.begin(), program.zones.end(), zone);
    if (it == program.zones.end()) {
        std::cerr << "--zone: the settings define no zone '" << zone << "'\n";
        return false;
    }
    program.router.own_zone = static_cast<int>(it - program.zones.begin());
    return true;
}

void add_decision_overrides(CLI::App& command, GatewayOverrides& overrides) {
    command.add_option("--zone", overrides.zone, "own zone, overrides the settings");
    command.add_option("--gateways", overrides.gateways, "number of gateways, overrides the settings");
    command.add_option("--seed", overrides.seed, "random seed of the decisions, overrides the settings");
}

}  // namespace gorsenotch::cli
