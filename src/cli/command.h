// The sub-commands. Each add_ function declares one sub-command with its options and returns it together with
// the function that runs it.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace gorsenotch::cli {

// `app` is owned by the CLI::App that the command was added to. `run` is called once, after the command line
// has been parsed, and returns the program's exit code. On SIGTERM, SIGINT or SIGHUP, also while it starts, a
// command that serves until it is stopped returns kExitSuccess; one that has work to complete returns
// kExitInterrupted.
struct Command {
    CLI::App* app = nullptr;
    std::function<int()> run;
};

// Runs a gateway until a stop signal.
Command add_serve_command(CLI::App& app);
// Runs a gateway on the platform, configured by the GW_ environment variables.
Command add_node_command(CLI::App& app);
// Checks a settings file.
Command add_check_command(CLI::App& app);
// Runs one fake engine. `arguments` is this process's command line, with which the engine restarts itself
// when its control port receives `restart`.
Command add_fake_engine_command(CLI::App& app, std::vector<std::string> arguments);
// Runs the engines listed in the settings as fake engines, and the gateway.
Command add_up_command(CLI::App& app);
// Runs a fault scenario on loopback and prints the verdict.
Command add_scenario_command(CLI::App& app);
// Replays a decision journal through the Router and compares the decisions.
Command add_replay_command(CLI::App& app);
// Runs the scripted clients of a scenario.
Command add_client_command(CLI::App& app);

}  // namespace gorsenotch::cli
