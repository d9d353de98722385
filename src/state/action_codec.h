// Actions as the JSON objects of a decision journal. They are only written and compared, never read back.
// The names of fields are stored data: journals of earlier versions are compared with them, so they may not
// change.
#pragma once

#include <nlohmann/json.hpp>

#include "gorsenotch/actions.h"

namespace gorsenotch::state {

nlohmann::json action_to_json(const Action& action);

}  // namespace gorsenotch::state
