// Outlier detection (passive health checking): ejects endpoints that fail, are unreachable or are slower than
// their peers, and reinstates them after successful trial requests.
#pragma once

#include <map>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/completion_times.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/records.h"
#include "router/request_properties.h"

namespace gorsenotch::router {

// Only this class modifies EndpointState::health, except for the reset after a restart of the endpoint. It
// also begins the slow start of an unreachable endpoint that responds again.
//
// An ejected endpoint gets no requests until its backoff has expired, then one trial request at a time. Each
// success doubles this concurrency limit; when the limit exceeds kMaxTrialConcurrency, the ejection ends. A
// failed trial ejects the endpoint again with twice the backoff. At most about half of the endpoints of a
// role can be ejected for slowness or failed requests.
class OutlierDetector {
public:
    using StagesByEndpoint = std::map<EndpointId, PerStage<bool>>;

    // All references must outlive this object.
    OutlierDetector(const Settings& settings, EndpointRegistry& registry, const FleetStats& fleet_stats,
                    CompletionTimes& completion_times);

    // Whether the health of the endpoint permits sending the request to it.
    bool admits(Millis now, const EndpointState& endpoint, const RequestState& request) const {
        if (now < endpoint.health.rejecting_until) return false;
        if (is_class_ejected(now, endpoint, request)) return false;
        return !endpoint.health.ejected || may_get_trial(now, endpoint);
    }
    // Whether some decode endpoint is reachable or may get a trial request. Prevents prefills for which there
    // is no decode endpoint. An endpoint that is down still gets one trial request at a time.
    bool any_decode_reachable(Millis now) const;

    // Records how the request's attempt at the endpoint ended.
    void record_outcome(Millis now, EndpointState& endpoint, const RequestState& request,
                        const AttemptEnded& ended);
    // Records that the request's attempt at the endpoint has produced its first token.
    void record_first_token(EndpointState& endpoint, const RequestState& request);
    // Adds the last `elapsed` ms of an attempt in flight as evidence of slowness. Returns whether the attempt
    // is delayed: it is streaming, or is older than kDelayedObjectiveFraction of its latency objective.
    bool record_pending(Millis now, EndpointState& endpoint, const RequestState& request, Millis elapsed);
    // Ejects the endpoints that are slow in one of the given stages and returns them.
    std::vector<EndpointState*> eject_slow(Millis now, const StagesByEndpoint& delayed_stages);

private:
    // At a low sample rate, a class does not use an endpoint for kClassEjectionTimeMs after one of its
    // requests failed there; other classes still may. Covers faults that affect a single class and, as
    // samples are too rare for the error rate, failures in general. The number of endpoints is not limited.
    // The time exceeds that of an overload.
    bool is_class_ejected(Millis now, const EndpointState& endpoint, const RequestState& request) const {
        return fleet_stats_.low_sample_rate() &&
               now - endpoint.health.last_class_failure[class_index(request)] < kClassEjectionTimeMs;
    }
    // Precondition: the endpoint is ejected.
    static bool may_get_trial(Millis now, const EndpointState& endpoint) {
        return now >= endpoint.health.ejected_until &&
               endpoint.load.in_flight_total() < endpoint.health.concurrency_limit;
    }
    void record_success(Millis now, EndpointState& endpoint, const RequestState& request,
                        AttemptResult result, bool sent_before_ejection);
    void record_unreachable(Millis now, EndpointState& endpoint, const RequestState& request,
                            bool sent_before_ejection);
    void record_failure(Millis now, EndpointState& endpoint, const RequestState& request,
                        AttemptResult result, bool sent_before_ejection);
    void record_completion(EndpointState& endpoint, const RequestState& request, Stage stage);
    void eject(Millis now, EndpointState& endpoint);
    bool within_max_ejection_fraction(const EndpointState& endpoint, Stage stage) const;

    const Settings& settings_;
    const Millis min_latency_objective_;
    EndpointRegistry& registry_;
    const FleetStats& fleet_stats_;
    CompletionTimes& completion_times_;
};

}  // namespace gorsenotch::router
