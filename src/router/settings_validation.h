// Validation of the settings that a Router is constructed with.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::router {

// Throws std::invalid_argument naming the first setting that cannot be used.
void validate_settings(const Settings& settings);

}  // namespace gorsenotch::router
