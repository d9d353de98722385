// Selects the prefill endpoint of a request.
#pragma once

#include <vector>

#include "gorsenotch/settings.h"
#include "router/decode_selector.h"
#include "router/eligibility.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/prefix_affinity.h"
#include "stats/uniform_random.h"

namespace gorsenotch::router {

// Has no state other than reusable buffers. Shares the Router's random number generator: the order in which
// numbers are drawn affects all later selections.
class PrefillSelector {
public:
    // All references must outlive this object.
    PrefillSelector(const Settings& settings, const EndpointRegistry& registry, const FleetStats& fleet_stats,
                    const Eligibility& eligibility, const PrefixAffinity& prefix_affinity,
                    DecodeSelector& decode_selector, stats::UniformRandom& random);

    // Returns the eligible endpoint at which the prefix of the prompt is cached, unless its load exceeds that
    // of others by more than a margin. For a prompt without shared prefix and session, returns the least
    // loaded endpoint. Returns nullptr if no endpoint is eligible.
    EndpointState* choose(Millis now, const RequestState& request);

private:
    // An eligible endpoint and the fraction of its memory in use.
    struct LoadedEndpoint {
        double load;
        EndpointState* endpoint;
    };

    EndpointState* choose_in_scope(Millis now, const RequestState& request, SearchScope scope);
    EndpointState* choose_least_loaded(const std::vector<LoadedEndpoint>& eligible,
                                       const std::vector<EndpointState*>& within_margin);
    std::vector<EndpointState*> eligible_endpoints(Millis now, const RequestState& request, SearchScope scope,
                                                   const std::vector<EndpointState*>& candidates);
    std::vector<LoadedEndpoint> compute_loads(Millis now, const std::vector<EndpointState*>& eligible) const;
    std::vector<EndpointState*> within_load_margin(const RequestState& request,
                                                   const std::vector<LoadedEndpoint>& eligible) const;
    void filter_by_zone(const RequestState& request, const std::vector<LoadedEndpoint>& eligible,
                        std::vector<EndpointState*>& within_margin) const;

    const Settings& settings_;
    const EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    const Eligibility& eligibility_;
    const PrefixAffinity& prefix_affinity_;
    DecodeSelector& decode_selector_;
    stats::UniformRandom& random_;
    std::vector<EndpointState*> prefill_window_;
    std::vector<EndpointState*> mixed_window_;
};

}  // namespace gorsenotch::router
