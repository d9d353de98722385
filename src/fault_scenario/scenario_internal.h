// The process types of class Scenario. Private to its implementation files.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "fault_scenario/scenario.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::fault_scenario {

// A fake engine of the scenario and its process.
struct Scenario::EngineProcess {
    settings::Engine engine;
    std::string control_address;
    std::unique_ptr<net::ChildProcess> child;
    bool running = false;
    bool excluded_from_faults = false;  // drained, or crashed without a restart
};

// A gateway of the scenario and its process.
struct Scenario::GatewayProcess {
    int number = 0;
    int zone = 0;
    std::string address;
    std::string source;      // local address of its connections to engines
    std::string fleet_file;  // path of its endpoint list
    std::string state_folder;
    std::unique_ptr<net::ChildProcess> child;
    bool suspended = false;                       // between SIGSTOP and SIGCONT
    bool list_frozen = false;                     // its endpoint list is not updated
    bool exit_expected = false;                   // SIGKILL or SIGTERM was sent
    std::map<EndpointId, EndpointStatus> listed;  // as of its last endpoint list

    bool is_fault_target() const { return child->running() && !suspended; }
};

}  // namespace gorsenotch::fault_scenario
