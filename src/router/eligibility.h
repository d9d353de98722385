// Decides which endpoints may get a request. Every selection of an endpoint applies these conditions.
#pragma once

#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/outlier_detector.h"
#include "router/records.h"
#include "router/slow_start.h"

namespace gorsenotch::router {

// Which conditions an endpoint must meet.
enum class Strictness {
    strict,   // all: the endpoint is expected to serve the request
    relaxed,  // only those required for correctness; used where no endpoint meets all
};

// Stateless.
class Eligibility {
public:
    // All references must outlive this object.
    Eligibility(const Settings& settings, const EndpointRegistry& registry, const FleetStats& fleet_stats,
                const SlowStart& slow_start, const OutlierDetector& outlier_detector);

    bool is_eligible(Millis now, const EndpointState& endpoint, const RequestState& request,
                     Strictness strictness) const;
    // Returns the time by which the last byte of a retry must be sent; kNever if there is no limit.
    Millis retry_deadline(const RequestState& request) const;
    // Whether the KV cache of the endpoint has room. True for an endpoint that has not reported its load.
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
