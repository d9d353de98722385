// Load shedding: rejects requests on arrival under overload, starting with those of low priority weight and
// those beyond the quota of their tenant.
#pragma once

#include <vector>

#include "gorsenotch/settings.h"
#include "router/completion_times.h"
#include "router/fleet_stats.h"
#include "router/in_flight_requests.h"
#include "router/records.h"
#include "router/resume_allowance.h"
#include "router/wait_estimator.h"

namespace gorsenotch::router {

// Owns this gateway's share of each tenant's quota, as a token bucket, and the allowance of resumed streams.
class LoadShedder {
public:
    // All references must outlive this object.
    LoadShedder(const Settings& settings, const FleetStats& fleet_stats,
                const CompletionTimes& completion_times, WaitEstimator& wait_estimator,
                const InFlightRequests& in_flight_requests);

    // Whether to reject the request, which has just arrived. Counts it against its tenant's quota in either
    // case. Sets RequestState::resume_admitted.
    bool should_shed(Millis now, RequestState& request);

private:
    // The token bucket of a tenant.
    struct Quota {
        double requests_left = 0;
        Millis updated_at = 0;
    };

    bool admits_resumed(Millis now, const RequestState& request);
    bool consume_quota(Millis now, const RequestState& request);
    double quota_burst(const TenantSettings& tenant) const;

    const Settings& settings_;
    const FleetStats& fleet_stats_;
    const CompletionTimes& completion_times_;
    WaitEstimator& wait_estimator_;
    const InFlightRequests& in_flight_requests_;
    ResumeAllowance resume_allowance_;
    double max_priority_weight_ = kMinPriorityWeight;
    std::vector<Quota> quotas_;  // by tenant
};

}  // namespace gorsenotch::router
