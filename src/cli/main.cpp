// The program's command line. Exit codes: 0 done, 1 a rule broke or a replay differed, 2 wrong use, 3 a file
// was refused, 4 the system refused (an address in use, a process that can't be started), 5 stopped by a
// signal before its job was done.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "cli/processes.h"
#include "net/child_process.h"
#include "platform/node.h"
#include "state/decision_journal.h"

namespace {

using namespace gorsenotch;
using namespace gorsenotch::cli;

template <class T>
int index_of(const std::vector<T>& names, const T& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

struct Serve {
    std::string file, listen, zone, source, fleet;
    int gateways = 0;
    std::uint64_t seed = 0;
    bool has_seed = false;
    gateway::ServeOptions options;

    bool apply(settings::Program& program) const {
        if (!listen.empty()) program.listen = listen;
        if (!source.empty()) program.source = source;
        if (!fleet.empty()) program.fleet_file = fleet;
        if (gateways > 0) program.router.gateways = gateways;
        if (has_seed) program.seed = seed;
        if (zone.empty()) return true;
        program.router.own_zone = index_of(program.zones, zone);
        if (program.router.own_zone >= 0) return true;
        std::cerr << "--zone: the settings have no '" << zone << "'\n";
        return false;
    }
};

int run_replay(const std::string& settings_file, const std::string& journal, const Serve& with) {
    auto program = load(settings_file);
    if (!program || !with.apply(*program)) return kRefused;
    std::ifstream in(journal);
    if (!in) {
        std::cerr << journal << ": can't be read\n";
        return kRefused;
    }
    try {
        const auto r = state::replay(in, program->router);
        std::cout << r.events << " events, " << r.actions
                  << " actions: " << (r.difference.empty() ? "the same" : "DIFFERENT, " + r.difference)
                  << '\n';
        return r.difference.empty() ? 0 : kBroken;
    } catch (const std::exception& error) {
        std::cerr << journal << ": " << error.what() << '\n';
        return kRefused;
    }
}

}  // namespace

int main(int argc, char** argv) {
    if (!net::die_with_parent()) return kSystem;
    CLI::App app{"gorsenotch: a router for language-model serving with separate prefill and decode engines"};
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 a rule broke or a replay differed, 2 wrong use, 3 a file was refused,\n"
        "4 the system refused (an address in use, a process that can't be started), 5 stopped by a signal\n"
        "before its job was done.\n\n"
        "Examples:\n"
        "  gorsenotch check examples/local.xml\n"
        "  gorsenotch up examples/local.xml\n"
        "  gorsenotch day days/crash-third.xml --seeds 10");

    Serve serve;
    auto* serve_cmd = app.add_subcommand("serve", "run a gateway until SIGTERM");
    serve_cmd->add_option("settings", serve.file, "settings file")->required();
    const auto overrides = [&](CLI::App* cmd) {
        cmd->add_option("--zone", serve.zone, "own zone, in place of the settings'");
        cmd->add_option("--gateways", serve.gateways, "how many gateways there are");
        cmd->add_option("--seed", serve.seed, "seed of the decisions")->each([&](const std::string&) {
            serve.has_seed = true;
        });
    };
    overrides(serve_cmd);
    serve_cmd->add_option("--listen", serve.listen, "address, in place of the settings'");
    serve_cmd->add_option("--source", serve.source, "local address for connections to engines");
    serve_cmd->add_option("--fleet", serve.fleet, "fleet file, in place of the settings'");
    serve_cmd->add_option("--state", serve.options.state, "folder that keeps the last list over restarts");
    serve_cmd->add_option("--journal", serve.options.journal, "file for each event and decision");

    auto* node_cmd = app.add_subcommand("node", "one gateway on the platform; reads the GW_ variables");

    std::string check_file;
    auto* check_cmd = app.add_subcommand("check", "check a settings file; all faults at once");
    check_cmd->add_option("settings", check_file)->required();

