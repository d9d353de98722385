// Which endpoints may get a request: the conditions that every choice of an endpoint must meet.
#pragma once

#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/outlier_detector.h"
#include "router/records.h"
#include "router/slow_start.h"

namespace gorsenotch::router {

// How much an endpoint must promise to be chosen.
enum class Strictness {
    strict,   // only endpoints that are expected to serve the request
    relaxed,  // all that may get it, where no other is left
};

// Owns no state.
class Eligibility {
public:
    // All references must outlive this object.
    Eligibility(const Settings& settings, const EndpointRegistry& registry, const FleetStats& fleet_stats,
                const SlowStart& slow_start, const OutlierDetector& outlier_detector);

    bool is_eligible(Millis now, const EndpointState& endpoint, const RequestState& request,
                     Strictness strictness) const;
    // When the last byte of a further attempt may be sent at the latest; kNever for no limit.
    Millis retry_deadline(const RequestState& request) const;
    // Whether the endpoint's memory is not nearly full, as far as is known.
    static bool has_capacity(const EndpointState& endpoint) {
        return endpoint.load.memory_utilization < kFullMemoryFraction;
    }

private:
    bool is_keyed_retry(const RequestState& request) const;
    bool within_dedup_scope(const EndpointState& endpoint, const RequestState& request) const;

    const Settings& settings_;
    const EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    const SlowStart& slow_start_;
    const OutlierDetector& outlier_detector_;
};

}  // namespace gorsenotch::router
