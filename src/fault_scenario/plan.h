// The plan of a fault scenario, as a day file describes it: engines, gateways, traffic and faults.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fault_scenario/scripted_clients.h"
#include "gorsenotch/settings.h"
#include "settings/settings.h"

namespace gorsenotch::fault_scenario {

// Engines of one kind in one cell.
struct EnginePool {
    int kind = 0;  // index into the settings' kinds
    int zone = 0;  // index into the settings' zones
    int count = 1;
    std::uint64_t cell = 0;
};

// What a scenario does to its processes.
enum class FaultKind {
    crash_engine,
    drain_engine,
    order_engine,      // Fault::engine_order tells an engine how to misbehave
    cut_zone,          // engines and gateways of one zone can't be reached from the others, nor these from it
    kill_gateway,      // one, by SIGKILL; started again after the fault's length
    suspend_gateway,   // one, by SIGSTOP; SIGCONT after the fault's length
    suspend_gateways,  // one after another, for `size` ms each
};

// One fault, with its time and its targets.
struct Fault {
    FaultKind kind = FaultKind::crash_engine;
    std::string engine_order;  // a word of the engine's control port
    std::string cls;           // class that an engine order is about; empty: all
    Millis at = 0;             // from the start of the traffic
    Millis length = 0;
    Millis notice = 300;  // how late the endpoint list learns of it
    double part = 1;      // of the engines that match, how large a part is affected
    double size = 1;      // factor or ms of an engine order; ms of each suspension
    // The engines that match; none: all.
    std::optional<int> engine_kind;
    std::optional<int> zone;
    std::optional<std::uint64_t> cell;
};

// A scenario file's contents, validated.
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

// Reads a day file and its settings. Null if anything is wrong; `errors` then lists every error with file and
// line.
std::optional<ScenarioPlan> load_plan(const std::string& file, std::string& errors);

}  // namespace gorsenotch::fault_scenario
