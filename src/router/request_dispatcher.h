// The lifecycle of a request: starts its attempts, retries it, and gives its final answer.
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

// Stateless: the state of a request is in its RequestState.
class RequestDispatcher {
public:
    explicit RequestDispatcher(const DispatchServices& services) : services_(services) {}

    // Starts the next stage of a request without an attempt in flight, or ends the request. May destroy the
    // request.
    void dispatch_next_stage(Millis now, RequestState& request);
    // Gives the final answer of the request, unless none is due. May destroy the request.
    void finish_with(Millis now, RequestState& request, EndCause cause);
    // Called when no answer is due any more. Cancels the attempt in flight where that is permitted, or
    // destroys the request if there is none.
    void cancel_or_erase(RequestState& request);
    // Releases the KV lease of a request without an attempt in flight and destroys the request.
    void release_and_erase(RequestState& request);
    // Migrates this gateway's requests off a slow or unresponsive endpoint, within the retry budget.
    void migrate_off(Millis now, const EndpointState& endpoint);

private:
    void start_attempt(Millis now, RequestState& request, EndpointState& endpoint, Stage stage);
    void cancel_attempt(RequestState& request);
    bool would_be_late(Millis now, const RequestState& request, const EndpointState& decode_endpoint) const;
    bool is_safe_to_retry(const RequestState& request) const;

    DispatchServices services_;
};

}  // namespace gorsenotch::router
