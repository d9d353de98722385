#include "router/abandoned_prefills.h"

namespace gorsenotch::router {

void AbandonedPrefills::add(Millis now, EndpointState& endpoint, const RequestState& request) {
    if (request.attempt.stage != Stage::prefill) return;
    const Millis ran_for = now - request.attempt.sent_at;
    endpoint.load.abandoned_prefills.push_back({now + ran_for, request.arrival.prompt_tokens});
    endpoint.load.reserved_tokens += request.arrival.prompt_tokens;
    endpoints_.insert(endpoint.info.id);
}

void AbandonedPrefills::expire(Millis now) {
    std::erase_if(endpoints_, [this, now](EndpointId id) {
        EndpointState* endpoint = registry_.find(id);
        if (!endpoint) return true;
        EndpointLoad& load = endpoint->load;
        auto& abandoned = load.abandoned_prefills;
        while (!abandoned.empty() && abandoned.front().until <= now) {
            load.reserved_tokens -= abandoned.front().tokens;
            abandoned.pop_front();
        }
        return abandoned.empty();
    });
}

}  // namespace gorsenotch::router
