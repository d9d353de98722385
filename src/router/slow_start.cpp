#include "router/slow_start.h"

#include <algorithm>

#include "stats/hash.h"

namespace gorsenotch::router {

// Bounds what a warming endpoint gets from all gateways in sum. Each gateway sends it a fraction of what it
// sends to a warm peer, so that the sum stays below overload_factor times the endpoint's capacity within
// overload_window. With at most kMaxGatewaysAtHighSampleRate gateways, each may send at least one request per
// window. With more, the fractional part of the budget is treated as a probability, drawn once per request
// and endpoint, and a gateway that sends a warm peer less than one request per window counts as if it sent
// one. That floor shrinks with the fraction of the peers that this gateway has ejected, as the other gateways
// may have ejected them too.
bool SlowStart::within_slow_start_budget(Millis now, const EndpointState& endpoint,
                                         const RequestState& request, const FleetStats& fleet_stats) const {
    const Millis warming_for = now - endpoint.warming_since;
    const auto& recent = endpoint.sends.recent;
    const auto in_window = std::upper_bound(recent.begin(), recent.end(), now - settings_.overload_window);
    const auto recent_sends = static_cast<double>(recent.end() - in_window);
    const double progress = warming_for / settings_.slow_start_duration;
    const double capacity_fraction = settings_.initial_capacity + (1 - settings_.initial_capacity) * progress;
    const double budget_fraction = std::min(
        capacity_fraction, kSlowStartBudgetFraction * settings_.overload_factor * settings_.initial_capacity);
    const double baseline_sends = fleet_stats.baseline_rate(endpoint.role) * settings_.overload_window;
    if (settings_.gateways <= kMaxGatewaysAtHighSampleRate)
        return recent_sends + 1 <= std::max(1.0, budget_fraction * baseline_sends);
    const double draw = stats::hash_fraction(seed_ + request.serial, endpoint.info.id);
    return recent_sends + draw <
           budget_fraction * std::max(fleet_stats.available_fraction(endpoint.role), baseline_sends);
}

void SlowStart::record_send(Millis now, EndpointState& endpoint) const {
    endpoint.sends.rate.add(now);
    auto& recent = endpoint.sends.recent;
    recent.push_back(now);
    while (!recent.empty() && recent.front() <= now - settings_.overload_window) recent.pop_front();
}

}  // namespace gorsenotch::router
