// Parses load reports of engines: the value of the ORCA header `endpoint-load-metrics` in TEXT or JSON
// format.
#pragma once

#include <string_view>

#include "gorsenotch/events.h"

namespace gorsenotch::engine {

// Ignores metrics that are unknown, negative or not finite; returns an empty report if `header` is not a
// report.
LoadReport parse_load_report(std::string_view header);

}  // namespace gorsenotch::engine
