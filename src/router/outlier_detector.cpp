#include "router/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsenotch::router {

OutlierDetector::OutlierDetector(const Settings& settings, EndpointRegistry& registry,
                                 const FleetStats& fleet_stats, CompletionTimes& completion_times)
    : settings_(settings),
      min_latency_objective_(min_latency_objective(settings)),
      registry_(registry),
      fleet_stats_(fleet_stats),
      completion_times_(completion_times) {}

bool OutlierDetector::any_decode_reachable(Millis now) const {
    const auto& endpoints = registry_.decode_capable().by_id();
    return std::any_of(endpoints.begin(), endpoints.end(), [now](const EndpointState* endpoint) {
        const EndpointHealth& health = endpoint->health;
        if (!health.ejected || !health.was_unreachable) return true;
        return may_get_trial(now, *endpoint);
    });
}

void OutlierDetector::record_outcome(Millis now, EndpointState& endpoint, const RequestState& request,
                                     const AttemptEnded& ended) {
    EndpointHealth& health = endpoint.health;
    const AttemptState& attempt = request.attempt;
    // An attempt sent before the ejection does not count as a trial request.
    const bool sent_before_ejection = health.ejected && attempt.sent_at < health.ejected_at;
    switch (ended.result) {
        case AttemptResult::served:
        case AttemptResult::prefill_done:
            return record_success(now, endpoint, request, ended.result, sent_before_ejection);
        case AttemptResult::unreachable:
            return record_unreachable(now, endpoint, request, sent_before_ejection);
        case AttemptResult::rejected:
            if (ended.detail != 1)
                health.rejecting_until = now + completion_times_.mean(Stage::decode_queued, request);
            return;
        case AttemptResult::timed_out:
            if (attempt.cancelled) return;
            [[fallthrough]];
        case AttemptResult::reset:
            // An interrupted or corrupted stream may be the network's fault and does not count against the
            // endpoint. If the endpoint is down, the next connection attempt fails.
            if (attempt.stage == Stage::streaming) return;
            [[fallthrough]];
        case AttemptResult::error:
            return record_failure(now, endpoint, request, ended.result, sent_before_ejection);
        case AttemptResult::cancelled:
            if (attempt.cancelled && !attempt.spans_gateway_stall)
                health.last_class_failure[class_index(request)] = now;
            return;
        case AttemptResult::not_sent:
            return;
    }
}

void OutlierDetector::record_success(Millis now, EndpointState& endpoint, const RequestState& request,
                                     AttemptResult result, bool sent_before_ejection) {
    EndpointHealth& health = endpoint.health;
    health.last_success = now;
    health.last_class_failure[class_index(request)] = -kNever;
    health.connect_failed = false;
    if (result == AttemptResult::prefill_done) record_completion(endpoint, request, Stage::prefill);
    if (request.attempt.stage == Stage::streaming) record_completion(endpoint, request, Stage::streaming);
    health.error_rate *= 1 - kErrorRateSmoothingFactor;
    if (!health.ejected || sent_before_ejection) return;
    if (health.was_unreachable) {
        endpoint.warming_since = now;
        health.was_unreachable = false;
    }
    health.concurrency_limit *= 2;
    if (health.concurrency_limit > kMaxTrialConcurrency) {
        health.ejected = false;
        health.ejection_backoff = 0;
    }
}

// A single failed connection does not eject an endpoint, as its return would count as a restart and begin a
// slow start. If the endpoint is down, the next connection fails too. Covers connections that are reset while
// being established. Drawback: one more attempt, or one more connect timeout, at an endpoint that is down.
void OutlierDetector::record_unreachable(Millis now, EndpointState& endpoint, const RequestState& request,
                                         bool sent_before_ejection) {
    EndpointHealth& health = endpoint.health;
    health.last_class_failure[class_index(request)] = now;
    const bool failed_before = std::exchange(health.connect_failed, true);
    if (!failed_before && !health.ejected) return;
    health.was_unreachable = true;
    if (!sent_before_ejection) eject(now, endpoint);
}

