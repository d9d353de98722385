// Chooses the prefill endpoint of a request.
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

// Owns no state but memory that it reuses. Draws from the Router's one random generator, in an order that is
// part of its behaviour.
class PrefillSelector {
public:
    // All references must outlive this object.
    PrefillSelector(const Settings& settings, const EndpointRegistry& registry, const FleetStats& fleet_stats,
                    const Eligibility& eligibility, const PrefixAffinity& prefix_affinity,
                    DecodeSelector& decode_selector, stats::UniformRandom& random);

    // The eligible endpoint that the prompt's prefix is cached at, unless it is loaded more than others; the
    // least loaded one for a prompt without prefix and session. nullptr if none is eligible.
    EndpointState* choose(Millis now, const RequestState& request);

private:
    // An eligible endpoint with the share of its memory in use.
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
