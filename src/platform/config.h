// The configuration of a node: the GW_ variables and the configuration file. No I/O, no state.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

// A configuration that cannot be taken; the message names the variable, or the path within the file.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The gateway's configuration, validated.
struct Config {
    std::string name;
    std::string listen;     // the address and port for clients
    std::string discovery;  // the address and port of discovery
    std::uint64_t seed = 0;
    std::size_t memory_mb = 0;  // 0: no limit given
    std::size_t sockets = 0;    // 0: no limit given
    settings::NamedSettings named;
    std::string known;  // the cached endpoint list, in discovery's form; empty: none
};

// `text`: of the file. `listen` and `discovery`: from the variables, used where the file has none. Throws
// ConfigError.
Config parse_config(const std::string& text, const std::string& listen, const std::string& discovery);

}  // namespace gorsenotch::platform
