// Load reports of engines: the value of the ORCA header `endpoint-load-metrics`, in its TEXT or JSON form.
#pragma once

#include <string_view>

#include "gorsenotch/events.h"

namespace gorsenotch::engine {

// Metrics that are unknown, negative or not finite are passed over; what is no report gives an empty one.
LoadReport parse_load_report(std::string_view header);

}  // namespace gorsenotch::engine
