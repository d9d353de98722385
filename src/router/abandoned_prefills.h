// Memory that cancelled and timed-out prefills may still use at their endpoints.
#pragma once

#include <set>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the set of endpoints that have abandoned prefills, and is the only one to change
// EndpointLoad::abandoned_prefills and their share of reserved_tokens.
class AbandonedPrefills {
public:
    // `registry` must outlive this object.
    explicit AbandonedPrefills(EndpointRegistry& registry) : registry_(registry) {}

    // Counts the prompt's tokens for as long again as the prefill has run. Ignores an attempt of another
    // stage.
    void add(Millis now, EndpointState& endpoint, const RequestState& request);
    void expire(Millis now);

private:
    EndpointRegistry& registry_;
    std::set<EndpointId> endpoints_;
};

}  // namespace gorsenotch::router
