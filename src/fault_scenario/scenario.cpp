#include "fault_scenario/scenario.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "http/parser.h"
#include "net/free_ports.h"

namespace gorsenotch::fault_scenario {

namespace {
Millis wall() {
    using namespace std::chrono;
    return static_cast<Millis>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}
}  // namespace

struct Scenario::Server {
    settings::Engine engine;
    std::string control;
    std::unique_ptr<net::ChildProcess> child;
    bool up = false, wanted = true;
    int lives = 0;
};

struct Scenario::Gate {
    int number = 0, zone = 0;
    std::string address, source, fleet, state, name;
    std::unique_ptr<net::ChildProcess> child;
    bool stopped = false;   // by SIGSTOP
    bool frozen = false;    // its list is held back
    bool expected = false;  // its end was ordered
    std::map<EndpointId, EndpointStatus> told;
};

Scenario::Scenario(ScenarioPlan plan, ScenarioOptions options)
    : plan_(std::move(plan)), options_(std::move(options)) {
    seed_ = options_.seed.value_or(plan_.seed);
    // The addresses of a day are its own: the first octet that no other day on this machine has claimed.
    for (int i = 0; i < 200; ++i) {
        octet_ = 16 + static_cast<int>((static_cast<unsigned>(::getpid()) + static_cast<unsigned>(i)) % 200u);
        claim_ = std::make_unique<net::TcpListener>(loop_);
        if (claim_->listen(place(254, 254) + ":47") == 0) return;
    }
    error_ = "no loopback addresses are free";
}

Scenario::~Scenario() = default;

std::string Scenario::place(int zone, int n) const {
    return "127." + std::to_string(octet_) + "." + std::to_string(zone) + "." + std::to_string(n);
}

// Addresses that nobody else uses, so that their ports are still free at a restart.
std::vector<std::string> Scenario::free_addresses(const std::string& host, std::size_t count) {
    std::vector<int> ports = net::free_ports(loop_, host, count);
    if (ports.empty()) {
        if (error_.empty()) error_ = host + ": no port is free";
        system_ = true;
        end();
        ports.assign(count, 0);
    }
    std::vector<std::string> addresses;
    for (const int port : ports) addresses.push_back(host + ":" + std::to_string(port));
    return addresses;
}

void Scenario::place_server(Server& server) {
    const std::string host = place(server.engine.endpoint.zone + 1, ++next_place_);
    const auto addresses = free_addresses(host, 2);
    server.engine.address = addresses[0];
    server.control = addresses[1];
}

void Scenario::later(Millis delay, std::function<void()> what) {
    timers_.push_back(std::make_unique<net::Timer>(loop_, std::move(what)));
    timers_.back()->fire_after(delay);
}

ScenarioResult Scenario::run() {
    ScenarioResult result;
    result.error = error_;
    if (!error_.empty()) return result;
    const Millis began = net::now();
    std::error_code error;
    std::filesystem::remove_all(options_.out, error);
    std::filesystem::create_directories(options_.out + "/records", error);
    std::filesystem::create_directories(options_.out + "/keys", error);
    if (error) {
        result.error = options_.out + ": " + error.message();
        return result;
    }
    recorder_ = std::make_unique<invariants::Recorder>(options_.out + "/records/runner.ndjson");
    for (const auto& pool : plan_.pools) {
        for (int i = 0; i < pool.count; ++i) {
            auto s = std::make_unique<Server>();
            s->engine.endpoint.id = ++next_id_;
            s->engine.endpoint.kind = pool.kind, s->engine.endpoint.zone = pool.zone,
            s->engine.endpoint.cell = pool.cell;
            place_server(*s);
            start_server(*s, false);
            servers_.push_back(std::move(s));
        }
    }
    const int zones = static_cast<int>(plan_.program.zones.size());
    for (int i = 0; i < plan_.gateways; ++i) {
        auto g = std::make_unique<Gate>();
        g->number = i, g->zone = i % zones;
        g->source = place(100 + g->zone, i + 1);
        g->address = free_addresses(g->source, 1).front();
        g->name = g->address;
        g->fleet = options_.out + "/fleet-" + std::to_string(i) + ".xml";
        g->state = options_.out + "/state-" + std::to_string(i);
        std::filesystem::create_directories(g->state, error);
        write_list(*g);
        start_gate(*g);
        gates_.push_back(std::move(g));
    }
    const auto interrupt = [this] {
        interrupted_ = true;
        error_ = "stopped by a signal";
        end();
    };
    net::SignalWatcher term(loop_, SIGTERM, interrupt), sigint(loop_, SIGINT, interrupt),
        hangup(loop_, SIGHUP, interrupt);
    later(15000, [this] {
        if (playing_ || ended_) return;
        system_ = true;
        error_ = "not all processes came up in time; see the logs in " + options_.out;
        end();
    });
    if (!ended_) loop_.run();
    // All are gone when this returns, and their records are whole.
    clients_.clear();
    for (auto& s : servers_) s->child.reset();
    for (auto& g : gates_) g->child.reset();
    result.seconds = (net::now() - began) / 1000;
    result.error = error_;
    result.interrupted = interrupted_, result.system = system_;
    if (interrupted_ || system_) return result;
    std::vector<std::string> files;
    for (const auto& f : std::filesystem::directory_iterator(options_.out + "/records"))
        files.push_back(f.path().string());
    std::sort(files.begin(), files.end());
    invariants::CheckerSettings terms;
    const auto& settings = plan_.program.router;
    terms.classes = plan_.program.classes, terms.class_settings = settings.classes;
    terms.answer_slack = settings.answer_slack, terms.drain_grace = settings.drain_grace,
    terms.release_within = settings.lease_release_timeout;
    terms.overload_factor = settings.overload_factor, terms.overload_window = settings.overload_window;
    try {
        result.verdict = invariants::check_records(invariants::read(files), terms);
    } catch (const std::exception& e) {
        result.error = e.what();
    }
    return result;
}

void Scenario::start_server(Server& s, bool cold) {
    const auto& program = plan_.program;
    const auto id = std::to_string(s.engine.endpoint.id);
    std::vector<std::string> args = {options_.self,
                                     "fake-engine",
                                     plan_.settings_file,
                                     "--server",
                                     id,
                                     "--kind",
                                     program.kinds[static_cast<std::size_t>(s.engine.endpoint.kind)],
                                     "--address",
                                     s.engine.address,
                                     "--control",
                                     s.control,
                                     "--record",
                                     options_.out + "/records/engine-" + id + ".ndjson"};
    // Engines of one group drop each other's repeats; the widest group that any class names is used.
    DedupScope group = DedupScope::cell;
    for (const auto& class_settings : program.router.classes) {
        if (class_settings.idempotency == Idempotency::with_key &&
            class_settings.dedup_scope != DedupScope::cell)
            group = std::min(group, class_settings.dedup_scope);
    }
    std::string keys = options_.out + "/keys/all";
    if (group == DedupScope::zone)
        keys = options_.out + "/keys/zone-" + std::to_string(s.engine.endpoint.zone);
    if (group == DedupScope::cell)
        keys = options_.out + "/keys/cell-" + std::to_string(s.engine.endpoint.cell);
    std::error_code error;
    std::filesystem::create_directories(keys, error);
    args.insert(args.end(), {"--keys", keys});
    if (cold) args.push_back("--cold");
    ++s.lives;
    s.up = true;
    const std::string log = options_.out + "/engine-" + id + ".log";
    s.child = std::make_unique<net::ChildProcess>(loop_, [this, &s, id, log](int status, int signal) {
        recorder_->write(net::now(), "down", {{"server", s.engine.endpoint.id}});
        s.up = false;
        // A crash that was ordered is a kill; an engine that ends by itself is a fault of the day.
        if (signal == 0 && !ended_)
            could_not_start("engine " + id + " at " + s.engine.address, log, status, signal);
    });
    record_notice(*s.child);
    if (const int e = s.child->spawn(args, log))
        error_ = "engine " + id + ": " + net::error_text(e), system_ = true, end();
}

void Scenario::start_gate(Gate& g) {
    std::vector<std::string> args = {options_.self,
                                     "serve",
                                     plan_.settings_file,
                                     "--listen",
                                     g.address,
                                     "--zone",
                                     plan_.program.zones[static_cast<std::size_t>(g.zone)],
                                     "--source",
                                     g.source,
                                     "--fleet",
                                     g.fleet,
                                     "--gateways",
                                     std::to_string(plan_.gateways),
                                     "--state",
                                     g.state,
                                     "--journal",
                                     options_.out + "/journal-" + std::to_string(g.number) + ".ndjson",
                                     "--seed",
                                     std::to_string(seed_ * 1000 + static_cast<std::uint64_t>(g.number))};
    g.expected = false;
    const std::string log = options_.out + "/gateway-" + std::to_string(g.number) + ".log";
    g.child = std::make_unique<net::ChildProcess>(loop_, [this, &g, log](int status, int signal) {
        if (ended_) return;  // killed by end(): that is no fault of its own, and the first one has been told
        if (!playing_) return could_not_start("gateway " + g.name, log, status, signal);
        if (!g.expected || (stopping_ && (status != 0 || signal != 0)))
            error_ = "gateway " + g.name + " ended with status " + std::to_string(status) + ", signal " +
                     std::to_string(signal);
        if (stopping_ &&
            std::none_of(gates_.begin(), gates_.end(), [](const auto& x) { return x->child->running(); }))
            end();
    });
    record_notice(*g.child);
    if (const int e = g.child->spawn(args, log))
        error_ = "gateway " + g.name + ": " + net::error_text(e), system_ = true, end();
}

// A process says `ready` on its standard output when it listens. Guards against another program on the
// address, which would answer a connection just as well.
void Scenario::record_notice(net::ChildProcess& child) {
    if (playing_) return;
    ++starting_;
    child.on_line = [this](const std::string& line) {
        if (playing_ || line.rfind("ready ", 0) != 0 || --starting_ > 0) return;
        playing_ = true;
        // The gateways have read their lists by now, or will within a look at the file.
        later(100, [this] { start_clients(); });
    };
}

void Scenario::could_not_start(const std::string& what, const std::string& log, int status, int signal) {
    if (!error_.empty()) return;
    std::string said;
    std::ifstream in(log);
    for (std::string line; std::getline(in, line);) said = line;
    error_ = what + " did not start (" +
             (signal ? "signal " + std::to_string(signal) : "exit code " + std::to_string(status)) +
             "): " + (said.empty() ? "see " + log : said);
    system_ = true;
    end();
}

void Scenario::start_clients() {
    std::string gateways;
    for (const auto& g : gates_) gateways += (gateways.empty() ? "" : ",") + g->address;
    for (std::size_t i = 0; i < plan_.loads.size(); ++i) {
        const Load& load = plan_.loads[i];
        const auto n = [](double x) { return std::to_string(x); };
        std::vector<std::string> args = {
            options_.self,     "client",
            "--gateways",      gateways,
            "--key",           load.key,
            "--class",         load.cls,
            "--model",         load.model,
            "--per-s",         n(load.per_s),
            "--impatient",     n(load.impatient),
            "--prompt-tokens", std::to_string(load.prompt_tokens),
            "--prefix-tokens", std::to_string(load.prefix_tokens),
            "--prefixes",      std::to_string(load.prefixes),
            "--max-tokens",    std::to_string(load.max_tokens),
            "--turns",         std::to_string(load.turns),
            "--retries",       std::to_string(load.retries),
            "--think-ms",      n(load.think),
            "--patience-ms",   n(load.patience),
            "--usual-answer",  std::to_string(load.usual_answer),
            "--seed",          std::to_string(seed_ * 100 + i),
            "--length-ms",     n(load.until > 0 ? std::min(load.until, plan_.length) : plan_.length),
            "--from-ms",       n(load.from),
            "--overdue-ms",    n(plan_.program.router.answer_slack + 400),
            "--record",        options_.out + "/records/client-" + std::to_string(i) + ".ndjson"};
        if (!load.stream) args.push_back("--whole");
        if (load.keyed) args.push_back("--keyed");
        clients_.push_back(std::make_unique<net::ChildProcess>(loop_, [this](int status, int signal) {
            if (status != 0 || signal != 0) error_ = "a client process failed";
            if (--clients_out_ == 0) clients_done();
        }));
        ++clients_out_;
        if (const int e =
                clients_.back()->spawn(args, options_.out + "/client-" + std::to_string(i) + ".log"))
            error_ = "client: " + net::error_text(e);
    }
    for (std::size_t i = 0; i < plan_.faults.size(); ++i)
        later(plan_.faults[i].at, [this, i] { play(plan_.faults[i], i); });
    // Should a client process hang, the day still ends.
    later(plan_.length + 90000, [this] {
        if (stopping_) return;
        error_ = "the clients did not end in time";
        clients_done();
    });
}

// ---- troubles -------------------------------------------------------------------------------------------

std::vector<Scenario::Server*> Scenario::affected_servers(const Fault& fault, std::mt19937_64& random) {
    std::vector<Server*> fit;
    for (auto& s : servers_) {
        const auto& endpoint = s->engine.endpoint;
        if (!s->up || !s->wanted || endpoint.status != EndpointStatus::healthy) continue;
        if (fault.kind >= 0 && endpoint.kind != fault.kind) continue;
        if (fault.zone >= 0 && endpoint.zone != fault.zone) continue;
        if (fault.cell >= 0 && endpoint.cell != static_cast<std::uint64_t>(fault.cell)) continue;
        fit.push_back(s.get());
    }
    for (std::size_t i = fit.size(); i > 1; --i) std::swap(fit[i - 1], fit[random() % i]);
    const auto n = static_cast<std::size_t>(std::ceil(fault.part * static_cast<double>(fit.size()) - 1e-9));
    fit.resize(std::min(n, fit.size()));
    return fit;
}

void Scenario::play(const Fault& fault, std::size_t number) {
    std::mt19937_64 random(seed_ * 7919 + number);
    if (fault.what == "kill-gateway") return kill_gate(fault, random);
    if (fault.what == "stop-gateway") {
        std::vector<Gate*> alive;
        for (auto& g : gates_) {
            if (g->child->running() && !g->stopped) alive.push_back(g.get());
        }
        if (!alive.empty()) stop_gate(*alive[random() % alive.size()], fault.length);
        return;
    }
    if (fault.what == "starve-gateways") return starve_gateway(fault, net::now() + fault.length, 0);
    if (fault.what == "cut") {
        cut(fault.zone, true);
        return later(fault.length, [this, zone = fault.zone] { cut(zone, false); });
    }
    for (Server* s : affected_servers(fault, random)) {
        if (fault.what == "crash") {
            crash(*s, fault);
        } else if (fault.what == "drain") {
            drain(*s, fault);
        } else {
            invariants::Json on = {{"order", fault.what == "late-reports" ? "late_reports" : fault.what},
                                   {"on", true},
                                   {"class", fault.cls},
                                   {"factor", fault.size},
                                   {"ms", fault.size}};
            order(*s, on);
            on["on"] = false;
            later(fault.length, [this, s, on] { order(*s, on); });
        }
    }
}

void Scenario::crash(Server& s, const Fault& fault) {
    s.child->kill(SIGKILL);
    s.engine.endpoint.status = EndpointStatus::removed;
    write_lists(fault.notice);
    if (fault.length <= 0) {
        s.wanted = false;
        return;
    }
    later(std::max(fault.length, 100.0), [this, &s, notice = fault.notice] {
        if (ended_) return;
        s.engine.endpoint.status = EndpointStatus::healthy;
        s.engine.endpoint.started_at = wall();
        start_server(s, true);
        write_lists(notice);
    });
}

// Drained, then ended; another machine takes its place, cold and with an id of its own.
void Scenario::drain(Server& s, const Fault& fault) {
    s.engine.endpoint.status = EndpointStatus::draining;
    s.wanted = false;
    write_lists(fault.notice);
    later(std::max(fault.length, fault.notice + 1000), [this, &s, notice = fault.notice] {
        if (ended_) return;
        s.child->kill(SIGKILL);
        s.engine.endpoint.status = EndpointStatus::removed;
        auto fresh = std::make_unique<Server>();
        fresh->engine = s.engine;
        fresh->engine.endpoint.id = ++next_id_;
        fresh->engine.endpoint.status = EndpointStatus::healthy;
        fresh->engine.endpoint.started_at = wall();
        place_server(*fresh);
        start_server(*fresh, true);
        servers_.push_back(std::move(fresh));
        write_lists(notice);
    });
}

// Cuts a zone off: its engines from the others' engines and gateways, and theirs from its.
void Scenario::cut(int zone, bool on) {
    const int zones = static_cast<int>(plan_.program.zones.size());
    for (auto& s : servers_) {
        if (!s->up) continue;
        for (int z = 0; z < zones; ++z) {
            if ((s->engine.endpoint.zone == zone) == (z == zone)) continue;
            for (const int base : {1, 100}) {
                const std::string from =
                    "127." + std::to_string(octet_) + "." + std::to_string(base + z) + ".";
                order(*s, {{"order", "cut"}, {"on", on}, {"from", from}});
            }
        }
        if (on) {
            Millis length = 0;
            for (const auto& fault : plan_.faults) {
                if (fault.what == "cut" && fault.zone == zone) length = std::max(length, fault.length);
            }
            recorder_->write(
                net::now(), "trouble",
                {{"server", s->engine.endpoint.id}, {"what", "cut"}, {"until", net::now() + length}});
        }
    }
}

void Scenario::kill_gate(const Fault& fault, std::mt19937_64& random) {
    std::vector<Gate*> alive;
    for (auto& g : gates_) {
        if (g->child->running() && !g->stopped) alive.push_back(g.get());
    }
    if (alive.empty()) return;
    Gate& g = *alive[random() % alive.size()];
    const Millis down = std::max(fault.length, 100.0);
    g.expected = g.frozen = true;
    g.child->kill(SIGKILL);
    // It counts as gone until it has had time to listen again.
    recorder_->write(net::now(), "kill_gateway", {{"gateway", g.name}, {"until", net::now() + down + 500}});
    later(down, [this, &g, notice = fault.notice] {
        if (ended_ || stopping_) return;
        start_gate(g);
        later(notice, [this, &g] {
            g.frozen = false;
            write_list(g);
        });
    });
}

// Stops the process as a debugger or a host that swaps would, and lets it go on.
void Scenario::stop_gate(Gate& g, Millis length) {
    recorder_->write(net::now(), "stop_gateway", {{"gateway", g.name}, {"until", net::now() + length}});
    g.stopped = true;
    g.child->kill(SIGSTOP);
    later(length, [&g] {
        g.stopped = false;
        g.child->kill(SIGCONT);
    });
}

// No core for one gateway at a time, in turns of `size` ms each.
void Scenario::starve_gateway(const Fault& fault, Millis until, std::size_t turn) {
    if (ended_ || stopping_ || net::now() >= until) return;
    Gate& g = *gates_[turn % gates_.size()];
    const Millis length = std::max(fault.size, 5.0);
    if (g.child->running() && !g.stopped) stop_gate(g, length);
    later(length, [this, &fault, until, turn] { starve_gateway(fault, until, turn + 1); });
}

void Scenario::order(const Server& s, invariants::Json order) {
    if (!s.up) return;
    calls_.push_back(std::make_unique<net::TcpStream>(loop_));
    net::TcpStream* call = calls_.back().get();
    const std::string body = order.dump();
    call->connect(s.control, "", [call, body](int e) {
        if (e != 0) return;
        call->set_reading(true);
        call->write(
            http::request_head("POST", "/control",
                               {{"host", "control"}, {"content-length", std::to_string(body.size())}}) +
            body);
    });
}

// ---- lists ----------------------------------------------------------------------------------------------

void Scenario::write_lists(Millis notice) {
    later(notice, [this] {
        for (auto& g : gates_) {
            if (!g->frozen) write_list(*g);
        }
    });
}

void Scenario::write_list(Gate& g) {
    std::vector<settings::Engine> engines;
    for (const auto& s : servers_) engines.push_back(s->engine);
    const std::string fresh = g.fleet + ".new";
    std::ofstream(fresh, std::ios::trunc) << settings::write_fleet(engines, plan_.program);
    // A gateway may read the file as soon as it has its name, before this process runs on: what it is allowed
    // from then on counts from before the renaming, what it is forbidden from after it.
    const Millis before = net::now();
    std::error_code error;
    std::filesystem::rename(fresh, g.fleet, error);
    const Millis after = net::now();
    for (const auto& engine : engines) {
        EndpointStatus& told = g.told.emplace(engine.endpoint.id, EndpointStatus::healthy).first->second;
        if (told == engine.endpoint.status) continue;
        told = engine.endpoint.status;
        const char* word = told == EndpointStatus::healthy    ? "healthy"
                           : told == EndpointStatus::draining ? "draining"
                                                              : "gone";
        recorder_->write(told == EndpointStatus::healthy ? before : after, "told",
                         {{"server", engine.endpoint.id}, {"mode", word}, {"gateway", g.name}});
    }
}

// ---- the end --------------------------------------------------------------------------------------------

void Scenario::clients_done() {
    if (stopping_) return;
    // What is still held must be let go of; only then the gateways are told to stop.
    later(plan_.program.router.lease_release_timeout + 500, [this] { stop_gates(); });
}

void Scenario::stop_gates() {
    stopping_ = true;
    bool any = false;
    for (auto& g : gates_) {
        g->expected = true;
        any |= g->child->running();
        g->child->kill(SIGTERM);
    }
    if (!any) return end();
    later(10000, [this] {
        if (ended_) return;
        error_ = "a gateway did not stop on SIGTERM";
        for (auto& g : gates_) g->child->kill(SIGKILL);
        end();
    });
}

void Scenario::end() {
    if (ended_) return;
    ended_ = true;
    for (auto& g : gates_) g->child->kill(SIGKILL);
    loop_.stop();
}

}  // namespace gorsenotch::fault_scenario
