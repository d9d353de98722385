// Actions of a Router as lines of the simulator's wire.
#pragma once

#include <ostream>
#include <string>

#include "gorsenotch/actions.h"

namespace gorsenotch::simulator_adapter {

// Writes one line: the action's word, the instance's name, the action's fields.
void write_action(std::ostream& out, const std::string& instance, const Action& action);

}  // namespace gorsenotch::simulator_adapter
