// Encodes actions as the JSON objects of a decision journal. They are only written and compared, never
// decoded. The field names are stored data and must not change: replay compares journals of earlier versions
// with them.
#pragma once

#include <nlohmann/json.hpp>

#include "gorsenotch/actions.h"

namespace gorsenotch::state {

// The journal's JSON object for `action`; "a" names its type.
nlohmann::json action_to_json(const Action& action);

}  // namespace gorsenotch::state
