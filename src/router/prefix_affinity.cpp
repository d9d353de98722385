#include "router/prefix_affinity.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "stats/hash.h"

namespace gorsenotch::router {
namespace {

constexpr std::uint64_t kReplicaRankSalt = 1;

struct ScoredEndpoint {
    double score;
    EndpointState* endpoint;
};

bool precedes(const ScoredEndpoint& left, const ScoredEndpoint& right) {
    if (left.score != right.score) return left.score < right.score;
    return std::less<>()(left.endpoint, right.endpoint);
}

}  // namespace

void PrefixAffinity::record_arrival(const RequestState& request) {
    if (request.arrival.shared_prefix) ++arrivals_by_prefix_[request.arrival.shared_prefix];
    ++arrivals_;
}

void PrefixAffinity::decay(Millis elapsed) {
    const double decay_factor = std::exp(-elapsed / kCompletionTimeConstantMs / 10);
    arrivals_ *= decay_factor;
    for (auto& [prefix, count] : arrivals_by_prefix_) count *= decay_factor;
    std::erase_if(arrivals_by_prefix_, [](const auto& entry) { return entry.second < kMinPrefixArrivals; });
}

std::uint64_t PrefixAffinity::affinity_key(const RequestState& request) const {
    return has_session_affinity(request) ? request.arrival.session : request.arrival.shared_prefix;
}

// At a low sample rate, prompts that mostly belong to their session have session affinity instead of prefix
// affinity: the queues of this gateway would not reflect an overload of the endpoints of a popular prefix.
bool PrefixAffinity::has_session_affinity(const RequestState& request) const {
    const Arrival& arrival = request.arrival;
    if (!arrival.shared_prefix) return true;
    return fleet_stats_.low_sample_rate() && arrival.session &&
           2 * arrival.shared_prefix_tokens < arrival.prompt_tokens;
}

std::uint64_t PrefixAffinity::prefill_window_key(const RequestState& request) const {
    const std::uint64_t key = affinity_key(request);
    return key ? key : seed_ + request.serial;
}

// The result depends only on the endpoint list, as another gateway may handle the next request of the
// session.
EndpointState* PrefixAffinity::choose(const RequestState& request, std::uint64_t key,
                                      const std::vector<EndpointState*>& candidates,
                                      std::size_t usable) const {
    std::vector<ScoredEndpoint> ranking;
    for (EndpointState* endpoint : candidates) {
        const double endpoint_fraction = stats::hash_fraction(key, endpoint->info.id) + 1e-18;
        ranking.push_back({-std::log(endpoint_fraction) / fleet_stats_.prefill_weight(*endpoint), endpoint});
    }
    const std::size_t replicas =
        has_session_affinity(request)
            ? 1
            : std::min(ranking.size(), affinity_replicas(request.arrival.shared_prefix, usable));
    // A session always uses the same rank among the replicas.
    const double session_fraction = stats::hash_fraction(request.arrival.session, kReplicaRankSalt);
    const auto rank = static_cast<std::ptrdiff_t>(session_fraction * static_cast<double>(replicas));
    const auto chosen = ranking.begin() + rank;
    std::nth_element(ranking.begin(), chosen, ranking.end(), precedes);
    return chosen->endpoint;
}

// Returns the number of endpoints that cache a prefix. A popular prefix would overload a single endpoint, and
// at a low sample rate the queues of this gateway would not reflect that. The load of one prefix per endpoint
// is therefore limited to a multiple of the mean load. Drawback: the prefix is processed once at each
// replica.
std::size_t PrefixAffinity::affinity_replicas(std::uint64_t prefix, std::size_t endpoints) const {
    if (!fleet_stats_.low_sample_rate()) return 1;
    const auto tracked = arrivals_by_prefix_.find(prefix);
    if (tracked == arrivals_by_prefix_.end()) return 1;
    const double share = (tracked->second - 1) / (kSharedPrefixPriorArrivals + arrivals_);
    return 1 + static_cast<std::size_t>(share * static_cast<double>(endpoints) / kMaxReplicaLoadFactor);
}

}  // namespace gorsenotch::router
