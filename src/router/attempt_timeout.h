// Computes the timeout of an attempt.
#pragma once

#include "gorsenotch/settings.h"
#include "router/completion_times.h"
#include "router/fleet_stats.h"
#include "router/records.h"

namespace gorsenotch::router {

// Stateless: derives timeouts from the observed durations and the latency objectives.
class AttemptTimeout {
public:
    // All references must outlive this object.
    AttemptTimeout(const Settings& settings, const FleetStats& fleet_stats,
                   const CompletionTimes& completion_times)
        : settings_(settings), fleet_stats_(fleet_stats), completion_times_(completion_times) {}

    // Returns the timeout of the request's attempt, which has just begun.
    Millis compute(Millis now, const RequestState& request) const;

private:
    const Settings& settings_;
    const FleetStats& fleet_stats_;
    const CompletionTimes& completion_times_;
};

}  // namespace gorsenotch::router
