// The time to first token that a new request can expect.
#pragma once

#include <vector>

#include "gorsenotch/settings.h"
#include "router/completion_times.h"
#include "router/eligibility.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/in_flight_requests.h"
#include "router/prefix_affinity.h"

namespace gorsenotch::router {

// Owns no state but memory that it reuses.
class WaitEstimator {
public:
    // All references must outlive this object.
    WaitEstimator(const EndpointRegistry& registry, const FleetStats& fleet_stats,
                  const CompletionTimes& completion_times, const Eligibility& eligibility,
                  const PrefixAffinity& prefix_affinity, const InFlightRequests& in_flight_requests);

    // The wait behind the shortest own prefill queue, then behind all own requests that do not stream yet.
    // Those in prefill are included, as they will join the others.
    Millis expected_wait(Millis now, const RequestState& request);

private:
    double shortest_prefill_queue(Millis now, const RequestState& request);
    double eligible_decode_endpoints(Millis now, const RequestState& request);

    const EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    const CompletionTimes& completion_times_;
    const Eligibility& eligibility_;
    const PrefixAffinity& prefix_affinity_;
    const InFlightRequests& in_flight_requests_;
    std::vector<EndpointState*> window_;
};

}  // namespace gorsenotch::router
