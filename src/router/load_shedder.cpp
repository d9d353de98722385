#include "router/load_shedder.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

LoadShedder::LoadShedder(const Settings& settings, const FleetStats& fleet_stats,
                         const CompletionTimes& completion_times, WaitEstimator& wait_estimator,
                         const InFlightRequests& in_flight_requests)
    : settings_(settings),
      fleet_stats_(fleet_stats),
      completion_times_(completion_times),
      wait_estimator_(wait_estimator),
      in_flight_requests_(in_flight_requests),
      resume_allowance_(settings.gateways) {
    for (const ClassSettings& class_settings : settings.classes)
        max_priority_weight_ = std::max(max_priority_weight_, class_settings.priority_weight);
    for (const TenantSettings& tenant : settings.tenants) quotas_.push_back({quota_burst(tenant), 0});
}

// The longer the expected wait relative to the latency objective, the higher the value that a request needs
// to be admitted.
bool LoadShedder::should_shed(Millis now, RequestState& request) {
    double value = class_of(settings_, request).priority_weight / max_priority_weight_;
    if (!consume_quota(now, request)) value *= settings_.over_quota_weight;
    request.resume_admitted = admits_resumed(now, request);
    if (request.resume_admitted) return false;
    if (request.arrival.resumed && settings_.stream_migration) value = 1;
    // The time of the request's own prefill is not queueing. If it counted, long prompts would be shed at any
    // load.
    const double own_kilotokens = uncached_kilotokens(request);
    const Millis ms_per_kilotoken = std::min(completion_times_.low_quantile(Stage::prefill),
                                             completion_times_.mean(Stage::prefill, request));
    const Millis objective = latency_objective(settings_, request);
    const Millis allowed_wait =
        std::max(objective - ms_per_kilotoken * own_kilotokens, kMinWaitObjectiveFraction * objective);
    const Millis queue_wait =
        wait_estimator_.expected_wait(now, request) -
        ms_per_kilotoken * std::min(own_kilotokens, fleet_stats_.typical_uncached_kilotokens());
    // At a low sample rate, the estimate of a gateway that has used one overloaded endpoint may be twice the
    // actual wait; without tolerance it would reject requests while other endpoints are idle. Drawback: late
    // answers where all endpoints are overloaded.
    const double tolerance = fleet_stats_.no_load_signal() ? kNoLoadSignalWaitFactor : 1;
    return queue_wait > tolerance * allowed_wait * (kMinShedThreshold + kShedThresholdRange * value);
}

// Where streams cannot be resumed, the mark of a request means nothing.
bool LoadShedder::admits_resumed(Millis now, const RequestState& request) {
    if (!settings_.stream_migration) return false;
    resume_allowance_.record_streams(now, in_flight_requests_.stream_load());
    return request.arrival.resumed &&
           resume_allowance_.admit(uncached_kilotokens(request), fleet_stats_.typical_uncached_kilotokens());
}

// Takes a token from the tenant's bucket. Returns whether the request is within the quota of its tenant; true
// for a tenant without quota.
bool LoadShedder::consume_quota(Millis now, const RequestState& request) {
    const auto tenant = static_cast<std::size_t>(request.arrival.tenant);
    if (request.arrival.tenant < 0 || tenant >= quotas_.size()) return true;
    const TenantSettings& tenant_settings = settings_.tenants[tenant];
    if (tenant_settings.quota_per_s <= 0) return true;
    Quota& quota = quotas_[tenant];
    const double per_ms = tenant_settings.quota_per_s / settings_.gateways / 1000;
    quota.requests_left =
        std::min(quota_burst(tenant_settings), quota.requests_left + per_ms * (now - quota.updated_at));
    quota.updated_at = now;
    if (quota.requests_left < 1) return false;
    quota.requests_left -= 1;
    return true;
}

double LoadShedder::quota_burst(const TenantSettings& tenant) const {
    return std::max(kMinQuotaBurstRequests, kQuotaBurstSeconds * tenant.quota_per_s / settings_.gateways);
}

}  // namespace gorsenotch::router
