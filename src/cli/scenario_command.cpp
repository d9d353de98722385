#include <cstdio>
#include <filesystem>
#include <iostream>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/settings_file.h"
#include "fault_scenario/scenario.h"

namespace gorsenotch::cli {

namespace {

struct ScenarioArguments {
    std::string file;
    fault_scenario::ScenarioOptions options;
    int seeds = 1;
};

// Prints the verdict of one run; returns its exit code.
int report(const fault_scenario::ScenarioPlan& plan, const fault_scenario::ScenarioOptions& options,
           const fault_scenario::ScenarioResult& result) {
    if (result.interrupted || result.system) {
        std::cerr << "day " << plan.name << ": " << result.error << '\n';
        return result.interrupted ? kExitInterrupted : kExitSystem;
    }
    std::printf("day %s, seed %llu, %.1f s, records in %s\n%s", plan.name.c_str(),
                static_cast<unsigned long long>(*options.seed), result.seconds, options.out.c_str(),
                invariants::format_verdict(result.verdict).c_str());
    const bool was_played = result.error.empty();
    if (!was_played) std::printf("not played through: %s\n", result.error.c_str());
    const char* summary = result.verdict.kept() ? "all rules kept" : "A RULE BROKE";
    std::printf("%s\n", was_played ? summary : "NOT PLAYED");
    std::fflush(stdout);
    return was_played && result.verdict.kept() ? kExitDone : kExitViolation;
}

// Plays the scenario with one seed after another. An interrupt or a refusal of the system ends it at once.
int run_scenario(const ScenarioArguments& arguments) {
    std::string faults;
    const auto plan = fault_scenario::load_plan(arguments.file, faults);
    if (!plan) {
        std::cerr << faults;
        return kExitRefused;
    }
    fault_scenario::ScenarioOptions options = arguments.options;
    options.self = own_executable();
    const std::uint64_t first_seed = options.seed.value_or(plan->seed);
    int exit_code = kExitDone;
    for (int i = 0; i < arguments.seeds; ++i) {
        options.seed = first_seed + static_cast<std::uint64_t>(i);
        if (arguments.seeds > 1) options.out = arguments.options.out + "/" + std::to_string(*options.seed);
        const int code = report(*plan, options, fault_scenario::Scenario(*plan, options).run());
        if (code == kExitInterrupted || code == kExitSystem) return code;
        if (code != kExitDone) exit_code = code;
    }
    return exit_code;
}

}  // namespace

Command add_scenario_command(CLI::App& app) {
    const auto arguments = std::make_shared<ScenarioArguments>();
    arguments->options.out = (std::filesystem::temp_directory_path() / "gorsenotch-day").string();
    CLI::App* command =
        app.add_subcommand("scenario", "play a fault scenario on loopback and check the invariants");
    command->alias("day");
    command->add_option("scenario", arguments->file, "scenario file")->required();
    command->add_option("--seed", arguments->options.seed, "in place of the scenario's");
    command->add_option("--seeds", arguments->seeds, "play it so often, with one seed after another")
        ->check(CLI::Range(1, 1000));
    command->add_option("--out", arguments->options.out, "folder for records and logs; emptied first");
    return {command, [arguments] { return run_scenario(*arguments); }};
}

}  // namespace gorsenotch::cli