void OutlierDetector::record_failure(Millis now, EndpointState& endpoint, const RequestState& request,
                                     AttemptResult result, bool sent_before_ejection) {
    EndpointHealth& health = endpoint.health;
    health.last_class_failure[class_index(request)] = now;
    if (sent_before_ejection) return;
    health.error_rate += kErrorRateSmoothingFactor * (result == AttemptResult::reset ? kResetWeight : 1) *
                         (1 - health.error_rate);
    // At a low sample rate a single failure ejects, as a second one would come too late to confirm it.
    const bool failing = health.error_rate > kErrorRateThreshold || fleet_stats_.low_sample_rate();
    if (health.ejected || (failing && within_max_ejection_fraction(endpoint, Stage::prefill)))
        eject(now, endpoint);
}

void OutlierDetector::record_first_token(EndpointState& endpoint, const RequestState& request) {
    endpoint.health.last_class_failure[class_index(request)] = -kNever;
    record_completion(endpoint, request, Stage::decode_queued);
}

// A completed stage is evidence against slowness of the endpoint.
void OutlierDetector::record_completion(EndpointState& endpoint, const RequestState& request, Stage stage) {
    double& evidence = endpoint.health.slowness_evidence[stage];
    evidence = std::max(0.0, evidence - std::log(kSlowFactor));
    if (!endpoint.health.ejected) completion_times_.add_completion(stage, request);
}

bool OutlierDetector::record_pending(Millis now, EndpointState& endpoint, const RequestState& request,
                                     Millis elapsed) {
    const AttemptState& attempt = request.attempt;
    const Stage stage = attempt.stage;
    const Millis expected = completion_times_.expected(stage, request);
    const Millis age = now - (stage == Stage::streaming ? attempt.stream_started_at : attempt.sent_at);
    // A stream that is much older than expected indicates a long answer rather than a slow endpoint.
    if (age < 3 * expected || stage != Stage::streaming) {
        double& evidence = endpoint.health.slowness_evidence[stage];
        evidence = std::min(2 * kSlownessThreshold, evidence + elapsed / expected * (1 - 1 / kSlowFactor));
    }
    if (!endpoint.health.ejected) completion_times_.add_time(stage, request, elapsed / attempt.work_units);
    return stage == Stage::streaming ||
           age > kDelayedObjectiveFraction * latency_objective(settings_, request);
}

std::vector<EndpointState*> OutlierDetector::eject_slow(Millis now, const StagesByEndpoint& delayed_stages) {
    std::vector<EndpointState*> slow;
    for (const auto& entry : delayed_stages) {
        EndpointState& endpoint = *registry_.find(entry.first);
        const PerStage<bool>& delayed = entry.second;
        const bool is_slow = std::any_of(kStages.begin(), kStages.end(), [&](Stage stage) {
            return endpoint.health.slowness_evidence[stage] >= kSlownessThreshold && delayed[stage] &&
                   within_max_ejection_fraction(endpoint, stage);
        });
        if (is_slow) slow.push_back(&endpoint);
    }
    for (EndpointState* endpoint : slow) eject(now, *endpoint);
    return slow;
}

void OutlierDetector::eject(Millis now, EndpointState& endpoint) {
    EndpointHealth& health = endpoint.health;
    // A failed trial request at an unreachable endpoint costs little, one at a slow endpoint causes a late
    // answer. With many gateways the trial requests add up, so the backoff is longer at a low sample rate.
    const bool low_sample_rate = fleet_stats_.low_sample_rate();
    const Millis max_backoff = (health.was_unreachable && !low_sample_rate ? 2 : 8) * min_latency_objective_;
    const Millis min_backoff = low_sample_rate ? max_backoff : min_latency_objective_;
    health.ejection_backoff = std::clamp(2 * health.ejection_backoff, min_backoff, max_backoff);
    health.ejected = true;
    health.ejected_at = now;
    health.ejected_until = now + health.ejection_backoff;
    health.concurrency_limit = 1;
    health.error_rate = 0;
    health.slowness_evidence = {};
}

// Overload slows down all endpoints, so at most about half of the endpoints of a role may be ejected for
// slowness or failures.
bool OutlierDetector::within_max_ejection_fraction(const EndpointState& endpoint, Stage stage) const {
    int peers = 0;
    int outliers = 0;
    for (const auto& [id, peer] : registry_.endpoints()) {
        if (peer.role != endpoint.role || peer.info.status != EndpointStatus::healthy) continue;
        ++peers;
        outliers += peer.health.ejected || peer.health.slowness_evidence[stage] >= kSlownessThreshold / 2;
    }
    return 2 * outliers <= peers;
}

}  // namespace gorsenotch::router
