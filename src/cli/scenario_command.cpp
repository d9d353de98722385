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

// Prints the verdict of one run and returns its exit code.
int report(const fault_scenario::ScenarioPlan& plan, const fault_scenario::ScenarioOptions& options,
           const fault_scenario::ScenarioResult& result) {
    if (result.interrupted || result.system) {
        std::cerr << "scenario " << plan.name << ": " << result.error << '\n';
        return result.interrupted ? kExitInterrupted : kExitSystemError;
    }
    std::printf("scenario %s, seed %llu, %.1f s, records in %s\n%s", plan.name.c_str(),
                static_cast<unsigned long long>(*options.seed), result.seconds, options.output_folder.c_str(),
                invariants::format_verdict(result.verdict).c_str());
    const bool completed = result.error.empty();
    if (!completed) std::printf("not completed: %s\n", result.error.c_str());
    const char* summary = result.verdict.all_hold() ? "all invariants kept" : "INVARIANT VIOLATED";
    std::printf("%s\n", completed ? summary : "NOT COMPLETED");
    std::fflush(stdout);
    return completed && result.verdict.all_hold() ? kExitSuccess : kExitViolation;
}

// Runs the scenario with consecutive seeds. An interrupt or a system error ends the series immediately.
int run_scenario(const ScenarioArguments& arguments) {
    std::string faults;
    const auto plan = fault_scenario::load_plan(arguments.file, faults);
    if (!plan) {
        std::cerr << faults;
        return kExitInvalidInput;
    }
    fault_scenario::ScenarioOptions options = arguments.options;
    options.executable = own_executable();
    const std::uint64_t first_seed = options.seed.value_or(plan->seed);
    int exit_code = kExitSuccess;
    for (int i = 0; i < arguments.seeds; ++i) {
        options.seed = first_seed + static_cast<std::uint64_t>(i);
        if (arguments.seeds > 1)
            options.output_folder = arguments.options.output_folder + "/" + std::to_string(*options.seed);
        const int code = report(*plan, options, fault_scenario::Scenario(*plan, options).run());
        if (code == kExitInterrupted || code == kExitSystemError) return code;
        if (code != kExitSuccess) exit_code = code;
    }
    return exit_code;
}

}  // namespace

Command add_scenario_command(CLI::App& app) {
    const auto arguments = std::make_shared<ScenarioArguments>();
    arguments->options.output_folder = (std::filesystem::temp_directory_path() / "gorsenotch-day").string();
    CLI::App* command =
        app.add_subcommand("scenario", "run a fault scenario on loopback and check the invariants");
    command->alias("day");
    command->add_option("scenario", arguments->file, "scenario file")->required();
    command->add_option("--seed", arguments->options.seed, "random seed, overrides the scenario's");
    command->add_option("--seeds", arguments->seeds, "number of runs, with consecutive seeds")
        ->check(CLI::Range(1, 1000));
    command->add_option(
        "--out", arguments->options.output_folder,
        "folder for records and logs, with --seeds above 1 a subfolder per seed; the folder that a run "
        "writes to is emptied first");
    return {command, [arguments] { return run_scenario(*arguments); }};
}

}  // namespace gorsenotch::cli
