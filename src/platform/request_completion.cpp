#include "platform/request_completion.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::platform {
namespace {

constexpr int kStatusUnavailable = 503;

RequestOutcome outcome_without_answer(const RequestState& request, int status) {
    if (request.stream_begun()) return RequestOutcome::broken;
    if (status != kStatusUnavailable) return RequestOutcome::failed;
    return request.attempts.empty() ? RequestOutcome::rejected_unsent : RequestOutcome::rejected;
}

// Nothing for a complete stream, whose outcome depends on its times.
std::optional<RequestOutcome> outcome_of_stream(StreamEnd end) {
    if (end == StreamEnd::complete) return std::nullopt;
    return end == StreamEnd::no_end_marker ? RequestOutcome::incomplete : RequestOutcome::broken;
}

AttemptRecord to_record(const AttemptState& attempt, Millis arrived) {
    AttemptRecord record;
    record.is_prefill = attempt.is_prefill;
    record.in_flight = attempt.in_flight();
    record.result = attempt.result;
    record.started_at = attempt.started_at - arrived;
    record.ended_at = attempt.ended_at - arrived;
    return record;
}

}  // namespace

RequestCompletion::RequestCompletion(LifecycleContext& context, LeaseManager& lease_keeper)
    : context_(context), lease_keeper_(lease_keeper), access_log_(context.named.settings) {}

void RequestCompletion::send_final(RequestState& request, const FinalAnswer& answer) {
    if (request.closed) return;
    log_request(request, outcome_without_answer(request, answer.status), answer.cause);
    Client* client = close(request);
    if (!client) return;
    if (request.stream_begun()) return client->abort_stream();
    context_.invariant_checker.on_answered(request.handle, answer.status == kStatusUnavailable,
                                           context_.environment.now());
    client->send_final(answer.status, answer.retry_after, answer.text);
}

void RequestCompletion::finish_stream(RequestState& request, const AttemptOutcome& ended) {
    const bool served = ended.result == AttemptResult::served;
    const Millis last_event = request.attempts.back().last_event_at - request.arrived;
    log_request(request, outcome_of_stream(ended.stream_end), std::nullopt,
                StreamRecord{ended.stream_end, ended.events, ended.bytes, last_event});
    Client* client = close(request);
    ++(served ? context_.counters.served : context_.counters.broken);
    if (!client) return;
    if (served)
        client->finish_stream();
    else
        client->abort_stream();
}

void RequestCompletion::abort_migrated_stream(RequestState& request) {
    ++context_.counters.migrated;
    log_request(request, RequestOutcome::migrated);
    if (Client* client = close(request)) client->abort_stream();
}

void RequestCompletion::record_client_disconnect(RequestState& request) {
    ++context_.counters.client_disconnected;
    context_.invariant_checker.on_client_disconnected(request.handle);
    log_request(request, RequestOutcome::client_disconnected);
    close(request);
}

// Marks the request as closed; its record stays while attempts are in flight. Returns the client of the
// request, for the final call to it.
Client* RequestCompletion::close(RequestState& request) {
    Client* client = std::exchange(request.client, nullptr);
    request.closed = true;
    request.body.reset();
    revisit_when_idle(request.handle);
    return client;
}

void RequestCompletion::log_request(const RequestState& request, std::optional<RequestOutcome> outcome,
                                    std::optional<EndCause> cause, std::optional<StreamRecord> stream) {
    RequestRecord record;
    record.txn = request.inbound.txn;
    record.cls = request.inbound.arrival.cls;
    record.prompt_tokens = request.inbound.arrival.prompt_tokens;
    record.completion_tokens = request.completion_tokens;
    record.cause = cause;
    record.stream = stream;
    if (request.leases.is_held()) record.lease = lease_keeper_.describe(request);
    if (request.stream_begun_at) record.first_token = *request.stream_begun_at - request.arrived;
    record.ended = context_.environment.now() - request.arrived;
    for (const AttemptState& attempt : request.attempts)
        record.attempts.push_back(to_record(attempt, request.arrived));
    const RequestOutcome final_outcome = outcome ? *outcome : access_log_.classify_served(record);
    if (!access_log_.count_outcome(context_.environment.now(), final_outcome, cause)) return;
    for (std::size_t i = 0; i < record.attempts.size(); ++i)
        record.attempts[i].endpoint = context_.endpoint_name(request.attempts[i].endpoint);
    context_.environment.log("info", "request", access_log_.format_line(record, final_outcome));
}

void RequestCompletion::remove_ended() {
    // The list may grow when a release is started.
    for (std::size_t i = 0; i < to_revisit_.size(); ++i) {
        RequestState* request = context_.requests.find(to_revisit_[i]);
        if (!request || request->attempt_in_flight()) continue;
        lease_keeper_.release(*request, ReleaseReason::request_over);
        if (request->closed) remove(*request);
    }
    to_revisit_.clear();
}

// Guards against an effect that happens twice as the request comes again under its id.
void RequestCompletion::record_execution(const RequestState& request) {
    const auto cls = static_cast<std::size_t>(request.inbound.arrival.cls);
    if (context_.named.settings.classes[cls].idempotency == Idempotency::idempotent) return;
    const bool may_have_run = std::any_of(
        request.attempts.begin(), request.attempts.end(),
        [](const AttemptState& attempt) { return !attempt.is_prefill && !never_ran(attempt.result); });
    if (may_have_run) context_.executed_requests.add(context_.environment.now(), request.inbound.txn);
}

void RequestCompletion::remove(RequestState& request) {
    record_execution(request);
    lease_keeper_.abandon_reservation(request);
    if (!lease_keeper_.release_in_progress(request))
        context_.health_checker.on_request_ended(request.inbound.txn);
    context_.driver.cancel_timers(request);
    context_.invariant_checker.drop_request(request.handle);
    context_.requests.remove(request.handle);
}

}  // namespace gorsenotch::platform
