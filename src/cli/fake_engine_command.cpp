#include <algorithm>
#include <iostream>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/gateway_process.h"
#include "cli/settings_file.h"
#include "cli/stop_signals.h"
#include "fake_engine/engine.h"

namespace gorsenotch::cli {

namespace {

struct FakeEngineArguments {
    std::string settings_file;
    std::string kind;
    fake_engine::EngineOptions options;
};

// Fills in the engine's options from the settings. Returns false and reports the fault on standard error if
// the settings define no fake engine of the kind.
bool apply_settings(const settings::ProgramSettings& program, const std::string& kind_name,
                    fake_engine::EngineOptions& options) {
    const auto it = std::find(program.kinds.begin(), program.kinds.end(), kind_name);
    const int kind = static_cast<int>(it - program.kinds.begin());
    if (it == program.kinds.end() || !program.fake_engines.count(kind)) {
        std::cerr << "--kind: the settings define no fake engine of kind '" << kind_name << "'\n";
        return false;
    }
    const auto& router = program.router;
    const auto& kind_settings = router.kinds[static_cast<std::size_t>(kind)];
    options.model_name = program.models.front();
    options.config.role = kind_settings.role;
    options.config.memory_tokens = kind_settings.memory_tokens;
    options.config.pace = program.fake_engines.at(kind);
    options.config.initial_capacity = router.initial_capacity;
    options.config.slow_start_duration = router.slow_start_duration;
    options.config.local_prefill = router.local_prefill;
    return true;
}

int run_fake_engine(const FakeEngineArguments& arguments) {
    const auto program = load_settings(arguments.settings_file);
    if (!program) return kExitInvalidInput;
    fake_engine::EngineOptions options = arguments.options;
    if (!apply_settings(*program, arguments.kind, options)) return kExitInvalidInput;
    const std::string address = options.address;
    net::EventLoop loop;
    const StopSignals stop_signals(loop, [&] { loop.stop(); });
    fake_engine::Engine engine(loop, std::move(options));
    std::string failed_address;
    if (const int error = engine.start(failed_address)) {
        std::cerr << failed_address << ": " << net::error_text(error) << '\n';
        return kExitSystemError;
    }
    std::cout << "ready " << base_url(address, engine.port()) << std::endl;
    loop.run();
    return kExitSuccess;
}

}  // namespace

Command add_fake_engine_command(CLI::App& app, std::vector<std::string> arguments) {
    const auto parsed = std::make_shared<FakeEngineArguments>();
    fake_engine::EngineOptions& options = parsed->options;
    options.command_line = std::move(arguments);
    CLI::App* command = app.add_subcommand("fake-engine", "run one fake engine");
    command->alias("standin");
    command->add_option("settings", parsed->settings_file)->required();
    command->add_option("--kind", parsed->kind, "kind, as named in the settings")->required();
    command->add_option("--address", options.address)->required();
    command->add_option("--control", options.control, "address of the control port");
    command->add_option("--server", options.endpoint_id, "endpoint id of the engine");
    command->add_option("--record", options.record, "file to record the traffic of its sockets in");
    command->add_option("--keys", options.dedup_folder,
                        "folder shared by engines that deduplicate requests together");
    command->add_flag("--cold", options.cold, "start with a slow start");
    return {command, [parsed] { return run_fake_engine(*parsed); }};
}

}  // namespace gorsenotch::cli
