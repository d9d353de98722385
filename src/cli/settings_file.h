// What several sub-commands need of files: the settings, and this program's own file.
#pragma once

#include <optional>
#include <string>

#include "settings/settings.h"

namespace gorsenotch::cli {

// The settings, or nothing after every fault has been written to standard error.
std::optional<settings::Program> load_settings(const std::string& file);

// Path of this program's executable, to start it as another process.
std::string own_executable();

}  // namespace gorsenotch::cli
