// The part of RequestLifecycle that starts and ends attempts at engines and manages the KV leases of prefill
// attempts.
#include <algorithm>
#include <utility>

#include "gateway/request_lifecycle.h"

namespace gorsenotch::gateway {
namespace {

// Sent where the engine fails after the response has begun.
const api::ApiError kStreamBroken{500, "api_error", "the engine failed while it generated the response"};

const api::ApiError kNoMemoryForAnswer{
    500, "api_error", "the answer is longer than this gateway has memory to gather; stream it"};

constexpr std::size_t kMaxResponseBodyBytes = std::size_t{256} * 1024;  // of responses that are not streamed
// Value of AttemptEnded::detail where a decode attempt was rejected because its KV cache was missing.
constexpr double kDetailKvCacheMissing = 1;

}  // namespace

// ---- starting and stopping ------------------------------------------------------------------------------

void RequestLifecycle::start_attempt(const StartAttempt& start) {
    OpenRequest* request = find(start.request);
    if (!request) return;
    const int number = static_cast<int>(request->attempts.size());
    const Millis now = environment_.now();
    AttemptState attempt;
    attempt.endpoint = start.endpoint;
    attempt.id = start.request + "." + std::to_string(number);
    attempt.started_at = now;
    attempt.last_data_at = now;
    attempt.clock = driver_.start_clock(start.timeout, request->deadline);
    const auto found = endpoints_.find(start.endpoint);
    // Guards against sending to an endpoint that the latest endpoint list no longer contains.
    if (found == endpoints_.end() || found->second.endpoint.status == EndpointStatus::removed ||
        request->closed)
        return report_not_sent(*request, std::move(attempt), number);
    const settings::Engine& engine = found->second;
    const Role role = program_.router.kinds[static_cast<std::size_t>(engine.endpoint.kind)].role;
    attempt.is_prefill = role == Role::prefill;
    attempt.address = engine.address;
    auto upstream_request = make_upstream_request(*request, attempt, now);
    attempt.exchange = make_exchange(start.request, number, attempt.is_prefill, request->request.memory);
    if (attempt.is_prefill) request->prefill_attempts.push_back(number);
    request->leases.on_attempt_begun(now, start.endpoint, !attempt.is_prefill);
    schedule_lease_check(*request);
    set_timer(TimerKind::attempt_timeout, attempt.clock.timeout_at(), request, number);
    const auto exchange = attempt.exchange;
    const std::string address = attempt.address;
    request->attempts.push_back(std::move(attempt));
    environment_.start_exchange(address, std::move(upstream_request), exchange);
}

void RequestLifecycle::report_not_sent(OpenRequest& request, AttemptState attempt, int number) {
    AttemptEnded ended;
    ended.request = request.request.id;
    ended.attempt = number;
    ended.endpoint = attempt.endpoint;
    ended.result = AttemptResult::not_sent;
    ended.request_closed = request.closed;
    attempt.phase = AttemptState::Phase::ended;
    request.attempts.push_back(std::move(attempt));
    feed(std::move(ended));
}

proxy::UpstreamRequest RequestLifecycle::make_upstream_request(const OpenRequest& request,
                                                               const AttemptState& attempt,
                                                               Millis now) const {
    const engine::AttemptInfo info{attempt.id, request.request.key,
                                   program_.classes[static_cast<std::size_t>(request.request.cls)],
                                   request.deadline - now};
    if (attempt.is_prefill) return dialect_->prefill_request(request.request.chat, info);
    return dialect_->decode_request(request.request.chat, info,
                                    request.kv_state ? request.kv_state->parameters : std::string());
}

std::shared_ptr<UpstreamExchange> RequestLifecycle::make_exchange(const std::string& id, int number,
                                                                  bool is_prefill,
                                                                  const control::MemoryCharge& memory) {
    auto exchange = std::make_shared<UpstreamExchange>(*dialect_, is_prefill, program_.limits.event_bytes,
                                                       kMaxResponseBodyBytes,
                                                       memory.sibling(control::MemoryUse::response));
    exchange->on_sent = [this, id, number] { on_attempt_sent(id, number); };
    exchange->on_stream_begun = [this, id, number] { on_stream_begun(id, number); };
    exchange->on_text = [this, id, number](std::string_view piece) { on_stream_text(id, number, piece); };
    exchange->on_ended = [this, id, number](const AttemptOutcome& outcome) {
        on_attempt_ended(id, number, outcome);
    };
    return exchange;
}

void RequestLifecycle::stop_attempt(const StopAttempt& stop) {
    AttemptState* attempt = find_attempt(find(stop.request), stop.attempt);
    if (attempt && attempt->in_flight() && !attempt->streaming())
        end_exchange(*attempt, &UpstreamExchange::cancel);
}

// Cancels the request's stream; called once its client has no more use for it.
void RequestLifecycle::cancel_stream(const std::string& id) {
    OpenRequest* request = find(id);
    if (!request) return;
    for (auto& attempt : request->attempts) {
        if (attempt.streaming()) return end_exchange(attempt, &UpstreamExchange::cancel);
    }
}

// Ends an attempt from the gateway's side. Its connection is closed, so it receives nothing more.
void RequestLifecycle::end_exchange(AttemptState& attempt, void (UpstreamExchange::*end_method)()) {
    const auto exchange = attempt.exchange;
    ((*exchange).*end_method)();
    environment_.close(*exchange);
}

// ---- progress of attempts -------------------------------------------------------------------------------

void RequestLifecycle::on_attempt_sent(const std::string& id, int number) {
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt) return;
    driver_.on_request_written(attempt->clock);
    if (attempt->phase == AttemptState::Phase::not_written) attempt->phase = AttemptState::Phase::written;
    // A written request counts as received by the engine; see on_lease_timer() for the reason.
    request->leases.on_attempt_answered(environment_.now());
}

