// The program's command line. Exit codes: 0 done, 1 a rule broke or a replay differed, 2 wrong use, 3 a file
// was refused, 4 the system refused (an address in use, a process that can't be started).
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "day/day.h"
#include "gateway/serve.h"
#include "log/log.h"
#include "standin/engine.h"
#include "state/journal.h"

namespace {

using namespace gorsenotch;

constexpr int kBroken = 1, kRefused = 3, kSystem = 4;

std::optional<settings::Program> load(const std::string& file) {
    std::vector<settings::FileFault> faults;
    auto p = settings::load(file, faults);
    if (!p) std::cerr << settings::render(file, faults);
    return p;
}

std::string self() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

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

    bool apply(settings::Program& p) const {
        if (!listen.empty()) p.listen = listen;
        if (!source.empty()) p.source = source;
        if (!fleet.empty()) p.fleet_file = fleet;
        if (gateways > 0) p.module.gateways = gateways;
        if (has_seed) p.seed = seed;
        if (zone.empty()) return true;
        p.module.own_zone = index_of(p.zones, zone);
        if (p.module.own_zone >= 0) return true;
        std::cerr << "--zone: the settings have no '" << zone << "'\n";
        return false;
    }
};

std::string url(const std::string& listen, int port) {
    return "http://" + listen.substr(0, listen.rfind(':')) + ":" + std::to_string(port);
}

// Runs a gateway until SIGTERM or SIGINT. `started` is called when it listens.
int run_gateway(settings::Program program, const gateway::ServeOptions& options,
                const std::function<void(net::Loop&)>& before = {}) {
    log::open(program.log_level);
    const std::string listen = program.listen;
    net::Loop loop;
    if (before) before(loop);
    gateway::Gateway gate(loop, std::move(program), options);
    if (const int e = gate.start()) {
        std::cerr << listen << ": " << net::text(e) << '\n';
        return kSystem;
    }
    std::cout << "ready " << url(listen, gate.port()) << std::endl;
    bool draining = false;
    const auto stop = [&] {
        if (draining) return loop.stop();  // asked twice: at once
        draining = true;
        gate.drain([&] { loop.stop(); });
    };
    net::Signal term(loop, SIGTERM, stop), interrupt(loop, SIGINT, stop);
    loop.run();
    log::flush();
    return 0;
}

struct StandinArgs {
    std::string file, kind, address, control, record, keys;
    ServerId server = 0;
    bool cold = false;
    std::vector<std::string> args;
};

std::optional<standin::EngineOptions> engine_options(const settings::Program& p, const StandinArgs& a) {
    const int kind = index_of(p.kinds, a.kind);
    if (kind < 0 || !p.standins.count(kind)) {
        std::cerr << "--kind: the settings have no stand-in of kind '" << a.kind << "'\n";
        return std::nullopt;
    }
    standin::EngineOptions o;
    o.address = a.address, o.control = a.control, o.record = a.record, o.keys = a.keys;
    o.server = a.server, o.cold = a.cold, o.args = a.args;
    o.model_name = p.models.front();
    const auto& k = p.module.kinds[static_cast<std::size_t>(kind)];
    o.config.role = k.role, o.config.memory_tokens = k.memory_tokens, o.config.pace = p.standins.at(kind);
    o.config.start_capacity = p.module.start_capacity, o.config.warm = p.module.warm_within;
    o.config.local_read = p.module.local_read;
    return o;
}

int run_standin(const StandinArgs& a) {
    const auto p = load(a.file);
    if (!p) return kRefused;
    auto o = engine_options(*p, a);
    if (!o) return kRefused;
    net::Loop loop;
    standin::Engine engine(loop, std::move(*o));
    if (const int e = engine.start()) {
        std::cerr << a.address << ": " << net::text(e) << '\n';
        return kSystem;
    }
    std::cout << "ready " << url(a.address, engine.port()) << std::endl;
    net::Signal term(loop, SIGTERM, [&] { loop.stop(); }), interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    return 0;
}

