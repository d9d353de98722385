// Writes a Router's actions as messages of the simulator's wire protocol.
#pragma once

#include <ostream>
#include <string>

#include "gorsenotch/actions.h"

namespace gorsenotch::simulator_adapter {

// Writes one line: the action's word, the name of the simulated gateway, and the action's fields.
void write_action(std::ostream& out, const std::string& instance, const Action& action);

}  // namespace gorsenotch::simulator_adapter
