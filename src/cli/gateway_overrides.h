// Command-line options that override values of the settings.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "settings/settings.h"

namespace gorsenotch::cli {

// An empty, zero or unset member leaves the value of the settings.
struct GatewayOverrides {
    std::string listen;
    std::string zone;
    std::string source_address;
    std::string fleet_file;
    int gateways = 0;
    std::optional<std::uint64_t> seed;

    // Returns false and reports the fault on standard error if the settings do not define the zone.
    bool apply_to(settings::ProgramSettings& program) const;
};

// Adds the options that influence the Router's decisions. `overrides` must outlive the parsing of the command
// line.
void add_decision_overrides(CLI::App& command, GatewayOverrides& overrides);

}  // namespace gorsenotch::cli
