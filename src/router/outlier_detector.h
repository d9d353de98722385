// Passive health checking: ejects endpoints that fail, are unreachable or slower than their peers, and lets
// them return by trial requests.
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

// The only one to change EndpointState::health, except for the reset of a restarted endpoint. Also ends the
// ejection of an endpoint and starts its slow start when it is reachable again.
//
// An ejected endpoint gets no requests until its backoff has passed, then one trial request at a time; each
// success doubles that limit, and beyond kMaxTrialConcurrency the ejection ends. A failed trial ejects it
// again with twice the backoff. Of a role at most about half can be ejected for slowness or failed requests.
class OutlierDetector {
public:
    using StagesByEndpoint = std::map<EndpointId, PerStage<bool>>;

    // All references must outlive this object.
    OutlierDetector(const Settings& settings, EndpointRegistry& registry, const FleetStats& fleet_stats,
                    CompletionTimes& completion_times);

    // Whether the endpoint's health permits to send it the request.
    bool admits(Millis now, const EndpointState& endpoint, const RequestState& request) const {
        if (now < endpoint.health.rejecting_until) return false;
        if (is_class_ejected(now, endpoint, request)) return false;
        return !endpoint.health.ejected || may_get_trial(now, endpoint);
    }
    // Whether a decode endpoint is reachable, or may be tried. Guards against prefills that no endpoint can
    // continue: each one that is down gets one trial request at a time.
    bool any_decode_reachable(Millis now) const;

    // Records how the request's attempt at the endpoint ended.
    void record_outcome(Millis now, EndpointState& endpoint, const RequestState& request,
                        const AttemptEnded& ended);
    void record_first_token(EndpointState& endpoint, const RequestState& request);
    // Adds the evidence of an attempt in flight over the last `elapsed` ms: its age speaks for slowness.
    // Returns whether the attempt is delayed: it streams, or has used much of its latency objective.
    bool record_pending(Millis now, EndpointState& endpoint, const RequestState& request, Millis elapsed);
    // Ejects the endpoints that are slow in one of the given stages, and returns them.
    std::vector<EndpointState*> eject_slow(Millis now, const StagesByEndpoint& delayed_stages);

private:
    // An endpoint that failed a class may serve the others. Guards against one class that gets no answer and,
    // where samples are too rare for the error rate, against failures in general, of any number of endpoints.
    // Lasts longer than an overload.
    bool is_class_ejected(Millis now, const EndpointState& endpoint, const RequestState& request) const {
        return fleet_stats_.low_sample_rate() &&
               now - endpoint.health.last_class_failure[class_index(request)] < kClassEjectionTimeMs;
    }
    // Of an ejected endpoint.
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
