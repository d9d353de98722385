#include <iostream>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/gateway_process.h"
#include "cli/settings_file.h"
#include "cli/stop_signals.h"
#include "log/log.h"
#include "net/child_process.h"
#include "net/timer.h"

namespace gorsenotch::cli {

namespace {

constexpr net::Millis kStartTimeout = 20000;  // until all fake engines listen

// Runs each engine of the settings as a fake-engine process, and the gateway in this process once all of them
// listen.
class LocalDeployment {
public:
    LocalDeployment(settings::ProgramSettings program, std::string settings_file)
        : program_(std::move(program)), settings_file_(std::move(settings_file)) {}

    int run() {
        start_timer_.fire_after(kStartTimeout);
        for (const auto& engine : program_.engines) {
            if (!start_engine(engine)) break;
        }
        if (program_.engines.empty()) {
            std::cerr << settings_file_ << ": fleet: expected at least one engine, found none\n";
            return kExitInvalidInput;
        }
        if (exit_code_ == kExitSuccess) loop_.run();
        return exit_code_;
    }

private:
    bool start_engine(const settings::Engine& engine) {
        const auto on_exit = [this, engine](int status, int signal) {
            on_engine_exit(engine, status, signal);
        };
        engine_processes_.push_back(std::make_unique<net::ChildProcess>(loop_, on_exit));
        engine_processes_.back()->on_line = [this](const std::string& line) { on_engine_line(line); };
        const auto& kind = program_.kinds[static_cast<std::size_t>(engine.endpoint.kind)];
        const int error = engine_processes_.back()->spawn(
            {own_executable(), "fake-engine", settings_file_, "--server", std::to_string(engine.endpoint.id),
             "--kind", kind, "--address", engine.address},
            "");
        if (error == 0) return true;
        fail_start(engine, net::error_text(error));
        return false;
    }

    void on_engine_line(const std::string& line) {
        if (line.rfind("ready ", 0) != 0 || ++listening_engines_ < program_.engines.size()) return;
        start_timer_.stop();
        gateway_ = std::make_unique<GatewayProcess>(loop_, program_, gateway::ServeOptions{});
        if (!gateway_->start()) stop_with(kExitSystemError);
    }

    void on_engine_exit(const settings::Engine& engine, int status, int signal) {
        if (!gateway_) {
            return fail_start(
                engine, signal ? "signal " + std::to_string(signal) : "exit code " + std::to_string(status));
        }
        log::write("warn", "standin_ended",
                   {{"server", engine.endpoint.id}, {"status", status}, {"signal", signal}});
    }

    void fail_start(const settings::Engine& engine, const std::string& reason) {
        if (exit_code_ != kExitSuccess) return;
        std::cerr << "fake engine " << engine.endpoint.id << " at " << engine.address
                  << " did not start: " << reason << '\n';
        stop_with(kExitSystemError);
    }

    void on_start_timeout() {
        std::cerr << "the fake engines did not all listen within " << kStartTimeout / 1000 << " s\n";
        stop_with(kExitSystemError);
    }

    void on_stop_signal() {
        if (gateway_) return gateway_->stop();
        loop_.stop();
    }

    void stop_with(int exit_code) {
        exit_code_ = exit_code;
        loop_.stop();
    }

    const settings::ProgramSettings program_;
    const std::string settings_file_;
    int exit_code_ = kExitSuccess;
    std::size_t listening_engines_ = 0;
    // The order matters: members declared later are destroyed before the loop and before the processes.
    net::EventLoop loop_;
    std::vector<std::unique_ptr<net::ChildProcess>> engine_processes_;
    std::unique_ptr<GatewayProcess> gateway_;
    StopSignals stop_signals_{loop_, [this] { on_stop_signal(); }};
    net::Timer start_timer_{loop_, [this] { on_start_timeout(); }};
};

int run_up(const std::string& settings_file, const std::string& listen) {
    auto program = load_settings(settings_file);
    if (!program) return kExitInvalidInput;
    if (!listen.empty()) program->listen = listen;
    const LogThread log_thread(program->log_level);
    return LocalDeployment(std::move(*program), settings_file).run();
}

struct UpArguments {
    std::string settings_file;
    std::string listen;
};

}  // namespace

Command add_up_command(CLI::App& app) {
    const auto arguments = std::make_shared<UpArguments>();
    CLI::App* command =
        app.add_subcommand("up", "run the engines of the settings as fake engines, and the gateway");
    command->add_option("settings", arguments->settings_file)->required();
    command->add_option("--listen", arguments->listen, "address to listen on, overrides the settings");
    return {command, [arguments] { return run_up(arguments->settings_file, arguments->listen); }};
}

}  // namespace gorsenotch::cli
