#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/gateway_overrides.h"
#include "cli/gateway_process.h"
#include "cli/settings_file.h"
#include "cli/stop_signals.h"
#include "net/process_memory.h"
#include "platform/node.h"

namespace gorsenotch::cli {

namespace {

struct ServeArguments {
    std::string settings_file;
    GatewayOverrides overrides;
    gateway::ServeOptions options;
};

int run_serve(const ServeArguments& arguments) {
    auto program = load_settings(arguments.settings_file);
    if (!program || !arguments.overrides.apply_to(*program)) return kExitInvalidInput;
    net::return_large_blocks_at_once();
    const LogThread log_thread(program->log_level);
    net::EventLoop loop;
    GatewayProcess gateway(loop, std::move(*program), arguments.options);
    const StopSignals stop_signals(loop, [&] { gateway.stop(); });
    if (!gateway.start()) return kExitSystemError;
    loop.run();
    return kExitSuccess;
}

}  // namespace

Command add_serve_command(CLI::App& app) {
    const auto arguments = std::make_shared<ServeArguments>();
    CLI::App* command = app.add_subcommand("serve", "run a gateway until SIGTERM");
    command->add_option("settings", arguments->settings_file, "settings file")->required();
    GatewayOverrides& overrides = arguments->overrides;
    add_decision_overrides(*command, overrides);
    command->add_option("--listen", overrides.listen, "address to listen on, overrides the settings");
    command->add_option("--source", overrides.source_address, "local address for connections to engines");
    command->add_option("--fleet", overrides.fleet_file, "fleet file, overrides the settings");
    command->add_option("--state", arguments->options.state_folder,
                        "folder that stores the endpoint list across restarts");
    command->add_option("--journal", arguments->options.journal_file,
                        "file to record each event and decision in");
    return {command, [arguments] { return run_serve(*arguments); }};
}

Command add_node_command(CLI::App& app) {
    CLI::App* command = app.add_subcommand(
        "node", "run a gateway on the platform, configured by the GW_ environment variables");
    return {command, [] { return platform::run_node(); }};
}

}  // namespace gorsenotch::cli
