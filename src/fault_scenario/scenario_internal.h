// The processes of a scenario, for the files of the class Scenario alone.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "fault_scenario/scenario.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::fault_scenario {

// A fake engine of the scenario: its address, its process and whether it is up.
struct Scenario::EngineProcess {
    settings::Engine engine;
    std::string control_address;
    std::unique_ptr<net::ChildProcess> child;
    bool running = false;
    bool leaving = false;  // drained, or crashed for good
};

// A gateway of the scenario and its process.
struct Scenario::GatewayProcess {
    int number = 0;
    int zone = 0;
    std::string address;
    std::string source;      // local address of its connections to engines
    std::string fleet_file;  // its endpoint list
    std::string state_folder;
    std::unique_ptr<net::ChildProcess> child;
    bool suspended = false;                       // by SIGSTOP
    bool list_frozen = false;                     // its list is not updated
    bool exit_expected = false;                   // its end was ordered
    std::map<EndpointId, EndpointStatus> listed;  // what its list said last

    bool can_be_hit() const { return child->running() && !suspended; }
};

}  // namespace gorsenotch::fault_scenario
