// Encodes events as the JSON objects of a decision journal and decodes them. The field names must not change:
// journals written by earlier versions contain them.
#pragma once

#include <nlohmann/json.hpp>

#include "gorsenotch/events.h"

namespace gorsenotch::state {

// The journal's JSON object for `event`, without its time, which the journal adds.
nlohmann::json event_to_json(const Event& event);
// Decodes an event. `json` may be damaged in any way: if it is not a valid event, throws JournalError
// (state/journal_error.h) or nlohmann::json::exception. A number out of its field's range is an error, never
// undefined behaviour.
Event event_from_json(const nlohmann::json& json);

}  // namespace gorsenotch::state
