// Slow start: protects a newly started endpoint, whose caches are cold, from overload.
#pragma once

#include <cstdint>

#include "gorsenotch/settings.h"
#include "router/fleet_stats.h"
#include "router/records.h"

namespace gorsenotch::router {

// Stateless. Only this class modifies EndpointState::sends.
class SlowStart {
public:
    // `settings` must outlive this object. `seed` is the Router's.
    SlowStart(const Settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {}

    // Whether the endpoint may get the request: it is warm, or this gateway's share of its slow-start budget
    // is not exhausted.
    bool within_budget(Millis now, const EndpointState& endpoint, const RequestState& request,
                       const FleetStats& fleet_stats) const {
        return !is_warming(now, endpoint) || within_slow_start_budget(now, endpoint, request, fleet_stats);
    }
    // Records that an attempt is sent to the endpoint.
    void record_send(Millis now, EndpointState& endpoint) const;

private:
    bool is_warming(Millis now, const EndpointState& endpoint) const {
        return now - endpoint.warming_since < settings_.slow_start_duration;
    }
    bool within_slow_start_budget(Millis now, const EndpointState& endpoint, const RequestState& request,
                                  const FleetStats& fleet_stats) const;

    const Settings& settings_;
    const std::uint64_t seed_;
};

}  // namespace gorsenotch::router
