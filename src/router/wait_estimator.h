// Estimates the time to first token of a new request.
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

// Has no state other than a reusable buffer.
class WaitEstimator {
public:
    // All references must outlive this object.
    WaitEstimator(const EndpointRegistry& registry, const FleetStats& fleet_stats,
                  const CompletionTimes& completion_times, const Eligibility& eligibility,
                  const PrefixAffinity& prefix_affinity, const InFlightRequests& in_flight_requests);

    // Returns the expected wait in the shortest prefill queue of this gateway and then behind all its
    // requests that are not streaming yet. Requests in prefill are included, as they join the decode queues
    // next.
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
