#include <algorithm>
#include <memory>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "cli/stop_signals.h"
#include "fault_scenario/scripted_clients.h"

namespace gorsenotch::cli {

namespace {

struct ClientArguments {
    std::string gateways;  // addresses, separated by commas
    fault_scenario::ClientOptions options;
    bool complete_responses = false;
};

std::vector<std::string> split_at_commas(const std::string& text) {
    std::vector<std::string> parts;
    for (std::size_t from = 0; from <= text.size();) {
        const auto comma = std::min(text.find(',', from), text.size());
        parts.push_back(text.substr(from, comma - from));
        from = comma + 1;
    }
    return parts;
}

int run_client(const ClientArguments& arguments) {
    fault_scenario::ClientOptions options = arguments.options;
    options.load.stream = !arguments.complete_responses;
    options.gateways = split_at_commas(arguments.gateways);
    net::EventLoop loop;
    int exit_code = kExitSuccess;
    fault_scenario::ScriptedClients clients(loop, std::move(options));
    const StopSignals stop_signals(loop, [&] {
        exit_code = kExitInterrupted;
        loop.stop();
    });
    clients.start([&] { loop.stop(); });
    loop.run();
    return exit_code;
}

void add_load_options(CLI::App& command, fault_scenario::Load& load) {
    command.add_option("--key", load.key, "API key")->required();
    command.add_option("--class", load.cls);
    command.add_option("--model", load.model);
    command.add_option("--per-s", load.per_s, "questions (turns) per second");
    command.add_option("--impatient", load.impatient, "fraction of the clients that leave early, 0 to 1");
    command.add_option("--prompt-tokens", load.prompt_tokens);
    command.add_option("--prefix-tokens", load.prefix_tokens);
    command.add_option("--prefixes", load.prefixes);
    command.add_option("--max-tokens", load.max_tokens);
    command.add_option("--turns", load.turns, "questions per conversation");
    command.add_option("--retries", load.retries);
    command.add_option("--think-ms", load.think);
    command.add_option("--patience-ms", load.patience,
                       "time from a question to its deadline, for all clients");
    command.add_option("--usual-answer", load.usual_answer,
                       "answer-tokens of the fake engines, to know the right text");
    command.add_option("--from-ms", load.from, "time in the traffic from which conversations arrive");
    command.add_flag("--keyed", load.keyed, "send idempotency keys");
}

}  // namespace

Command add_client_command(CLI::App& app) {
    const auto arguments = std::make_shared<ClientArguments>();
    CLI::App* command = app.add_subcommand("client", "run the scripted clients that scenarios use");
    command->add_option("--gateways", arguments->gateways)->required();
    fault_scenario::ClientOptions& options = arguments->options;
    add_load_options(*command, options.load);
    command->add_option("--seed", options.seed);
    command->add_option("--length-ms", options.length, "length of the traffic");
    command->add_option("--overdue-ms", options.overdue,
                        "time after the deadline for which a client still listens");
    command->add_option("--record", options.record);
    command->add_flag("--whole", arguments->complete_responses, "ask for answers that are not streamed");
    return {command, [arguments] { return run_client(*arguments); }};
}

}  // namespace gorsenotch::cli
