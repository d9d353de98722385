// The program's command line: declares the sub-commands and runs the one that was named.
#include <CLI/CLI.hpp>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "net/child_process.h"

int main(int argc, char** argv) {
    using namespace gorsenotch::cli;
    if (!gorsenotch::net::die_with_parent()) return kExitSystemError;
    CLI::App app{"gorsenotch: a router for language-model serving with separate prefill and decode engines"};
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 success, 1 an invariant was violated or a replay differed, 2 invalid command line,\n"
        "3 invalid input file, 4 system error (such as an address in use or a process that cannot be "
        "started),\n"
        "5 stopped by a signal before its work was complete.\n\n"
        "Examples:\n"
        "  gorsenotch check examples/local.xml\n"
        "  gorsenotch up examples/local.xml\n"
        "  gorsenotch scenario days/crash-third.xml --seeds 10");
    const std::vector<Command> commands = {
        add_serve_command(app),  add_node_command(app),
        add_check_command(app),  add_fake_engine_command(app, std::vector<std::string>(argv, argv + argc)),
        add_up_command(app),     add_scenario_command(app),
        add_replay_command(app), add_client_command(app),
    };
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kExitSuccess : kExitUsageError;
    }
    for (const Command& command : commands) {
        if (command.app->parsed()) return command.run();
    }
    return kExitUsageError;
}