void RequestLifecycle::on_stream_begun(const std::string& id, int number) {
    driver_.handle_stalls();
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt || !attempt->in_flight()) return;
    attempt->phase = AttemptState::Phase::streaming;
    attempt->last_data_at = environment_.now();
    // No further attempt will be rendered; the parsed request stays.
    request->request.memory.resize(request->request.memory_of_record());
    // The decode engine has fetched the KV cache, so there is nothing to release.
    request->clear_kv_state();
    request->leases.on_resource_taken();
    set_timer(TimerKind::stream_idle, attempt->last_data_at + program_.limits.stream_idle_ms, request,
              number);
    const auto exchange = attempt->exchange;
    feed(FirstToken{id, number, attempt->endpoint, attempt->last_data_at - attempt->started_at});
    request = find(id);
    if (!request) return;
    if (request->closed) {  // the client disconnected before the first token
        exchange->cancel();
        return environment_.close(*exchange);
    }
    if (!request->request.chat.stream || !request->request.client) return;
    request->last_sent_at = environment_.now();
    set_timer(TimerKind::keepalive, request->last_sent_at + program_.limits.ping_ms, request);
    request->request.client->begin_stream();
    if ((request = find(id)) && request->request.client)
        request->request.client->send_body(request->request.answer->begin());
}

void RequestLifecycle::on_stream_text(const std::string& id, int number, std::string_view piece) {
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt || !attempt->in_flight() || request->closed) return;
    const Millis now = environment_.now();
    attempt->last_data_at = now;
    request->last_sent_at = now;
    NewRequest& answered = request->request;
    api::ResponseWriter& answer = *answered.answer;
    const bool fits = answered.answer_memory.try_resize(
        std::max(answered.answer_memory.bytes(), answer.memory_for(answer.collected() + piece.size())));
    std::string bytes = fits ? answer.text(piece) : answer.fail(kNoMemoryForAnswer);
    if (answer.ended()) return end_too_long_answer(*request, number, std::move(bytes));
    if (!bytes.empty() && answered.client) answered.client->send_body(std::move(bytes));
}

// Ends a complete answer that is longer than limits.complete_answer_bytes, or than there is memory for.
void RequestLifecycle::end_too_long_answer(OpenRequest& request, int number, std::string error) {
    const std::string id = request.request.id;
    Client* client = std::exchange(request.request.client, nullptr);
    close_request(request, 500, EndReason::too_long);
    if (client) client->send_complete(500, std::move(error), kNoRetryAfter, false);
    AttemptState* attempt = find_attempt(find(id), number);
    if (attempt && attempt->in_flight()) end_exchange(*attempt, &UpstreamExchange::cancel);
}

void RequestLifecycle::on_attempt_ended(const std::string& id, int number, const AttemptOutcome& outcome) {
    driver_.handle_stalls();
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt || !attempt->in_flight()) return;
    attempt->phase = AttemptState::Phase::ended;
    const Millis now = environment_.now();
    update_leases(*request, number, outcome, now);
    log_failed_attempt(id, number, attempt->endpoint, outcome);
    AttemptEnded ended;
    ended.request = id;
    ended.attempt = number;
    ended.endpoint = attempt->endpoint;
    ended.result = outcome.result;
    ended.took = now - attempt->started_at;
    ended.detail = outcome.detail;
    ended.report = outcome.report;
    if (outcome.begun && !request->closed) {
        finish_response(*request, outcome);
        request = find(id);
    }
    if (request) {
        ended.request_closed = request->closed;
        closed_requests_.push_back(id);
    }
    feed(std::move(ended));
}

