#include <iostream>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/settings_file.h"

namespace gorsenotch::cli {

Command add_check_command(CLI::App& app) {
    const auto file = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("check", "check a settings file and report all faults");
    command->add_option("settings", *file)->required();
    const auto run = [file] {
        if (!load_settings(*file)) return kExitInvalidInput;
        std::cout << *file << ": valid\n";
        return kExitSuccess;
    };
    return {command, run};
}

}  // namespace gorsenotch::cli
