#include "router/decode_selector.h"

#include <algorithm>
#include <tuple>

namespace gorsenotch::router {

DecodeSelector::DecodeSelector(const EndpointRegistry& registry, const FleetStats& fleet_stats,
                               const Eligibility& eligibility, const PrefixAffinity& prefix_affinity,
                               const InFlightRequests& in_flight_requests, stats::UniformRandom& random)
    : registry_(registry),
      fleet_stats_(fleet_stats),
      eligibility_(eligibility),
      prefix_affinity_(prefix_affinity),
      in_flight_requests_(in_flight_requests),
      random_(random) {}

EndpointState* DecodeSelector::choose(Millis now, const RequestState& request, SearchScope scope) {
    return registry_.choose_with_fallback(
        scope, [&](SearchScope current_scope) { return choose_in_scope(now, request, current_scope); });
}

EndpointState* DecodeSelector::choose_in_scope(Millis now, const RequestState& request, SearchScope scope) {
    const EndpointState* prefill_endpoint =
        request.has_kv_lease ? registry_.find(request.prefill_endpoint) : nullptr;
    const EndpointRing& ring = registry_.decode_capable();
    const bool windowed = ring.size() > kMaxFullScanEndpoints && scope == SearchScope::window;
    std::uint64_t cell = 0;
    if (windowed && prefill_endpoint) cell = choose_decode_cell(*prefill_endpoint);
    const std::vector<EndpointState*>& candidates =
        EndpointRegistry::candidates(ring, prefix_affinity_.decode_window_key(request), scope, window_);
    if (windowed && prefill_endpoint) add_cell_endpoints(cell);
    const std::vector<QueuedEndpoint> eligible = eligible_endpoints(now, request, candidates);
    if (eligible.empty()) return nullptr;
    if (!windowed && prefill_endpoint) cell = choose_decode_cell(*prefill_endpoint);
    return choose_of_shortest_queues(eligible, prefill_endpoint, cell);
}

std::vector<DecodeSelector::QueuedEndpoint> DecodeSelector::eligible_endpoints(
    Millis now, const RequestState& request, const std::vector<EndpointState*>& candidates) const {
    std::vector<QueuedEndpoint> eligible;
    for (const Strictness strictness : {Strictness::strict, Strictness::relaxed}) {
        const bool strict = strictness == Strictness::strict;
        for (EndpointState* endpoint : candidates) {
            if (!eligibility_.is_eligible(now, *endpoint, request, strictness)) continue;
            if (strict && !Eligibility::has_capacity(*endpoint)) continue;
            const PerStage<int>& in_flight = endpoint->load.in_flight;
            int queued = in_flight[Stage::decode_queued] + in_flight[Stage::prefill];
            if (!strict) queued += in_flight_requests_.count_young_streams(now, *endpoint);
            eligible.push_back({queued, endpoint});
        }
        if (!eligible.empty()) break;
    }
    return eligible;
}

EndpointState* DecodeSelector::choose_of_shortest_queues(const std::vector<QueuedEndpoint>& eligible,
                                                         const EndpointState* prefill_endpoint,
                                                         std::uint64_t cell) {
    struct RankedEndpoint {
        bool in_other_cell;
        int streams;
        double tie_breaker;
        EndpointState* endpoint;
    };
    int shortest = eligible[0].queued;
    for (const QueuedEndpoint& candidate : eligible) shortest = std::min(shortest, candidate.queued);
    std::vector<RankedEndpoint> ranking;
    for (const auto& [queued, endpoint] : eligible) {
        if (queued > shortest + 1) continue;
        const bool in_other_cell = prefill_endpoint && endpoint->info.cell != cell;
        ranking.push_back(
            {in_other_cell, endpoint->load.in_flight[Stage::streaming], random_.next(), endpoint});
    }
    const auto precedes = [](const RankedEndpoint& left, const RankedEndpoint& right) {
        return std::tie(left.in_other_cell, left.streams, left.tie_breaker) <
               std::tie(right.in_other_cell, right.streams, right.tie_breaker);
    };
    return std::min_element(ranking.begin(), ranking.end(), precedes)->endpoint;
}

// A window rarely contains the endpoints of the preferred cell, where the KV-cache transfer is cheapest.
void DecodeSelector::add_cell_endpoints(std::uint64_t cell) {
    for (EndpointState* endpoint : registry_.decode_capable_in(cell)) {
        if (std::find(window_.begin(), window_.end(), endpoint) == window_.end()) window_.push_back(endpoint);
    }
}

// Returns the cell whose decode endpoints are preferred for a KV cache at this prefill endpoint. This is its
// own cell, in as many cases as the cell's share of the decode endpoints covers its prefills. Otherwise a
// cell with spare decode endpoints is drawn at random, where those in the same zone count double. Prevents
// overload of the few decode endpoints in a cell with many prefill endpoints. Drawback: KV-cache
// transfers between cells, which are slow where the links are.
std::uint64_t DecodeSelector::choose_decode_cell(const EndpointState& prefill_endpoint) {
    const std::uint64_t own_cell = prefill_endpoint.info.cell;
    const Cell& own = fleet_stats_.cell(own_cell);
    if (!fleet_stats_.low_sample_rate() || random_.next() * own.prefill_share <= own.decode_share)
        return own_cell;
    const auto spare_decode_share = [&](const Cell& cell) {
        return std::max(0.0, cell.decode_share - cell.prefill_share) *
               (cell.zone == prefill_endpoint.info.zone ? 2 : 1);
    };
    double remaining = 0;
    for (const auto& [id, cell] : fleet_stats_.cells()) remaining += spare_decode_share(cell);
    remaining *= random_.next();
    for (const auto& [id, cell] : fleet_stats_.cells()) {
        remaining -= spare_decode_share(cell);
        if (remaining < 0) return id;
    }
    return own_cell;
}

}  // namespace gorsenotch::router
