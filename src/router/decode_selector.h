// Selects the decode endpoint of a request.
#pragma once

#include <cstdint>
#include <vector>

#include "gorsenotch/settings.h"
#include "router/eligibility.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/in_flight_requests.h"
#include "router/prefix_affinity.h"
#include "stats/uniform_random.h"

namespace gorsenotch::router {

// Has no state other than a reusable buffer. Shares the Router's random number generator: the order in which
// numbers are drawn affects all later selections.
class DecodeSelector {
public:
    // All references must outlive this object.
    DecodeSelector(const EndpointRegistry& registry, const FleetStats& fleet_stats,
                   const Eligibility& eligibility, const PrefixAffinity& prefix_affinity,
                   const InFlightRequests& in_flight_requests, stats::UniformRandom& random);

    // Returns the eligible endpoint with the shortest queue, nullptr if none is eligible. Endpoints whose
    // queues are longer by at most one rank equal: of these, one in the preferred cell for the KV cache is
    // selected, then one with the fewest streams, then a random one.
    EndpointState* choose(Millis now, const RequestState& request, SearchScope scope = SearchScope::window);

private:
    // An eligible endpoint and the length of its queue.
    struct QueuedEndpoint {
        int queued;
        EndpointState* endpoint;
    };

    EndpointState* choose_in_scope(Millis now, const RequestState& request, SearchScope scope);
    std::vector<QueuedEndpoint> eligible_endpoints(Millis now, const RequestState& request,
                                                   const std::vector<EndpointState*>& candidates) const;
    EndpointState* choose_of_shortest_queues(const std::vector<QueuedEndpoint>& eligible,
                                             const EndpointState* prefill_endpoint, std::uint64_t cell);
    std::uint64_t choose_decode_cell(const EndpointState& prefill_endpoint);
    void add_cell_endpoints(std::uint64_t cell);

    const EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    const Eligibility& eligibility_;
    const PrefixAffinity& prefix_affinity_;
    const InFlightRequests& in_flight_requests_;
    stats::UniformRandom& random_;
    std::vector<EndpointState*> window_;
};

}  // namespace gorsenotch::router
