// The course of a request: sends its attempts, retries it, and gives it its final answer.
#pragma once

#include "gorsenotch/actions.h"
#include "gorsenotch/settings.h"
#include "router/action_list.h"
#include "router/attempt_timeout.h"
#include "router/completion_times.h"
#include "router/decode_selector.h"
#include "router/eligibility.h"
#include "router/in_flight_requests.h"
#include "router/prefill_selector.h"
#include "router/retry_budget.h"
#include "router/slow_start.h"
#include "router/wait_estimator.h"

namespace gorsenotch::router {

// The components that a RequestDispatcher uses. All must outlive it.
struct DispatchServices {
    const Settings& settings;
    const CompletionTimes& completion_times;
    const Eligibility& eligibility;
    const SlowStart& slow_start;
    const AttemptTimeout& attempt_timeout;
    PrefillSelector& prefill_selector;
    DecodeSelector& decode_selector;
    WaitEstimator& wait_estimator;
    InFlightRequests& in_flight_requests;
    RetryBudget& retry_budget;
    ActionList& actions;
};

// Owns no state.
class RequestDispatcher {
public:
    explicit RequestDispatcher(const DispatchServices& services) : services_(services) {}

    // Sends a request without an attempt in flight to its next stage, or ends it. The request may be
    // destroyed.
    void dispatch_next_stage(Millis now, RequestState& request);
    // Gives the request its final answer, unless none is due. The request may be destroyed.
    void finish_with(Millis now, RequestState& request, EndCause cause);
    // No answer is due any more: stops the attempt in flight, or else destroys the request.
    void cancel_or_erase(RequestState& request);
    // Releases what is held for a request without an attempt in flight, and destroys it.
    void release_and_erase(RequestState& request);
    // Moves own requests off an endpoint that is slow or silent, within the retry budget.
    void migrate_off(Millis now, const EndpointState& endpoint);

private:
    void start_attempt(Millis now, RequestState& request, EndpointState& endpoint, Stage stage);
    void cancel_attempt(RequestState& request);
    bool would_be_late(Millis now, const RequestState& request, const EndpointState& decode_endpoint) const;
    bool is_safe_to_retry(const RequestState& request) const;

    DispatchServices services_;
};

}  // namespace gorsenotch::router
