#include "cli/processes.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "fake_engine/engine.h"
#include "log/log.h"
#include "net/child_process.h"

namespace gorsenotch::cli {

std::optional<settings::Program> load(const std::string& file) {
    std::vector<settings::FileFault> faults;
    auto program = settings::load(file, faults);
    if (!program) std::cerr << settings::render(file, faults);
    return program;
}

std::string self() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

namespace {

constexpr net::Millis kStartWithin = 20000;  // a stand-in has so long to listen

std::string url(const std::string& listen, int port) {
    return "http://" + listen.substr(0, listen.rfind(':')) + ":" + std::to_string(port);
}

// The three signals that ask a process to stop. Made before anything that takes time: one that comes while
// the process starts is held by the kernel's handler and told in the loop's first turn.
struct Stop {
    net::SignalWatcher term, interrupt, hangup;
    Stop(net::EventLoop& loop, const std::function<void()>& f)
        : term(loop, SIGTERM, f), interrupt(loop, SIGINT, f), hangup(loop, SIGHUP, f) {}
};

// The log's thread, for as long as a command runs. Declared before the loop: what ends with that still logs.
struct Logging {
    explicit Logging(const std::string& level) { log::open(level); }
    ~Logging() { log::close(); }
    Logging(const Logging&) = delete;
    Logging& operator=(const Logging&) = delete;
};

// A gateway in this process, from its start to the end of its drain.
class Serving {
public:
    Serving(net::EventLoop& loop, settings::Program program, const gateway::ServeOptions& options)
        : loop_(loop), listen_(program.listen), gate_(loop, std::move(program), options) {}
    bool start() {
        if (const int e = gate_.start()) {
            std::cerr << listen_ << ": " << net::error_text(e) << '\n';
            return false;
        }
        std::cout << "ready " << url(listen_, gate_.port()) << std::endl;
        return true;
    }
    void stop() {
        if (draining_) return loop_.stop();  // told twice: at once
        draining_ = true;
        gate_.drain([this] { loop_.stop(); });
    }

private:
    net::EventLoop& loop_;
    const std::string listen_;
    gateway::Gateway gate_;
    bool draining_ = false;
};

std::optional<fake_engine::EngineOptions> engine_options(const settings::Program& program,
                                                         const FakeEngineArgs& a) {
    const auto it = std::find(program.kinds.begin(), program.kinds.end(), a.kind);
    const int kind = it == program.kinds.end() ? -1 : static_cast<int>(it - program.kinds.begin());
    if (kind < 0 || !program.fake_engines.count(kind)) {
        std::cerr << "--kind: the settings have no stand-in of kind '" << a.kind << "'\n";
        return std::nullopt;
    }
    fake_engine::EngineOptions o;
    o.address = a.address, o.control = a.control, o.record = a.record, o.keys = a.keys;
    o.server = a.server, o.cold = a.cold, o.args = a.args;
    o.model_name = program.models.front();
    const auto& k = program.router.kinds[static_cast<std::size_t>(kind)];
    o.config.role = k.role, o.config.memory_tokens = k.memory_tokens,
    o.config.pace = program.fake_engines.at(kind);
    o.config.initial_capacity = program.router.initial_capacity,
    o.config.slow_start_duration = program.router.slow_start_duration;
    o.config.local_prefill = program.router.local_prefill;
    return o;
}

}  // namespace

int run_gateway(settings::Program program, const gateway::ServeOptions& options) {
    const Logging logging(program.log_level);
    net::EventLoop loop;
    Serving serving(loop, std::move(program), options);
    Stop stop(loop, [&] { serving.stop(); });
    if (!serving.start()) return kSystem;
    loop.run();
    return 0;
}

int run_fake_engine(const FakeEngineArgs& a) {
    const auto program = load(a.file);
    if (!program) return kRefused;
    auto o = engine_options(*program, a);
    if (!o) return kRefused;
    net::EventLoop loop;
    Stop stop(loop, [&] { loop.stop(); });
    fake_engine::Engine engine(loop, std::move(*o));
    std::string at;
    if (const int e = engine.start(at)) {
        std::cerr << at << ": " << net::error_text(e) << '\n';
        return kSystem;
    }
    std::cout << "ready " << url(a.address, engine.port()) << std::endl;
    loop.run();
    return 0;
}

int run_up(const std::string& file, const std::string& listen) {
    auto program = load(file);
    if (!program) return kRefused;
    if (!listen.empty()) program->listen = listen;
    const Logging logging(program->log_level);
    // The order matters: what is declared later is gone before the loop and before the processes are.
    net::EventLoop loop;
    std::vector<std::unique_ptr<net::ChildProcess>> engines;
    std::unique_ptr<Serving> serving;
    int code = 0;
    std::size_t listening = 0;
    const auto fail = [&](const settings::Engine& engine, const std::string& why) {
        if (code != 0) return;
        std::cerr << "stand-in " << engine.endpoint.id << " at " << engine.address
                  << " did not start: " << why << '\n';
        code = kSystem;
        loop.stop();
    };
    Stop stop(loop, [&] {
        if (serving) return serving->stop();
        loop.stop();
    });
    net::Timer late(loop, [&] {
        std::cerr << "the stand-ins did not all listen within " << kStartWithin / 1000 << " s\n";
        code = kSystem;
        loop.stop();
    });
    late.fire_after(kStartWithin);
    const auto all = program->engines;
    for (const auto& engine : all) {
        engines.push_back(std::make_unique<net::ChildProcess>(loop, [&, engine](int status, int signal) {
            if (!serving) {
                return fail(engine, signal ? "signal " + std::to_string(signal)
                                           : "exit code " + std::to_string(status));
            }
            log::write("warn", "standin_ended",
                       {{"server", engine.endpoint.id}, {"status", status}, {"signal", signal}});
        }));
        engines.back()->on_line = [&](const std::string& line) {
            if (line.rfind("ready ", 0) != 0 || ++listening < all.size()) return;
            late.stop();
            serving = std::make_unique<Serving>(loop, *program, gateway::ServeOptions{});
            if (serving->start()) return;
            code = kSystem;
            loop.stop();
        };
        const int error = engines.back()->spawn(
            {self(), "standin", file, "--server", std::to_string(engine.endpoint.id), "--kind",
             program->kinds[static_cast<std::size_t>(engine.endpoint.kind)], "--address", engine.address},
            "");
        if (error != 0) {
            fail(engine, net::error_text(error));
            break;
        }
    }
    if (all.empty()) {
        std::cerr << file << ": fleet: lists no engines to stand in for\n";
        return kRefused;
    }
    if (code == 0) loop.run();
    return code;
}

int run_scenario(const std::string& file, fault_scenario::ScenarioOptions options, int seeds) {
    std::string faults;
    const auto plan = fault_scenario::load_plan(file, faults);
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
        const auto result = fault_scenario::Scenario(*plan, options).run();
        if (result.interrupted || result.system) {
            std::cerr << "day " << plan->name << ": " << result.error << '\n';
            return result.interrupted ? kInterrupted : kSystem;
        }
        std::printf("day %s, seed %llu, %.1f s, records in %s\n%s", plan->name.c_str(),
                    static_cast<unsigned long long>(*options.seed), result.seconds, options.out.c_str(),
                    invariants::format_verdict(result.verdict).c_str());
        if (!result.error.empty()) std::printf("not played through: %s\n", result.error.c_str());
        if (!result.verdict.kept() || !result.error.empty()) code = kBroken;
        std::printf("%s\n", !result.error.empty()   ? "NOT PLAYED"
                            : result.verdict.kept() ? "all rules kept"
                                                    : "A RULE BROKE");
        std::fflush(stdout);
    }
    return code;
}

int run_client(fault_scenario::ClientOptions o, const std::string& gateways) {
    for (std::size_t from = 0; from <= gateways.size();) {
        const auto comma = std::min(gateways.find(',', from), gateways.size());
        o.gateways.push_back(gateways.substr(from, comma - from));
        from = comma + 1;
    }
    net::EventLoop loop;
    int code = 0;
    fault_scenario::ScriptedClients clients(loop, std::move(o));
    Stop stop(loop, [&] {
        code = kInterrupted;
        loop.stop();
    });
    clients.start([&] { loop.stop(); });
    loop.run();
    return code;
}

}  // namespace gorsenotch::cli
