#include "router/wait_estimator.h"

#include <algorithm>
#include <optional>

#include "router/request_properties.h"

namespace gorsenotch::router {

WaitEstimator::WaitEstimator(const EndpointRegistry& registry, const FleetStats& fleet_stats,
                             const CompletionTimes& completion_times, const Eligibility& eligibility,
                             const PrefixAffinity& prefix_affinity,
                             const InFlightRequests& in_flight_requests)
    : registry_(registry),
      fleet_stats_(fleet_stats),
      completion_times_(completion_times),
      eligibility_(eligibility),
      prefix_affinity_(prefix_affinity),
      in_flight_requests_(in_flight_requests) {}

Millis WaitEstimator::expected_wait(Millis now, const RequestState& request) {
    const double attempts_ahead = in_flight_requests_.count_not_streaming();
    const double queued_kilotokens = shortest_prefill_queue_kilotokens(now, request);
    if (queued_kilotokens + attempts_ahead <= 0)
        return 0;  // nothing is queued; the request's own work is not a wait
    const double decode_endpoints = estimate_eligible_decode_endpoints(now, request);
    const Millis decode_wait = completion_times_.typical(Stage::decode_queued, request);
    // The queue is the same for a long prompt as for a typical one, so the own part is limited to a typical
    // prompt.
    const double own_kilotokens =
        std::min(uncached_kilotokens(request), fleet_stats_.typical_uncached_kilotokens());
    const Millis prefill_wait = request.has_kv_lease ? 0
                                                     : completion_times_.typical(Stage::prefill, request) *
                                                           (queued_kilotokens + own_kilotokens);
    return std::max(prefill_wait + decode_wait,
                    decode_wait * (1 + attempts_ahead / std::max(1.0, decode_endpoints)));
}

double WaitEstimator::shortest_prefill_queue_kilotokens(Millis now, const RequestState& request) {
    std::optional<double> shortest;
    const std::uint64_t key = prefix_affinity_.prefill_window_key(request);
    for (const Role role : {Role::prefill, Role::mixed}) {
        const auto& candidates =
            EndpointRegistry::candidates(registry_.with_role(role), key, SearchScope::window, window_);
        for (const EndpointState* endpoint : candidates) {
            if (!eligibility_.is_eligible(now, *endpoint, request, Strictness::strict)) continue;
            const double queued = endpoint->load.queued_kilotokens;
            shortest = std::min(shortest.value_or(queued), queued);
        }
    }
    return shortest.value_or(0);
}

double WaitEstimator::estimate_eligible_decode_endpoints(Millis now, const RequestState& request) {
    const EndpointRing& ring = registry_.decode_capable();
    const auto& candidates = EndpointRegistry::candidates(ring, prefix_affinity_.decode_window_key(request),
                                                          SearchScope::window, window_);
    if (candidates.empty()) return 0;
    double eligible = 0;
    for (const EndpointState* endpoint : candidates)
        eligible += eligibility_.is_eligible(now, *endpoint, request, Strictness::strict);
    // The window is a sample: extrapolate to the fleet.
    return eligible * (static_cast<double>(ring.size()) / static_cast<double>(candidates.size()));
}

}  // namespace gorsenotch::router
