// What the platform tells a gateway: the GW_ variables and the configuration file. No I/O.
//
// Errors: ConfigError names the variable, or the path within the file.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name, listen, discovery;
    std::uint64_t seed = 0;
    std::size_t memory_mb = 0, sockets = 0;  // 0: not told
    settings::NamedSettings named;
    std::string known;  // the list as last held, in discovery's form; empty: none
};

// The file's text. `listen` and `discovery`: from the variables, used where the file has none.
Config parse_config(const std::string& text, const std::string& listen, const std::string& discovery);

}  // namespace gorsenotch::platform