    FakeEngineArgs standin;
    auto* standin_cmd = app.add_subcommand("standin", "run one stand-in engine");
    standin_cmd->add_option("settings", standin.file)->required();
    standin_cmd->add_option("--kind", standin.kind, "kind, as in the settings")->required();
    standin_cmd->add_option("--address", standin.address)->required();
    standin_cmd->add_option("--control", standin.control, "address of the control port");
    standin_cmd->add_option("--server", standin.server, "its id");
    standin_cmd->add_option("--record", standin.record, "file for what its sockets carry");
    standin_cmd->add_option("--keys", standin.keys,
                            "folder shared by engines that drop each other's repeats");
    standin_cmd->add_flag("--cold", standin.cold, "starts cold");

    std::string up_file, up_listen;
    auto* up_cmd = app.add_subcommand("up", "run the settings' engines as stand-ins, and the gateway");
    up_cmd->add_option("settings", up_file)->required();
    up_cmd->add_option("--listen", up_listen, "address, in place of the settings'");

    std::string day_file;
    fault_scenario::ScenarioOptions day_options;
    day_options.out = (std::filesystem::temp_directory_path() / "gorsenotch-day").string();
    std::uint64_t day_seed = 0;
    int day_seeds = 1;
    auto* day_cmd = app.add_subcommand("day", "play a bad day on loopback and judge the rules");
    day_cmd->add_option("day", day_file)->required();
    auto* seed_option = day_cmd->add_option("--seed", day_seed, "in place of the day's");
    day_cmd->add_option("--seeds", day_seeds, "play it so often, with one seed after another")
        ->check(CLI::Range(1, 1000));
    day_cmd->add_option("--out", day_options.out, "folder for records and logs; emptied first");

    std::string replay_settings, replay_journal;
    auto* replay_cmd =
        app.add_subcommand("replay", "feed a journal's events to the module again and compare");
    replay_cmd->add_option("settings", replay_settings)->required();
    replay_cmd->add_option("journal", replay_journal)->required();
    overrides(replay_cmd);

    fault_scenario::ClientOptions client;
    std::string gateways;
    bool whole = false;
    auto* client_cmd = app.add_subcommand("client", "scripted clients, as a day starts them");
    client_cmd->add_option("--gateways", gateways)->required();
    client_cmd->add_option("--key", client.load.key)->required();
    client_cmd->add_option("--class", client.load.cls);
    client_cmd->add_option("--model", client.load.model);
    client_cmd->add_option("--per-s", client.load.per_s);
    client_cmd->add_option("--impatient", client.load.impatient);
    client_cmd->add_option("--prompt-tokens", client.load.prompt_tokens);
    client_cmd->add_option("--prefix-tokens", client.load.prefix_tokens);
    client_cmd->add_option("--prefixes", client.load.prefixes);
    client_cmd->add_option("--max-tokens", client.load.max_tokens);
    client_cmd->add_option("--turns", client.load.turns);
    client_cmd->add_option("--retries", client.load.retries);
    client_cmd->add_option("--think-ms", client.load.think);
    client_cmd->add_option("--patience-ms", client.load.patience);
    client_cmd->add_option("--usual-answer", client.load.usual_answer);
    client_cmd->add_option("--seed", client.seed);
    client_cmd->add_option("--length-ms", client.length);
    client_cmd->add_option("--from-ms", client.load.from);
    client_cmd->add_option("--overdue-ms", client.overdue);
    client_cmd->add_option("--record", client.record);
    client_cmd->add_flag("--whole", whole);
    client_cmd->add_flag("--keyed", client.load.keyed);

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : kUse;
    }
    if (*serve_cmd) {
        auto program = load(serve.file);
        if (!program || !serve.apply(*program)) return kRefused;
        return run_gateway(std::move(*program), serve.options);
    }
    if (*node_cmd) return platform::run_node();
    if (*check_cmd) {
        if (!load(check_file)) return kRefused;
        std::cout << check_file << ": good\n";
        return 0;
    }
    if (*standin_cmd) {
        standin.args.assign(argv, argv + argc);
        return run_fake_engine(standin);
    }
    if (*up_cmd) return run_up(up_file, up_listen);
    if (*replay_cmd) return run_replay(replay_settings, replay_journal, serve);
    if (*client_cmd) {
        client.load.stream = !whole;
        return run_client(std::move(client), gateways);
    }
    day_options.self = self();
    if (*seed_option) day_options.seed = day_seed;
    return run_scenario(day_file, day_options, day_seeds);
}
