#include "platform/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "control/attempt_clock.h"
#include "control/send_preconditions.h"

namespace gorsenotch::platform {
namespace {

// Reserved for the headers that are added to the client's own.
constexpr std::size_t kAddedHeaderBytes = 128;

}  // namespace

AttemptRunner::AttemptRunner(LifecycleContext& context, LeaseManager& lease_keeper,
                             RequestCompletion& completion, StreamForwarder& streams)
    : context_(context), lease_keeper_(lease_keeper), completion_(completion), streams_(streams) {
    lease_keeper_.on_prefill_ready = [this](std::uint64_t handle, int index) {
        send_deferred({handle, index});
    };
}

Role AttemptRunner::role_of(const Endpoint& endpoint) const {
    return context_.named.settings.kinds[static_cast<std::size_t>(endpoint.kind)].role;
}

// Guards against sending an attempt that has become invalid while its connection was being established: the
// client has disconnected (its FIN may still be unread), the request was answered, the endpoint is draining,
// or the deadline or the dedup window has passed. Covers every wait between the Router's decision and the
// first byte, at the cost of one system call per check.
bool AttemptRunner::may_send(const SendConditions& conditions) {
    RequestState* request = context_.requests.find(conditions.handle);
    control::SendPreconditions preconditions;
    preconditions.request_over = !request || request->closed;
    preconditions.client_disconnected =
        !preconditions.request_over && request->client && request->client->has_disconnected();
    preconditions.endpoint_status = context_.endpoint_status(conditions.endpoint);
    preconditions.now = context_.environment.now();
    preconditions.send_by = conditions.send_by;
    preconditions.lease_released =
        conditions.reads_kv_cache && request && request->leases.released_since(conditions.decided_at);
    preconditions.deadline = request ? request->deadline : 0;
    const auto block_reason = control::check_send(preconditions);
    if (!block_reason) return true;
    ++context_.counters.send_blocks[static_cast<std::size_t>(*block_reason)];
    if (*block_reason == control::SendBlockReason::client_disconnected)
        completion_.record_client_disconnect(*request);
    return false;
}

// ---- start ----------------------------------------------------------------------------------------------

void AttemptRunner::start(const StartAttempt& start) {
    RequestState* request = context_.requests.find(start.request);
    if (!request) return;
    const Millis now = context_.environment.now();
    const AttemptKey key{request->handle, static_cast<int>(request->attempts.size())};
    const DiscoveredEndpoint* endpoint = context_.endpoints.find(start.endpoint);
    AttemptState attempt;
    attempt.endpoint = start.endpoint;
    attempt.send_by = start.send_by;
    attempt.started_at = now;
    attempt.last_event_at = now;
    attempt.clock = context_.driver.start_clock(start.timeout, request->deadline);
    SendConditions conditions{request->handle, start.endpoint, start.send_by, now, false};
    if (!may_send(conditions)) return end_unsent(*request, std::move(attempt));
    attempt.is_prefill = role_of(endpoint->endpoint) == Role::prefill;
    attempt.exchange = std::make_shared<UpstreamExchange>(
        attempt.is_prefill ? UpstreamExchange::Kind::prefill : UpstreamExchange::Kind::decode,
        request->inbound.memory.sibling(control::MemoryUse::response));
    conditions.reads_kv_cache = !attempt.is_prefill && request->leases.is_held();
    attempt.exchange->on_ended = [this, key](const AttemptOutcome& outcome) { on_ended(key, outcome); };
    const bool is_prefill = attempt.is_prefill;
    ++context_.counters.attempts;
    ++context_.attempts_in_flight;
    request->attempts.push_back(std::move(attempt));
    if (is_prefill && lease_keeper_.defer_prefill(*request, key.index)) return;
    send(*request, key, conditions);
}

void AttemptRunner::send(RequestState& request, AttemptKey key, SendConditions conditions) {
    AttemptState& attempt = *request.find_attempt(key.index);
    const DiscoveredEndpoint& endpoint = *context_.endpoints.find(attempt.endpoint);
    const std::shared_ptr<UpstreamExchange> exchange = attempt.exchange;
    exchange->may_start_hook = [this, conditions] { return may_send(conditions); };
    attach_hooks(*exchange, key, endpoint.endpoint, attempt.started_at);
    lease_keeper_.on_attempt_begun(request, attempt);
    // Guards against announcing more time to the endpoint than remains: connecting may take long.
    exchange->stamp_hook = [this, key, position = request.inbound.head.size()](std::string& head) {
        insert_remaining_time(key, position, head);
    };
    const std::string address = endpoint.dial_address;
    proxy::OutboundRequest outbound = compose_request(request, address);
    context_.driver.set_timer(TimerKind::attempt_timeout, attempt.clock.timeout_at(), &request, key.index, 0,
                              true);
    context_.environment.start_exchange(address, std::move(outbound), exchange);
}

void AttemptRunner::send_deferred(AttemptKey key) {
    context_.driver.handle_stalls();
    RequestState* request = context_.requests.find(key.handle);
    AttemptState* attempt = context_.requests.find_attempt(key.handle, key.index);
    if (!attempt || !attempt->in_flight()) return;
    const Millis now = context_.environment.now();
    const SendConditions conditions{key.handle, attempt->endpoint, attempt->send_by, now, false};
    if (!may_send(conditions)) return give_up(*request, key.index, AttemptResult::not_sent);
    attempt->started_at = now;
    attempt->last_event_at = now;
    attempt->clock = context_.driver.start_clock(attempt->clock.timeout, request->deadline);
    send(*request, key, conditions);
}

void AttemptRunner::end_unsent(RequestState& request, AttemptState attempt) {
    AttemptEnded ended;
    ended.request = request.router_id();
    ended.attempt = static_cast<int>(request.attempts.size());
    ended.endpoint = attempt.endpoint;
    ended.result = AttemptResult::not_sent;
    ended.request_closed = request.closed;
    attempt.phase = AttemptPhase::ended;
    request.attempts.push_back(std::move(attempt));
    ++context_.counters.of(ended.result);
    context_.driver.feed(std::move(ended));
}

void AttemptRunner::attach_hooks(UpstreamExchange& exchange, AttemptKey key, const Endpoint& endpoint,
                                 Millis sent) {
    exchange.on_sent = [this, key, endpoint] {
        context_.invariant_checker.on_attempt_sent(key.handle, key.index, endpoint, role_of(endpoint),
                                                   context_.environment.now());
    };
    exchange.on_written = [this, key] { on_request_written(key); };
    exchange.on_first_byte = [this, key, id = endpoint.id, sent] { on_first_byte(key, id, sent); };
    exchange.on_first_event = [this, key](std::string_view events) {
        streams_.on_first_event(key.handle, key.index, events);
    };
    exchange.on_more_events = [this, key](std::string_view events) {
        streams_.on_more_events(key.handle, key.index, events);
    };
}

proxy::OutboundRequest AttemptRunner::compose_request(const RequestState& request,
                                                      const std::string& address) const {
    const std::string& forwarded = request.inbound.head;
    std::string head;
    head.reserve(forwarded.size() + kAddedHeaderBytes);
    head.append(forwarded);
    head.append("host: ").append(address).append("\r\n");
    head.append("content-length: ").append(std::to_string(request.body->text.size())).append("\r\n\r\n");
    // The text keeps the body, and with it the charge for its memory.
    return {std::move(head), {request.body, &request.body->text}};
}

void AttemptRunner::insert_remaining_time(AttemptKey key, std::size_t position, std::string& head) {
    const AttemptState* attempt = context_.requests.find_attempt(key.handle, key.index);
    if (!attempt) return;
    const control::AttemptClock& clock = attempt->clock;
    Millis until = clock.request_deadline;
    if (clock.timeout > 0) until = std::min(clock.sent_at + clock.timeout, until);
    const auto left = static_cast<long long>(std::max(1.0, until - context_.environment.now()));
    head.insert(position, "x-remaining: " + std::to_string(left) + "m\r\n");
}

// ---- progress -------------------------------------------------------------------------------------------

void AttemptRunner::on_request_written(AttemptKey key) {
    RequestState* request = context_.requests.find(key.handle);
    AttemptState* attempt = context_.requests.find_attempt(key.handle, key.index);
    if (!attempt) return;
    context_.driver.on_request_written(attempt->clock);
    lease_keeper_.on_request_written(*request, *attempt);
}

void AttemptRunner::on_first_byte(AttemptKey key, EndpointId endpoint, Millis sent) {
    context_.health_checker.on_answered(endpoint, sent);
    context_.invariant_checker.on_endpoint_answered(context_.environment.now());
    RequestState* request = context_.requests.find(key.handle);
    if (!request) return;
    lease_keeper_.on_attempt_answered(*request);
    if (!request->attempts.back().is_prefill) context_.invariant_checker.on_decode_answered(key.handle);
}

void AttemptRunner::stop(const StopAttempt& stop) {
    RequestState* request = context_.requests.find(stop.request);
    const AttemptState* attempt = request ? request->find_attempt(stop.attempt) : nullptr;
    if (attempt && attempt->phase == AttemptPhase::awaiting_response)
        give_up(*request, stop.attempt, AttemptResult::cancelled);
}

void AttemptRunner::on_timeout(RequestState& request, int attempt_index) {
    AttemptState& attempt = *request.find_attempt(attempt_index);
    if (attempt.phase != AttemptPhase::awaiting_response) return;
    if (!context_.driver.has_expired(attempt.clock))
        return context_.driver.set_timer(TimerKind::attempt_timeout, attempt.clock.timeout_at(), &request,
                                         attempt_index, 0, true);
    const bool endpoint_at_fault = attempt.clock.endpoint_at_fault();
    give_up(request, attempt_index, endpoint_at_fault ? AttemptResult::timed_out : AttemptResult::cancelled);
}

void AttemptRunner::give_up(RequestState& request, int attempt_index, AttemptResult result) {
    const std::shared_ptr<UpstreamExchange> exchange = request.find_attempt(attempt_index)->exchange;
    const bool unsent = request.deferred_prefill && request.deferred_prefill->attempt == attempt_index;
    lease_keeper_.end_sending(request, *exchange);
    exchange->abort(unsent ? AttemptResult::not_sent : result);
}

// ---- end ------------------------------------------------------------------------------------------------

void AttemptRunner::on_ended(AttemptKey key, const AttemptOutcome& outcome) {
    context_.driver.handle_stalls();
    RequestState* request = context_.requests.find(key.handle);
    AttemptState* attempt = context_.requests.find_attempt(key.handle, key.index);
    if (!attempt || !attempt->in_flight()) return;
    attempt->mark_ended();
    --context_.attempts_in_flight;
    ++context_.counters.of(outcome.result);
    if (outcome.stream_begun) ++context_.counters.stream_ends[static_cast<std::size_t>(outcome.stream_end)];
    if (outcome.too_long) ++context_.counters.responses_too_long;
    report_to_invariant_checker(key, *attempt, outcome);
    attempt->ended_at = context_.environment.now();
    attempt->result = outcome.result;
    record_endpoint_evidence(*attempt, outcome);
    lease_keeper_.on_attempt_ended(*request, *attempt, outcome);
    AttemptEnded ended;
    ended.request = request->router_id();
    ended.attempt = key.index;
    ended.endpoint = attempt->endpoint;
    ended.result = outcome.result;
    ended.took = attempt->ended_at - attempt->started_at;
    ended.detail = outcome.detail;
    if (outcome.stream_begun && !request->closed) {
        completion_.finish_stream(*request, outcome);
        request = context_.requests.find(key.handle);
    }
    if (request) {
        ended.request_closed = request->closed;
        completion_.revisit_when_idle(key.handle);
    }
    context_.driver.feed(std::move(ended));
}

void AttemptRunner::report_to_invariant_checker(AttemptKey key, const AttemptState& attempt,
                                                const AttemptOutcome& outcome) {
    control::InvariantChecker& checker = context_.invariant_checker;
    const Millis stalled_for = context_.driver.stalled_for();
    checker.on_attempt_ended(key.handle, key.index, never_ran(outcome.result));
    if (outcome.result == AttemptResult::prefill_done)
        checker.on_prefill_answered(key.handle, context_.environment.now(), stalled_for);
    else if (outcome.result == AttemptResult::rejected && outcome.detail == kNoKvCacheToFetch)
        checker.on_lease_taken(key.handle);
    else if (!attempt.is_prefill)
        checker.on_decode_ended(key.handle, context_.environment.now(), stalled_for);
}

void AttemptRunner::record_endpoint_evidence(const AttemptState& attempt, const AttemptOutcome& outcome) {
    DiscoveredEndpoint* endpoint = context_.endpoints.find(attempt.endpoint);
    if (!endpoint || outcome.result == AttemptResult::not_sent) return;
    const bool answered = outcome.status > 0 && outcome.result != AttemptResult::reset;
    (answered ? endpoint->last_success : endpoint->last_failure) = attempt.ended_at;
}

}  // namespace gorsenotch::platform
