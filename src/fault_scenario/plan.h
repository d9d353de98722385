// The plan of a fault scenario, parsed from a day file: engines, gateways, traffic and faults.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fault_scenario/scripted_clients.h"
#include "gorsenotch/settings.h"
#include "settings/settings.h"

namespace gorsenotch::fault_scenario {

// A group of engines of one kind in one cell.
struct EnginePool {
    int kind = 0;  // index into the settings' kinds
    int zone = 0;  // index into the settings' zones
    int count = 1;
    std::uint64_t cell = 0;
};

// The kinds of faults that a scenario injects.
enum class FaultKind {
    crash_engine,
    drain_engine,
    order_engine,      // Fault::engine_order is sent to the control port of each affected engine
    cut_zone,          // drops all traffic between one zone and the other zones
    kill_gateway,      // one gateway: SIGKILL, restart after the fault's duration
    suspend_gateway,   // one gateway: SIGSTOP, SIGCONT after the fault's duration
    suspend_gateways,  // all gateways in turn, one at a time for `magnitude` ms each
};

// One fault, its time and its targets.
struct Fault {
    FaultKind kind = FaultKind::crash_engine;
    std::string engine_order;  // an order of the engine's control port
    std::string cls;           // request class that an engine order affects; empty: all
    Millis start = 0;          // from the start of the traffic
    Millis duration = 0;
    Millis list_update_delay = 300;  // from the fault to the update of the endpoint lists
    double fraction = 1;             // of the matching engines that is affected
    double magnitude = 1;            // factor or ms of an engine order; ms of each suspension
    // Filters on the engines; absent: no filter.
    std::optional<int> engine_kind;
    std::optional<int> zone;
    std::optional<std::uint64_t> cell;
};

// The validated contents of a day file.
struct ScenarioPlan {
    std::string name;
    std::string settings_file;
    settings::ProgramSettings program;
    Millis length = 10000;  // of the traffic
    std::uint64_t seed = 1;
    int gateways = 2;
    std::vector<EnginePool> pools;
    std::vector<Load> loads;
    std::vector<Fault> faults;
};

// Parses a day file and its settings file. Empty if either is invalid; `errors` then lists every error with
// file and line.
std::optional<ScenarioPlan> load_plan(const std::string& file, std::string& errors);

}  // namespace gorsenotch::fault_scenario
