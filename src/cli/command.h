// The sub-commands. Each add_ function declares one with its options and returns it with the function that
// runs it.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace gorsenotch::cli {

// `app` belongs to the CLI::App that the command was added to. `run` is called once, after the command line
// has been parsed, and returns the program's exit code. A process that serves until it is told to stop
// returns kExitDone when SIGTERM, SIGINT or SIGHUP came, also while it starts; one that has a job to finish
// returns kExitInterrupted.
struct Command {
    CLI::App* app = nullptr;
    std::function<int()> run;
};

// A gateway until SIGTERM.
Command add_serve_command(CLI::App& app);
// A gateway on the platform, configured by the GW_ variables.
Command add_node_command(CLI::App& app);
// Checks a settings file.
Command add_check_command(CLI::App& app);
// One fake engine. `arguments` is this process's command line, with which the engine starts itself anew after
// a crash.
Command add_fake_engine_command(CLI::App& app, std::vector<std::string> arguments);
// The settings' engines as fake engines, and the gateway.
Command add_up_command(CLI::App& app);
// A fault scenario on loopback, then its verdict.
Command add_scenario_command(CLI::App& app);
// Feeds a decision journal to the Router again and compares.
Command add_replay_command(CLI::App& app);
// The scripted clients of a scenario.
Command add_client_command(CLI::App& app);

}  // namespace gorsenotch::cli
