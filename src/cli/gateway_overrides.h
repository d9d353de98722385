// Command line options that stand in place of the settings' values.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "settings/settings.h"

namespace gorsenotch::cli {

// Empty or zero: the settings' value holds.
struct GatewayOverrides {
    std::string listen;
    std::string zone;
    std::string source;
    std::string fleet_file;
    int gateways = 0;
    std::optional<std::uint64_t> seed;

    // False, with a line on standard error, if the settings don't have the zone.
    bool apply_to(settings::Program& program) const;
};

// The options that change what the Router decides; `overrides` must outlive the parsing of the command line.
void add_decision_overrides(CLI::App& command, GatewayOverrides& overrides);

}  // namespace gorsenotch::cli
