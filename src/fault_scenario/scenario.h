// A fault scenario: starts gateways, fake engines and clients as separate processes on loopback, generates
// the traffic and injects the faults of a plan, then checks the invariants against the records that engines
// and clients wrote of their sockets.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fault_scenario/plan.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "invariants/record_checker.h"
#include "net/child_process.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::fault_scenario {

// Options of a scenario run.
struct ScenarioOptions {
    std::string executable;     // path of this program's executable
    std::string output_folder;  // folder for records and logs; deleted and created at the start
    std::optional<std::uint64_t> seed;
};

// The result of a scenario run.
struct ScenarioResult {
    invariants::Verdict verdict;
    std::string error;         // the scenario could not be completed, or a process exited unexpectedly
    bool interrupted = false;  // stopped by a signal; there is no verdict
    bool system = false;       // a process failed to start; there is no verdict
    double seconds = 0;
};

// Runs one scenario. Owns the event loop and all processes. Implemented in four files: scenario.cpp (the run
// from start to verdict), scenario_processes.cpp (addresses and process start), scenario_faults.cpp (faults)
// and scenario_lists.cpp (endpoint lists).
class Scenario {
public:
    Scenario(ScenarioPlan plan, ScenarioOptions options);
    ~Scenario();
    // Runs the plan once and returns after every process has exited.
    ScenarioResult run();

private:
    struct EngineProcess;
    struct GatewayProcess;

    // The run (scenario.cpp).
    bool make_folders();
    void start_engines();
    void start_gateways();
    void on_processes_ready();
    void on_clients_done();
    void stop_gateways();
    void on_interrupt();
    void on_start_timeout();
    void fail_with_system_error(const std::string& error);
    void end();
    void check_records(ScenarioResult& result) const;
    void schedule(Millis delay, std::function<void()> task);

    // Addresses and processes (scenario_processes.cpp).
    std::string loopback_address(int network, int host) const;
    std::vector<std::string> free_addresses(const std::string& host, std::size_t count);
    void assign_addresses(EngineProcess& engine);
    std::string dedup_folder(const Endpoint& endpoint) const;
    void start_engine(EngineProcess& engine, bool cold);
    void start_gateway(GatewayProcess& gateway);
    void on_gateway_exit(GatewayProcess& gateway, const std::string& log, int status, int signal);
    void start_clients();
    void start_client(std::size_t index, const std::string& gateways);
    std::vector<std::string> client_arguments(std::size_t index, const std::string& gateways) const;
    void await_ready(net::ChildProcess& process);
    void on_start_failure(const std::string& name, const std::string& log, int status, int signal);

    // Faults (scenario_faults.cpp).
    void inject_fault(const Fault& fault, std::size_t number);
    void inject_engine_fault(EngineProcess& engine, const Fault& fault);
    std::vector<EngineProcess*> affected_engines(const Fault& fault, std::mt19937_64& random);
    GatewayProcess* random_running_gateway(std::mt19937_64& random);
    void crash_engine(EngineProcess& engine, const Fault& fault);
    void drain_engine(EngineProcess& engine, const Fault& fault);
    void replace_engine(EngineProcess& engine, Millis list_update_delay);
    void set_zone_cut(int zone, bool on);
    void record_cut(const EngineProcess& engine, int zone);
    void kill_gateway(GatewayProcess& gateway, const Fault& fault);
    void suspend_gateway(GatewayProcess& gateway, Millis length);
    void suspend_gateways_in_turn(const Fault& fault, Millis until, std::size_t turn);
    void send_order(const EngineProcess& engine, const invariants::Json& order);

    // Endpoint lists (scenario_lists.cpp).
    void write_lists_after(Millis delay);
    void write_list(GatewayProcess& gateway);
    void record_list(GatewayProcess& gateway, const std::vector<settings::Engine>& engines, Millis before,
                     Millis after);

    ScenarioPlan plan_;
    ScenarioOptions options_;
    net::EventLoop loop_;
    std::unique_ptr<net::TcpListener>
        network_lock_;  // reserves the network against other runs on this machine
    std::unique_ptr<invariants::Recorder> recorder_;
    std::vector<std::unique_ptr<EngineProcess>> engines_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::vector<std::unique_ptr<net::ChildProcess>> clients_;
    std::list<std::unique_ptr<net::Timer>> timers_;
    std::list<std::unique_ptr<net::TcpStream>> orders_;  // connections to the engines' control ports
    std::uint64_t seed_ = 1;
    int second_octet_ = 1;  // N in 127.N.x.y, the addresses of this run
    int running_clients_ = 0;
    int next_engine_host_ = 0;
    EndpointId next_engine_id_ = 0;
    std::size_t processes_not_ready_ = 0;  // engines and gateways that do not listen yet
    bool processes_ready_ = false;         // all engines and gateways listen
    bool stopping_ = false;                // SIGTERM was sent to the gateways
    bool ended_ = false;
    bool interrupted_ = false;
    bool system_error_ = false;
    std::string error_;
};

}  // namespace gorsenotch::fault_scenario
