// A bad day: starts gateways, stand-ins and clients as processes of their own on loopback, plays the traffic
// and the troubles of a day file, then judges the rules from the records.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fault_scenario/scripted_clients.h"
#include "invariants/record_checker.h"
#include "net/child_process.h"
#include "net/event_loop.h"
#include "settings/settings.h"

namespace gorsenotch::fault_scenario {

struct EnginePool {
    int kind = 0, zone = 0, count = 1;
    std::uint64_t cell = 0;
};

struct Fault {
    std::string what, cls;
    Millis at = 0, length = 0, notice = 300;
    double part = 1, size = 1;
    int kind = -1, zone = -1;
    long cell = -1;
};

struct ScenarioPlan {
    std::string name, settings_file;
    settings::Program program;
    Millis length = 10000;
    std::uint64_t seed = 1;
    int gateways = 2;
    std::vector<EnginePool> pools;
    std::vector<Load> loads;
    std::vector<Fault> faults;
};

// Null and faults (with the file they stand in) if anything is wrong.
std::optional<ScenarioPlan> load_plan(const std::string& file, std::string& faults);

struct ScenarioOptions {
    std::string self;  // this program's own file
    std::string out;   // folder for records and logs; made anew
    std::optional<std::uint64_t> seed;
};

struct ScenarioResult {
    invariants::Verdict verdict;
    std::string error;         // the day could not be played, or a process died by itself
    bool interrupted = false;  // a signal stopped it; nothing was judged
    bool system = false;       // a process could not be started; nothing was judged
    double seconds = 0;
};

class Scenario {
public:
    Scenario(ScenarioPlan plan, ScenarioOptions options);
    ~Scenario();
    ScenarioResult run();

private:
    struct Server;
    struct Gate;
    void start_server(Server& s, bool cold);
    void start_gate(Gate& g);
    void start_clients();
    void record_notice(net::ChildProcess& child);
    void could_not_start(const std::string& what, const std::string& log, int status, int signal);
    void play(const Fault& fault, std::size_t number);
    std::vector<Server*> affected_servers(const Fault& fault, std::mt19937_64& random);
    void crash(Server& s, const Fault& fault);
    void drain(Server& s, const Fault& fault);
    void cut(int zone, bool on);
    void kill_gate(const Fault& fault, std::mt19937_64& random);
    void stop_gate(Gate& g, Millis length);
    void starve_gateway(const Fault& fault, Millis until, std::size_t turn);
    void order(const Server& s, invariants::Json order);
    void write_lists(Millis notice);
    void write_list(Gate& g);
    void clients_done();
    void stop_gates();
    void end();
    void later(Millis delay, std::function<void()> what);
    std::string place(int zone, int n) const;
    std::vector<std::string> free_addresses(const std::string& host, std::size_t count);
    void place_server(Server& server);

    ScenarioPlan plan_;
    ScenarioOptions options_;
    net::EventLoop loop_;
    std::unique_ptr<net::TcpListener> claim_;  // says that this day's addresses are taken
    std::unique_ptr<invariants::Recorder> recorder_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Gate>> gates_;
    std::vector<std::unique_ptr<net::ChildProcess>> clients_;
    std::list<std::unique_ptr<net::Timer>> timers_;
    std::list<std::unique_ptr<net::TcpStream>> calls_;
    std::uint64_t seed_ = 1;
    int octet_ = 1, clients_out_ = 0, next_place_ = 0;
    std::size_t starting_ = 0;  // processes that do not listen yet, before the clients come
    bool playing_ = false, interrupted_ = false, system_ = false;
    EndpointId next_id_ = 0;
    bool ended_ = false, stopping_ = false;
    std::string error_;
};

}  // namespace gorsenotch::fault_scenario
