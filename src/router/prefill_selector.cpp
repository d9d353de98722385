#include "router/prefill_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "router/request_properties.h"
#include "stats/hash.h"

namespace gorsenotch::router {
namespace {

constexpr std::uint64_t kZoneSalt = 0;

}  // namespace

PrefillSelector::PrefillSelector(const Settings& settings, const EndpointRegistry& registry,
                                 const FleetStats& fleet_stats, const Eligibility& eligibility,
                                 const PrefixAffinity& prefix_affinity, DecodeSelector& decode_selector,
                                 stats::UniformRandom& random)
    : settings_(settings),
      registry_(registry),
      fleet_stats_(fleet_stats),
      eligibility_(eligibility),
      prefix_affinity_(prefix_affinity),
      decode_selector_(decode_selector),
      random_(random) {}

EndpointState* PrefillSelector::choose(Millis now, const RequestState& request) {
    return registry_.choose_with_fallback(
        SearchScope::window, [&](SearchScope scope) { return choose_in_scope(now, request, scope); });
}

EndpointState* PrefillSelector::choose_in_scope(Millis now, const RequestState& request, SearchScope scope) {
    const EndpointRing& ring = registry_.with_role(Role::prefill);
    const std::vector<EndpointState*>& candidates = EndpointRegistry::candidates(
        ring, prefix_affinity_.prefill_window_key(request), scope, prefill_window_);
    const std::vector<EndpointState*> endpoints = eligible_endpoints(now, request, scope, candidates);
    if (endpoints.empty()) return nullptr;
    const std::vector<LoadedEndpoint> eligible = compute_loads(now, endpoints);
    const std::vector<EndpointState*> within_margin = within_load_margin(request, eligible);
    const std::uint64_t key = prefix_affinity_.affinity_key(request);
    if (!key) return choose_least_loaded(eligible, within_margin);
    // The window is a sample: extrapolate to the fleet.
    const std::size_t usable =
        candidates.empty() ? eligible.size() : eligible.size() * ring.size() / candidates.size();
    return prefix_affinity_.choose(request, key, within_margin, usable);
}

EndpointState* PrefillSelector::choose_least_loaded(const std::vector<LoadedEndpoint>& eligible,
                                                    const std::vector<EndpointState*>& within_margin) {
    struct RankedEndpoint {
        double load;
        double tie_breaker;
        EndpointState* endpoint;
    };
    std::vector<RankedEndpoint> ranking;
    for (const auto& [load, endpoint] : eligible) {
        if (std::find(within_margin.begin(), within_margin.end(), endpoint) == within_margin.end()) continue;
        ranking.push_back({load, random_.next(), endpoint});
    }
    const auto precedes = [](const RankedEndpoint& left, const RankedEndpoint& right) {
        return std::tie(left.load, left.tie_breaker) < std::tie(right.load, right.tie_breaker);
    };
    return std::min_element(ranking.begin(), ranking.end(), precedes)->endpoint;
}

// Returns the eligible endpoints of the role prefill. If the decode endpoint that would be selected has no
// capacity, mixed endpoints with capacity are added, as they can also decode. If no endpoint of the role
// prefill is eligible, returns all eligible mixed endpoints.
std::vector<EndpointState*> PrefillSelector::eligible_endpoints(
    Millis now, const RequestState& request, SearchScope scope,
    const std::vector<EndpointState*>& candidates) {
    const EndpointState* decode_endpoint = nullptr;
    std::vector<EndpointState*> eligible;
    for (const Strictness strictness : {Strictness::strict, Strictness::relaxed}) {
        for (EndpointState* endpoint : candidates) {
            if (eligibility_.is_eligible(now, *endpoint, request, strictness)) eligible.push_back(endpoint);
        }
        if (!decode_endpoint) decode_endpoint = decode_selector_.choose(now, request, scope);
        const bool decode_capacity = decode_endpoint && Eligibility::has_capacity(*decode_endpoint);
        if (!eligible.empty() && decode_capacity) break;
        const std::vector<EndpointState*>& mixed =
            EndpointRegistry::candidates(registry_.with_role(Role::mixed),
                                         prefix_affinity_.prefill_window_key(request), scope, mixed_window_);
        for (EndpointState* endpoint : mixed) {
            if (eligibility_.is_eligible(now, *endpoint, request, strictness) &&
                (eligible.empty() || Eligibility::has_capacity(*endpoint)))
                eligible.push_back(endpoint);
        }
        if (!eligible.empty()) break;
    }
    return eligible;
}

// Computes the fraction of each endpoint's memory in use, by this gateway's requests and, as reported, by
// those of other gateways. An endpoint without a recent report gets the mean of the reported fractions.
std::vector<PrefillSelector::LoadedEndpoint> PrefillSelector::compute_loads(
    Millis now, const std::vector<EndpointState*>& eligible) const {
    const auto is_recent = [now](const EndpointState& endpoint) {
        return now - endpoint.load.last_report_at < kRateTimeConstantMs;
    };
    double reported_used_sum = 0;
    double recent_reports = 0;
    for (const EndpointState* endpoint : eligible) {
        if (!is_recent(*endpoint)) continue;
        reported_used_sum += endpoint->load.tokens_used_by_others / registry_.memory_capacity(*endpoint);
        ++recent_reports;
    }
    const double mean_used_by_others = recent_reports > 0 ? reported_used_sum / recent_reports : 0;
    std::vector<LoadedEndpoint> loaded;
    for (EndpointState* endpoint : eligible) {
        const double capacity = registry_.memory_capacity(*endpoint);
        const double used_by_others =
            is_recent(*endpoint) ? endpoint->load.tokens_used_by_others / capacity : mean_used_by_others;
        loaded.push_back({used_by_others + endpoint->load.reserved_tokens / capacity, endpoint});
    }
    return loaded;
}

// Returns the endpoints whose load is within a margin of the lowest load, filtered by zone.
std::vector<EndpointState*> PrefillSelector::within_load_margin(
    const RequestState& request, const std::vector<LoadedEndpoint>& eligible) const {
    double sum = 0;
    double lowest_load = eligible[0].load;
    for (const LoadedEndpoint& candidate : eligible) {
        sum += candidate.load;
        lowest_load = std::min(lowest_load, candidate.load);
    }
    // At a low sample rate few loads are known. The margin is then relative to the mean, as the lowest known
    // load would attract all prompts away from the endpoints that cache their prefixes.
    if (fleet_stats_.low_sample_rate()) lowest_load = sum / static_cast<double>(eligible.size());
    // The margin grows with the work that the prefix cache saves, as an endpoint that does not cache the
    // prefix processes the prompt in full. With a fixed margin an overload would spread the prefixes over
    // more endpoints, which makes prefills longer and sustains the overload.
    const double margin_prompts =
        std::clamp(request.arrival.prompt_tokens / (1000 * uncached_kilotokens(request)),
                   kMinLoadMarginPrompts, kMaxLoadMarginPrompts);
    const double typical_prompt_load =
        fleet_stats_.typical_prompt_tokens() / registry_.memory_capacity(*eligible[0].endpoint);
    std::vector<EndpointState*> within_margin;
    bool own_zone_has_capacity = false;
    for (const auto& [load, endpoint] : eligible) {
        if (load > lowest_load + margin_prompts * typical_prompt_load) continue;
        within_margin.push_back(endpoint);
        // The margin for preferring the own zone is narrower: the zone may have few endpoints, which its
        // gateways would overload.
        own_zone_has_capacity |= endpoint->info.zone == settings_.own_zone &&
                                 load <= lowest_load + kMinLoadMarginPrompts * typical_prompt_load;
    }
    if (own_zone_has_capacity) filter_by_zone(request, eligible, within_margin);
    return within_margin;
}

// Keeps either the endpoints of the own zone or those of the other zones. At a low sample rate, the own zone
// keeps only as many sessions as its share of the endpoints covers, assuming the same load in each zone.
// Prevents overload of a zone with few endpoints while endpoints of other zones are idle.
void PrefillSelector::filter_by_zone(const RequestState& request, const std::vector<LoadedEndpoint>& eligible,
                                     std::vector<EndpointState*>& within_margin) const {
    const int exponent = fleet_stats_.no_load_signal() ? kNoLoadSignalZoneExponent : kZoneExponent;
    double own_zone_weight = 0;
    double total_weight = 0;
    for (const LoadedEndpoint& candidate : eligible) {
        const EndpointState& endpoint = *candidate.endpoint;
        const double endpoint_weight = std::pow(fleet_stats_.prefill_weight(endpoint), exponent);
        total_weight += endpoint_weight;
        own_zone_weight += endpoint.info.zone == settings_.own_zone ? endpoint_weight : 0;
    }
    const double session_fraction = stats::hash_fraction(request.arrival.session, kZoneSalt);
    const bool use_own_zone = !fleet_stats_.low_sample_rate() ||
                              session_fraction * total_weight <= own_zone_weight * settings_.zones;
    const auto not_preferred = [&](const EndpointState* endpoint) {
        return (endpoint->info.zone == settings_.own_zone) != use_own_zone;
    };
    if (!std::all_of(within_margin.begin(), within_margin.end(), not_preferred))
        std::erase_if(within_margin, not_preferred);
}

}  // namespace gorsenotch::router
