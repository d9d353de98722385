// The configuration of a gateway node, from the GW_ environment variables and the configuration file. No I/O,
// no state.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

// An invalid configuration; the message names the variable, or the path within the file.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The gateway's configuration, validated.
struct Config {
    std::string name;
    std::string listen;     // address and port for clients
    std::string discovery;  // address and port of discovery
    std::uint64_t seed = 0;
    std::size_t memory_mb = 0;  // 0: no limit
    std::size_t sockets = 0;    // 0: no limit
    settings::NamedSettings named;
    std::string cached_list;  // an endpoint list in discovery's format; empty: none
};

// Parses the text of the configuration file. `listen` and `discovery` are defaults from the environment, for
// what the file does not set. Throws ConfigError.
Config parse_config(const std::string& text, const std::string& listen, const std::string& discovery);

}  // namespace gorsenotch::platform