// Every engine of the settings as a stand-in process, and the gateway in this one.
int run_up(const std::string& file, const std::string& listen) {
    auto p = load(file);
    if (!p) return kRefused;
    if (!listen.empty()) p->listen = listen;
    std::vector<std::unique_ptr<net::Child>> children;
    const auto program = *p;
    return run_gateway(*p, {}, [&](net::Loop& loop) {
        for (const auto& e : program.engines) {
            children.push_back(std::make_unique<net::Child>(loop, [id = e.entry.server](int status,
                                                                                        int signal) {
                log::write("warn", "standin_ended", {{"server", id}, {"status", status}, {"signal", signal}});
            }));
            const int error = children.back()->spawn(
                {self(), "standin", file, "--server", std::to_string(e.entry.server), "--kind",
                 program.kinds[static_cast<std::size_t>(e.entry.kind)], "--address", e.address},
                "/dev/null");
            if (error != 0) log::write("error", "standin", {{"error", net::text(error)}});
        }
        // They need a moment until they listen; the first clients should find them.
        usleep(300000);
    });
}

int run_day(const std::string& file, day::DayOptions options, int seeds) {
    std::string faults;
    const auto plan = day::load_plan(file, faults);
    if (!plan) {
        std::cerr << faults;
        return kRefused;
    }
    int code = 0;
    const std::uint64_t first = options.seed.value_or(plan->seed);
    const std::string out = options.out;
    for (int i = 0; i < seeds; ++i) {
        options.seed = first + static_cast<std::uint64_t>(i);
        if (seeds > 1) options.out = out + "/" + std::to_string(*options.seed);
        auto result = day::Day(*plan, options).run();
        std::printf("day %s, seed %llu, %.1f s, records in %s\n%s", plan->name.c_str(),
                    static_cast<unsigned long long>(*options.seed), result.seconds, options.out.c_str(),
                    rules::table(result.verdict).c_str());
        if (!result.error.empty()) std::printf("not played through: %s\n", result.error.c_str());
        if (!result.verdict.kept() || !result.error.empty()) code = kBroken;
        std::printf("%s\n", !result.error.empty()   ? "NOT PLAYED"
                            : result.verdict.kept() ? "all rules kept"
                                                    : "A RULE BROKE");
        std::fflush(stdout);
    }
    return code;
}

int run_replay(const std::string& settings_file, const std::string& journal, const Serve& with) {
    auto p = load(settings_file);
    if (!p || !with.apply(*p)) return kRefused;
    std::ifstream in(journal);
    if (!in) {
        std::cerr << journal << ": can't be read\n";
        return kRefused;
    }
    try {
        const auto r = state::replay(in, p->module);
        std::cout << r.events << " events, " << r.actions
                  << " actions: " << (r.difference.empty() ? "the same" : "DIFFERENT, " + r.difference)
                  << '\n';
        return r.difference.empty() ? 0 : kBroken;
    } catch (const std::exception& e) {
        std::cerr << journal << ": " << e.what() << '\n';
        return kRefused;
    }
}

int run_client(day::ClientOptions o, const std::string& gateways) {
    for (std::size_t from = 0; from <= gateways.size();) {
        const auto comma = std::min(gateways.find(',', from), gateways.size());
        o.gateways.push_back(gateways.substr(from, comma - from));
        from = comma + 1;
    }
    net::Loop loop;
    day::Clients clients(loop, std::move(o));
    clients.start([&] { loop.stop(); });
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"gorsenotch: a router for language-model serving with separate prefill and decode engines"};
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 a rule broke or a replay differed, 2 wrong use, 3 a file was refused,\n"
        "4 the system refused (an address in use, a process that can't be started).\n\n"
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

    std::string check_file;
    auto* check_cmd = app.add_subcommand("check", "check a settings file; all faults at once");
    check_cmd->add_option("settings", check_file)->required();

    StandinArgs standin;
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
    day::DayOptions day_options;
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

    day::ClientOptions client;
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
        return app.exit(e) == 0 ? 0 : 2;
    }
    if (*serve_cmd) {
        auto p = load(serve.file);
        if (!p || !serve.apply(*p)) return kRefused;
        return run_gateway(std::move(*p), serve.options);
    }
    if (*check_cmd) {
        if (!load(check_file)) return kRefused;
        std::cout << check_file << ": good\n";
        return 0;
    }
    if (*standin_cmd) {
        standin.args.assign(argv, argv + argc);
        return run_standin(standin);
    }
    if (*up_cmd) return run_up(up_file, up_listen);
    if (*replay_cmd) return run_replay(replay_settings, replay_journal, serve);
    if (*client_cmd) {
        client.load.stream = !whole;
        return run_client(std::move(client), gateways);
    }
    day_options.self = self();
    if (*seed_option) day_options.seed = day_seed;
    return run_day(day_file, day_options, day_seeds);
}
