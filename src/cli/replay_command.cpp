#include <fstream>
#include <iostream>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/gateway_overrides.h"
#include "cli/settings_file.h"
#include "state/decision_journal.h"
#include "state/journal_replay.h"

namespace gorsenotch::cli {

namespace {

struct ReplayArguments {
    std::string settings_file;
    std::string journal_file;
    GatewayOverrides overrides;
};

int run_replay(const ReplayArguments& arguments) {
    auto program = load_settings(arguments.settings_file);
    if (!program || !arguments.overrides.apply_to(*program)) return kExitInvalidInput;
    std::ifstream journal(arguments.journal_file);
    if (!journal) {
        std::cerr << arguments.journal_file << ": cannot be opened for reading\n";
        return kExitInvalidInput;
    }
    try {
        const auto result = state::replay(journal, program->router);
        const bool is_identical = result.difference.empty();
        std::cout << result.events << " events, " << result.actions
                  << " actions: " << (is_identical ? "the same" : "DIFFERENT, " + result.difference) << '\n';
        return is_identical ? kExitSuccess : kExitViolation;
    } catch (const std::exception& error) {
        std::cerr << arguments.journal_file << ": " << error.what() << '\n';
        return kExitInvalidInput;
    }
}

}  // namespace

Command add_replay_command(CLI::App& app) {
    const auto arguments = std::make_shared<ReplayArguments>();
    CLI::App* command = app.add_subcommand(
        "replay", "replay a journal's events through the Router and compare its decisions");
    command->add_option("settings", arguments->settings_file)->required();
    command->add_option("journal", arguments->journal_file)->required();
    add_decision_overrides(*command, arguments->overrides);
    return {command, [arguments] { return run_replay(*arguments); }};
}

}  // namespace gorsenotch::cli
