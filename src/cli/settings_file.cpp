#include "cli/settings_file.h"

#include <filesystem>
#include <iostream>
#include <vector>

namespace gorsenotch::cli {

std::optional<settings::ProgramSettings> load_settings(const std::string& file) {
    std::vector<settings::FileFault> faults;
    auto program = settings::load(file, faults);
    if (!program) std::cerr << settings::render(file, faults);
    return program;
}

std::string own_executable() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

}  // namespace gorsenotch::cli
