#include "router/slow_start.h"

#include <algorithm>

#include "stats/hash.h"

namespace gorsenotch::router {

// Keeps all gateways together from overloading a warming endpoint. Each gateway sends it a fraction of what
// it sends to the warm peers, so that the sum stays below the limit. A budget of less than one request is
// treated as a probability, drawn once per request and endpoint. If this gateway has ejected many peers, the
// other gateways may have done so too, so the budget is reduced.
bool SlowStart::within_slow_start_budget(Millis now, const EndpointState& endpoint,
                                         const RequestState& request, const FleetStats& fleet_stats) const {
    const Millis warming_for = now - endpoint.warming_since;
    const auto& recent = endpoint.sends.recent;
    const auto in_window = std::upper_bound(recent.begin(), recent.end(), now - settings_.overload_window);
    const auto recent_sends = static_cast<double>(recent.end() - in_window);
    const double progress = warming_for / settings_.slow_start_duration;
    const double capacity = settings_.initial_capacity + (1 - settings_.initial_capacity) * progress;
    const double budget_factor =
        std::min(capacity, kSlowStartBudgetFraction * settings_.overload_factor * settings_.initial_capacity);
    const double baseline_sends = fleet_stats.baseline_rate(endpoint.role) * settings_.overload_window;
    if (settings_.gateways <= kMaxGatewaysAtHighSampleRate)
        return recent_sends + 1 <= std::max(1.0, budget_factor * baseline_sends);
    const double request_fraction = stats::hash_fraction(seed_ + request.serial, endpoint.info.id);
    return recent_sends + request_fraction <
           budget_factor * std::max(fleet_stats.available_fraction(endpoint.role), baseline_sends);
}

void SlowStart::record_send(Millis now, EndpointState& endpoint) const {
    endpoint.sends.rate.add(now);
    auto& recent = endpoint.sends.recent;
    recent.push_back(now);
    while (!recent.empty() && recent.front() <= now - settings_.overload_window) recent.pop_front();
}

}  // namespace gorsenotch::router
