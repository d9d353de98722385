// File functions shared by several sub-commands: the settings file and the program's executable.
#pragma once

#include <optional>
#include <string>

#include "settings/settings.h"

namespace gorsenotch::cli {

// Loads the settings. If they are invalid, writes every fault to standard error and returns no value.
std::optional<settings::ProgramSettings> load_settings(const std::string& file);

// Path of this program's executable, used to start further processes of it.
std::string own_executable();

}  // namespace gorsenotch::cli
