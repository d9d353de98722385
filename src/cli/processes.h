// The sub-commands that are processes of their own: a gateway, a stand-in engine, both together (`up`), a day
// and its clients. Each returns the program's exit code. A process that serves until it is told to stop
// returns 0 when SIGTERM, SIGINT or SIGHUP told it so, also while it starts; one that has a job to finish
// returns kInterrupted.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fault_scenario/scenario.h"
#include "gateway/gateway.h"
#include "settings/settings.h"

namespace gorsenotch::cli {

constexpr int kBroken = 1, kUse = 2, kRefused = 3, kSystem = 4, kInterrupted = 5;

// The settings, or nothing after every fault has been written to standard error.
std::optional<settings::Program> load(const std::string& file);
std::string self();  // this program's file

// Prints `ready http://ADDRESS` when it listens; drains when told to stop, ends at once when told twice.
int run_gateway(settings::Program program, const gateway::ServeOptions& options);

struct FakeEngineArgs {
    std::string file, kind, address, control, record, keys;
    EndpointId server = 0;
    bool cold = false;
    std::vector<std::string> args;  // of this process, to start it anew
};
int run_fake_engine(const FakeEngineArgs& args);

// Every engine of the settings as a stand-in process, and the gateway in this one, ready when all listen.
int run_up(const std::string& file, const std::string& listen);

int run_scenario(const std::string& file, fault_scenario::ScenarioOptions options, int seeds);
int run_client(fault_scenario::ClientOptions options, const std::string& gateways);

}  // namespace gorsenotch::cli
