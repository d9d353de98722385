// Validation of the settings that a Router is constructed with.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::router {

// Throws std::invalid_argument, which names the first invalid setting.
void validate_settings(const Settings& settings);

}  // namespace gorsenotch::router
