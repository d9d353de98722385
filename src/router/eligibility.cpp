#include "router/eligibility.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

Eligibility::Eligibility(const Settings& settings, const EndpointRegistry& registry,
                         const FleetStats& fleet_stats, const SlowStart& slow_start,
                         const OutlierDetector& outlier_detector)
    : settings_(settings),
      registry_(registry),
      fleet_stats_(fleet_stats),
      slow_start_(slow_start),
      outlier_detector_(outlier_detector) {}

bool Eligibility::is_eligible(Millis now, const EndpointState& endpoint, const RequestState& request,
                              Strictness strictness) const {
    if (endpoint.info.status != EndpointStatus::healthy) return false;
    if (!slow_start_.within_budget(now, endpoint, request, fleet_stats_)) return false;
    // A keyed retry must not reach an endpoint that would not recognize it as a duplicate: one outside the
    // dedup scope, or any endpoint if the dedup window may end while the connection is established. Applies
    // to prefills too.
    if (now + settings_.connect_timeout >= retry_deadline(request)) return false;
    if (!within_dedup_scope(endpoint, request)) return false;
    if (strictness == Strictness::relaxed) return true;
    // An endpoint that fails requests quickly has a low load and would be selected again for the same
    // request.
    const auto& failed = request.failed_endpoints;
    if (std::find(failed.begin(), failed.end(), endpoint.info.id) != failed.end()) return false;
    return outlier_detector_.admits(now, endpoint, request);
}

Millis Eligibility::retry_deadline(const RequestState& request) const {
    if (!is_keyed_retry(request)) return kNever;
    return request.possible_run->sent_at + class_of(settings_, request).dedup_window -
           kTransitFraction * settings_.connect_timeout;
}

bool Eligibility::is_keyed_retry(const RequestState& request) const {
    return request.possible_run && class_of(settings_, request).idempotency == Idempotency::with_key;
}

bool Eligibility::within_dedup_scope(const EndpointState& endpoint, const RequestState& request) const {
    if (!is_keyed_retry(request)) return true;
    const EndpointState* ran_on = registry_.find(request.possible_run->endpoint);
    switch (class_of(settings_, request).dedup_scope) {
        case DedupScope::all:
            return true;
        case DedupScope::zone:
            return ran_on && ran_on->info.zone == endpoint.info.zone;
        case DedupScope::cell:
            return ran_on && ran_on->info.cell == endpoint.info.cell;
    }
    return false;
}

}  // namespace gorsenotch::router
