// Accounting of the KV-cache memory that cancelled and timed-out prefills may still use at their endpoints.
#pragma once

#include <set>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the set of endpoints that have abandoned prefills. Only this class modifies
// EndpointLoad::abandoned_prefills and the tokens that they contribute to EndpointLoad::reserved_tokens.
class AbandonedPrefills {
public:
    // `registry` must outlive this object.
    explicit AbandonedPrefills(EndpointRegistry& registry) : registry_(registry) {}

    // Keeps the tokens of the prompt reserved for as long as the prefill has already run. Has no effect for
    // an attempt in another stage.
    void add(Millis now, EndpointState& endpoint, const RequestState& request);
    // Removes the abandoned prefills whose time has passed by `now`.
    void expire(Millis now);

private:
    EndpointRegistry& registry_;
    std::set<EndpointId> endpoints_;
};

}  // namespace gorsenotch::router
