// Estimates how long a request waits for its first token behind the other requests of this gateway.
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

    // Returns 0 if no request is queued or waits for its first token. Else returns the greater of two
    // estimates: a prefill behind this gateway's shortest prefill queue plus one decode wait; or the decode
    // wait behind all attempts in flight of this gateway that are not streaming yet, shared by the eligible
    // decode endpoints. Prefill attempts are included, as they join the decode queues next. Both estimates
    // include the request's own prefill and decode wait, if it has these before it.
    Millis expected_wait(Millis now, const RequestState& request);

private:
    // Returns the length in thousands of tokens; 0 if no endpoint is eligible.
    double shortest_prefill_queue_kilotokens(Millis now, const RequestState& request);
    // Extrapolates from a sample to the fleet, so the number may be fractional.
    double estimate_eligible_decode_endpoints(Millis now, const RequestState& request);

    const EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    const CompletionTimes& completion_times_;
    const Eligibility& eligibility_;
    const PrefixAffinity& prefix_affinity_;
    const InFlightRequests& in_flight_requests_;
    std::vector<EndpointState*> window_;
};

}  // namespace gorsenotch::router