// Updates the lease and the KV caches at prefill engines after an attempt has ended.
void RequestLifecycle::update_leases(OpenRequest& request, int number, const AttemptOutcome& outcome,
                                     Millis now) {
    const AttemptState& attempt = request.attempts[static_cast<std::size_t>(number)];
    const bool prefilled = outcome.result == AttemptResult::prefill_done;
    request.leases.on_attempt_ended(now, never_ran(outcome.result));
    if (attempt.is_prefill && !never_ran(outcome.result)) {
        request.leases.on_acquired(
            now, prefilled ? control::LeaseOrigin::prefill_done : control::LeaseOrigin::prefill_lost,
            attempt.endpoint);
        schedule_lease_check(request);
    }
    if (prefilled) {
        request.kv_state = KvState{number, outcome.parameters};
    } else if (attempt.is_prefill && never_ran(outcome.result)) {
        std::erase(request.prefill_attempts, number);
    }
    if (!attempt.is_prefill && outcome.result == AttemptResult::rejected &&
        outcome.detail == kDetailKvCacheMissing)
        request.clear_kv_state();
}

// Ends the client's response that this attempt has begun.
void RequestLifecycle::finish_response(OpenRequest& request, const AttemptOutcome& outcome) {
    const bool served = outcome.result == AttemptResult::served;
    const EndReason reason = served ? EndReason::served : EndReason::broken;
    Client* client = std::exchange(request.request.client, nullptr);
    request.usage = outcome.usage;
    std::string bytes =
        served ? request.request.answer->finish(outcome.stop_reason, outcome.usage, outcome.stop_sequence)
               : request.request.answer->fail(kStreamBroken);
    if (request.request.chat.stream) {
        close_request(request, 200, reason);
        if (!client) return;
        client->send_body(std::move(bytes));
        client->finish_stream();
    } else if (served) {
        close_request(request, 200, reason);
        if (client) client->send_complete(200, std::move(bytes), kNoRetryAfter, std::nullopt);
    } else {
        const bool should_retry = is_idempotent(request);
        close_request(request, 500, reason);
        if (client) client->send_complete(500, std::move(bytes), kNoRetryAfter, should_retry);
    }
}

void RequestLifecycle::log_failed_attempt(const std::string& id, int number, EndpointId endpoint,
                                          const AttemptOutcome& outcome) {
    if (outcome.result == AttemptResult::served || outcome.result == AttemptResult::prefill_done) return;
    environment_.log("info", "attempt",
                     {{"request", id},
                      {"attempt", number},
                      {"endpoint", endpoint},
                      {"result", name(outcome.result)},
                      {"why", outcome.reason}});
}

// ---- leases ---------------------------------------------------------------------------------------------

// Guards against leaked KV caches: whatever a prefill attempt may have left at its engine is released by the
// attempt's id, even if its response was lost. Skips what an attempt in flight still needs, unless
// `include_needed`.
void RequestLifecycle::release_leases(OpenRequest& request, bool include_needed) {
    const bool decode_pending = request.has_decode_pending();
    std::vector<int> remaining;
    for (const int number : request.prefill_attempts) {
        const AttemptState& attempt = request.attempts[static_cast<std::size_t>(number)];
        const bool is_current_state = request.kv_state && request.kv_state->attempt == number;
        if (!include_needed && (attempt.in_flight() || (decode_pending && is_current_state))) {
            remaining.push_back(number);
            continue;
        }
        environment_.send_detached(attempt.address, dialect_->release_request(attempt.id),
                                   program_.router.lease_release_timeout);
        if (is_current_state) request.kv_state.reset();
    }
    request.prefill_attempts = std::move(remaining);
}

void RequestLifecycle::schedule_lease_check(OpenRequest& request) {
    if (const auto at = request.leases.release_at()) set_timer(TimerKind::lease, *at, &request);
}

// Guards against a KV cache that is never released while connection attempts to decode engines keep failing.
// A decode request whose bytes were written counts as received: a release would abort the fetch of one that
// was received, and these engines free a KV cache that nobody fetches by a lease of their own. The cost is a
// second prefill where the next connection attempt would have succeeded.
void RequestLifecycle::on_lease_timer(OpenRequest& request) {
    const auto at = request.leases.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(request);
    const Millis now = environment_.now();
    request.leases.on_release_begun(now);
    // Environment::send_detached() retries until a connection accepts the release, so it counts as answered.
    request.leases.on_release_answered(now, now);
    const std::string id = request.request.id;
    feed(LeaseReleased{id});
    OpenRequest* found = find(id);
    if (!found) return;
    if (!found->attempts.empty()) {
        AttemptState& latest = found->attempts.back();
        if (!latest.is_prefill && latest.phase == AttemptState::Phase::not_written)
            end_exchange(latest, &UpstreamExchange::cancel);
    }
    if ((found = find(id))) release_leases(*found, false);
}

}  // namespace gorsenotch::gateway
