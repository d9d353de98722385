// Events as the JSON objects of a decision journal, and back. The names of fields are stored data: journals
// written by earlier versions are read with them, so they may not change.
#pragma once

#include <nlohmann/json.hpp>

#include "gorsenotch/events.h"

namespace gorsenotch::state {

// Without the event's time, which the journal adds.
nlohmann::json event_to_json(const Event& event);
// The journal may be damaged in any way. Throws JournalError or nlohmann::json::exception for what is not an
// event: a number that its field cannot hold is an error, never undefined behaviour.
Event event_from_json(const nlohmann::json& json);

}  // namespace gorsenotch::state
