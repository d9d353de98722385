#include "router/request_dispatcher.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

void RequestDispatcher::dispatch_next_stage(Millis now, RequestState& request) {
    const Settings& settings = services_.settings;
    if (request.arrival.deadline <= now) return finish_with(now, request, EndCause::deadline);
    if (request.attempt_count >= settings.max_attempts)
        return finish_with(now, request, EndCause::attempts_exhausted);
    if (request.possible_run && class_of(settings, request).idempotency == Idempotency::unsafe)
        return finish_with(now, request, EndCause::may_have_run);
    // Every attempt beyond one prefill and one decode is a retry.
    if (request.attempt_count > (request.has_kv_lease ? 1 : 0)) {
        if (!services_.retry_budget.available()) return finish_with(now, request, EndCause::retry_budget);
        services_.retry_budget.spend();
    }
    EndpointState* prefill_endpoint =
        request.has_kv_lease ? nullptr : services_.prefill_selector.choose(now, request);
    if (prefill_endpoint) return start_attempt(now, request, *prefill_endpoint, Stage::prefill);
    EndpointState* decode_endpoint = request.has_kv_lease || settings.local_prefill
                                         ? services_.decode_selector.choose(now, request)
                                         : nullptr;
    if (!decode_endpoint) return finish_with(now, request, EndCause::no_endpoint);
    if (would_be_late(now, request, *decode_endpoint))
        return finish_with(now, request, EndCause::decode_too_late);
    start_attempt(now, request, *decode_endpoint, Stage::decode_queued);
}

// Late answers have little value, so while other requests wait, a prefilled request that would miss its
// latency objective is ended instead of occupying a decode endpoint. Drawback: rejects requests whose late
// answers would be valuable.
bool RequestDispatcher::would_be_late(Millis now, const RequestState& request,
                                      const EndpointState& decode_endpoint) const {
    const int queued = decode_endpoint.load.in_flight[Stage::decode_queued];
    if (!request.has_kv_lease || request.resume_admitted || queued <= 1) return false;
    const Millis per_request = services_.completion_times.mean(Stage::decode_queued, request);
    return now - request.arrived_at + per_request * (queued + 1) >
           latency_objective(services_.settings, request);
}

void RequestDispatcher::start_attempt(Millis now, RequestState& request, EndpointState& endpoint,
                                      Stage stage) {
    services_.in_flight_requests.begin_attempt(now, request, endpoint, stage);
    services_.slow_start.record_send(now, endpoint);
    const Millis send_by = std::min(request.arrival.deadline, services_.eligibility.retry_deadline(request));
    services_.actions.emit(StartAttempt{request.arrival.request, endpoint.info.id,
                                        services_.attempt_timeout.compute(now, request), send_by});
}

void RequestDispatcher::finish_with(Millis now, RequestState& request, EndCause cause) {
    if (request.closed) return;
    if (is_safe_to_retry(request)) {
        const Settings& settings = services_.settings;
        const Millis retry_after =
            settings.retry_after
                ? std::min(settings.max_retry_after, services_.wait_estimator.expected_wait(now, request))
                : 0;
        services_.actions.emit(Reject{request.arrival.request, retry_after, cause});
    } else {
        services_.actions.emit(Fail{request.arrival.request, cause});
    }
    request.answered = true;
    request.closed = true;
    cancel_or_erase(request);
}

// An attempt in flight may run, even if it is a prefill.
bool RequestDispatcher::is_safe_to_retry(const RequestState& request) const {
    const ClassSettings& class_settings = class_of(services_.settings, request);
    if (!request.possible_run && !request.attempt.in_flight) return true;
    switch (class_settings.idempotency) {
        case Idempotency::idempotent:
            return true;
        case Idempotency::with_key:
            return class_settings.dedup_scope == DedupScope::all;
        case Idempotency::unsafe:
            return false;
    }
    return false;
}

void RequestDispatcher::cancel_or_erase(RequestState& request) {
    if (!request.attempt.in_flight) return release_and_erase(request);
    if (services_.settings.cancellation && !request.attempt.cancelled &&
        request.attempt.stage != Stage::streaming)
        cancel_attempt(request);
}

void RequestDispatcher::release_and_erase(RequestState& request) {
    if (request.attempt_count > 0 && request.attempt.stage != Stage::streaming)
        services_.actions.emit(ReleaseLease{request.arrival.request});
    services_.in_flight_requests.erase(request);
}

void RequestDispatcher::cancel_attempt(RequestState& request) {
    request.attempt.cancelled = true;
    services_.actions.emit(StopAttempt{request.arrival.request, request.attempt_count - 1});
}

void RequestDispatcher::migrate_off(Millis now, const EndpointState& endpoint) {
    const Settings& settings = services_.settings;
    for (auto& [id, request] : services_.in_flight_requests.by_id()) {
        AttemptState& attempt = request.attempt;
        if (!attempt.in_flight || attempt.cancelled || attempt.endpoint != endpoint.info.id) continue;
        if (!services_.retry_budget.available()) continue;
        // A migrated prefill loses its work. At a slow endpoint it is migrated only while it can still meet
        // its latency objective, at an unresponsive endpoint always.
        const Millis latest = kMigratableObjectiveFraction * latency_objective(settings, request);
        if (attempt.stage == Stage::prefill && endpoint.health.last_success >= attempt.sent_at &&
            now - attempt.sent_at > latest)
            continue;
        if (attempt.stage == Stage::streaming) {
            if (!settings.stream_migration) continue;
            services_.retry_budget.spend();
            attempt.cancelled = true;
            services_.actions.emit(MigrateStream{id});
        } else if (settings.cancellation && !request.closed &&
                   request.attempt_count < settings.max_attempts - 1) {
            cancel_attempt(request);
        }
    }
}

}  // namespace gorsenotch::router
