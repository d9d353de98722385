#include "router/fleet_stats.h"

#include <algorithm>
#include <cmath>

#include "router/request_properties.h"

namespace gorsenotch::router {

FleetStats::FleetStats(const Settings& settings)
    : settings_(settings), health_interval_(health_interval(settings)) {
    for (const Role role : kRoles) available_fraction_[role] = 1;
}

const Cell& FleetStats::cell(std::uint64_t id) const {
    static const Cell unknown_cell;
    const auto found = cells_.find(id);
    return found == cells_.end() ? unknown_cell : found->second;
}

void FleetStats::record_arrival(const RequestState& request) {
    // The mean of the first arrivals, then an exponential moving average.
    const double weight = static_cast<double>(std::min(request.serial, kTypicalPromptArrivals));
    typical_prompt_tokens_ += (request.arrival.prompt_tokens - typical_prompt_tokens_) / weight;
    typical_uncached_kilotokens_ += (uncached_kilotokens(request) - typical_uncached_kilotokens_) / weight;
}

void FleetStats::record_stage_end(Millis now, const EndpointRegistry& registry, const RequestState& request,
                                  bool succeeded) {
    const AttemptState& attempt = request.attempt;
    const bool is_prefill = attempt.stage == Stage::prefill;
    const EndpointState* prefill_endpoint =
        registry.find(is_prefill ? attempt.endpoint : request.prefill_endpoint);
    const EndpointState* endpoint = registry.find(attempt.endpoint);
    if (!prefill_endpoint || !endpoint) return;
    if (!is_prefill && prefill_endpoint->info.cell == endpoint->info.cell) return;
    Cell& cell = cells_[prefill_endpoint->info.cell];
    // Without a load signal, a stage that did not succeed counts as a full latency objective.
    cell.objective_fraction_sum +=
        succeeded || !no_load_signal()
            ? std::min(1.0, (now - attempt.sent_at) / latency_objective(settings_, request))
            : 1;
    cell.prefills += is_prefill;
}

// In a large fleet the statistics are refreshed only every few ticks, so that the CPU time of an idle gateway
// does not grow with the fleet. Drawback: the baseline rates are a few ticks old.
bool FleetStats::refresh_if_due(Millis now, const EndpointRegistry& registry) {
    if (now < refresh_due_at_) return false;
    refresh(now, registry, now - refreshed_at_);
    refreshed_at_ = now;
    const std::size_t ticks = registry.endpoints().size() / kEndpointsPerStatsTick;
    refresh_due_at_ = now + health_interval_ * (static_cast<double>(ticks) - 0.5);
    return true;
}

void FleetStats::on_list_changed(Millis now, const EndpointRegistry& registry) {
    if (now >= refresh_due_at_) refresh(now, registry, 0);
}

void FleetStats::on_stall(Millis now, Millis stalled_for) {
    refreshed_at_ = std::min(now, refreshed_at_ + stalled_for);
}

void FleetStats::refresh(Millis now, const EndpointRegistry& registry, Millis elapsed) {
    CostsByZone costs = decay_cells(elapsed);
    const RoleCounts counts = count_endpoints(now, registry);
    update_rates(counts, elapsed);
    update_cell_weights(counts, costs);
}

FleetStats::CostsByZone FleetStats::decay_cells(Millis elapsed) {
    const double decay_factor = std::exp(-elapsed / kCompletionTimeConstantMs / 3);
    CostsByZone costs;
    for (auto& [id, cell] : cells_) {
        cell.objective_fraction_sum *= decay_factor;
        cell.prefills *= decay_factor;
        cell.prefill_share = 0;
        cell.decode_share = 0;
        costs.total.objective_fraction_sum += cell.objective_fraction_sum;
        costs.total.prefills += cell.prefills;
        PrefillCost& zone = costs.zones[cell.zone];
        zone.objective_fraction_sum += cell.objective_fraction_sum;
        zone.prefills += cell.prefills;
    }
    return costs;
}

// Counts the endpoints by role, and by cell in the shares of the cell, which are normalized later. The shares
// count all listed endpoints whatever their health, so that all gateways compute the same shares.
FleetStats::RoleCounts FleetStats::count_endpoints(Millis now, const EndpointRegistry& registry) {
    RoleCounts counts;
    for (const auto& [id, endpoint] : registry.endpoints()) {
        if (endpoint.info.status != EndpointStatus::healthy) continue;
        const Role role = endpoint.role;
        ++counts.listed[role];
        Cell& cell = cells_[endpoint.info.cell];
        cell.zone = endpoint.info.zone;
        cell.prefill_share += role == Role::prefill;
        cell.decode_share += endpoint.can_decode();
        if (endpoint.health.ejected) continue;
        ++counts.available[role];
        if (now - endpoint.warming_since < settings_.slow_start_duration) continue;
        ++counts.warm[role];
        counts.send_rate[role] += endpoint.sends.rate.read(now);
    }
    return counts;
}

void FleetStats::update_rates(const RoleCounts& counts, Millis elapsed) {
    for (const Role role : kRoles) {
        baseline_rate_[role] *= std::exp(-elapsed / kCompletionTimeConstantMs / 10);
        if (counts.warm[role] > 0)
            baseline_rate_[role] = std::max(baseline_rate_[role], counts.send_rate[role] / counts.warm[role]);
        if (counts.listed[role] > 0) available_fraction_[role] = counts.available[role] / counts.listed[role];
    }
}

// The weight of a cell increases with its number of decode endpoints and decreases with the fraction of the
// latency objective that its prefills took recently. Prevents overload of single cells and zones.
void FleetStats::update_cell_weights(const RoleCounts& counts, CostsByZone& costs) {
    const double prefill_endpoints = counts.listed[Role::prefill];
    const double decode_endpoints = counts.listed[Role::decode] + counts.listed[Role::mixed];
    const double mean_cost =
        costs.total.prefills > 0 ? costs.total.objective_fraction_sum / costs.total.prefills : 0;
    // A cell without samples gets the cost of its zone, and a zone without samples is assumed to be fast.
    // Otherwise a gateway in an overloaded zone would never try another zone.
    const double assumed_cost = kCellPriorPrefills * std::min(mean_cost, kUnknownZoneObjectiveFraction);
    double total_share = 0;
    for (auto& [id, cell] : cells_) {
        cell.decode_share /= std::max(1.0, decode_endpoints);
        if (cell.prefill_share <= 0) continue;
        const PrefillCost& zone = costs.zones[cell.zone];  // empty for a new zone
        const double zone_cost =
            (zone.objective_fraction_sum + assumed_cost) / (zone.prefills + kCellPriorPrefills);
        const double cell_cost = (cell.objective_fraction_sum + kCellPriorPrefills * zone_cost) /
                                 (cell.prefills + kCellPriorPrefills);
        const double decode_endpoint_factor =
            0.5 + 0.5 * cell.decode_share * prefill_endpoints / cell.prefill_share;
        const double cost_factor =
            (kCellCostOffsetFraction + mean_cost) / (kCellCostOffsetFraction + cell_cost);
        cell.weight = std::clamp(decode_endpoint_factor, 1 / kMaxCellWeightFactor, kMaxCellWeightFactor) *
                      std::clamp(cost_factor, kMinCellCostFactor, kMaxCellCostFactor);
        cell.prefill_share *= cell.weight;
        total_share += cell.prefill_share;
    }
    for (auto& [id, cell] : cells_) cell.prefill_share /= std::max(1e-9, total_share);
}

}  // namespace gorsenotch::router
