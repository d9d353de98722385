// The attempts of requests and the leases on what they leave: the part of RequestLifecycle between the
// Router's actions and the engines.
#include <algorithm>
#include <utility>

#include "gateway/request_lifecycle.h"

namespace gorsenotch::gateway {
namespace {

// For a client whose stream has begun.
const api::ApiError kBroken{500, "api_error", "the engine that wrote this answer was lost"};

// Of an answer that is no stream.
constexpr std::size_t kMaxResponseBody = std::size_t{256} * 1024;
// AttemptEnded::detail of a decode attempt that was rejected as there was no state to fetch.
constexpr double kNoStateToFetch = 1;

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
    attempt.sent = now;
    attempt.last_heard = now;
    attempt.clock = driver_.start_clock(start.timeout, request->deadline);
    const auto found = endpoints_.find(start.endpoint);
    // Guards against a send to an endpoint that the latest list no longer has.
    if (found == endpoints_.end() || found->second.endpoint.status == EndpointStatus::removed ||
        request->closed)
        return report_not_sent(*request, std::move(attempt), number);
    const settings::Engine& engine = found->second;
    const Role role = program_.router.kinds[static_cast<std::size_t>(engine.endpoint.kind)].role;
    attempt.is_prefill = role == Role::prefill;
    attempt.address = engine.address;
    auto wanted = upstream_request(*request, attempt, now);
    attempt.exchange = make_exchange(start.request, number, attempt.is_prefill);
    if (attempt.is_prefill) request->prefill_attempts.push_back(number);
    request->lease.on_attempt_begun(now, start.endpoint, !attempt.is_prefill);
    schedule_lease_check(*request);
    set_timer(TimerKind::attempt_timeout, attempt.clock.due(), request, number);
    const auto exchange = attempt.exchange;
    const std::string address = attempt.address;
    request->attempts.push_back(std::move(attempt));
    environment_.start_exchange(address, std::move(wanted), exchange);
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

proxy::UpstreamRequest RequestLifecycle::upstream_request(const OpenRequest& request,
                                                          const AttemptState& attempt, Millis now) const {
    const engine::AttemptInfo info{attempt.id, request.request.key,
                                   program_.classes[static_cast<std::size_t>(request.request.cls)],
                                   request.deadline - now};
    if (attempt.is_prefill) return dialect_->prefill_request(request.request.chat, info);
    return dialect_->decode_request(request.request.chat, info,
                                    request.kv_state ? request.kv_state->parameters : std::string());
}

std::shared_ptr<UpstreamExchange> RequestLifecycle::make_exchange(const std::string& id, int number,
                                                                  bool is_prefill) {
    auto exchange = std::make_shared<UpstreamExchange>(*dialect_, is_prefill, program_.limits.event_bytes,
                                                       kMaxResponseBody);
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

// Ends a stream that nobody reads any more.
void RequestLifecycle::cancel_stream(const std::string& id) {
    OpenRequest* request = find(id);
    if (!request) return;
    for (auto& attempt : request->attempts) {
        if (attempt.streaming()) return end_exchange(attempt, &UpstreamExchange::cancel);
    }
}

// Ends an attempt from this side; its connection is closed, so nothing more comes on it.
void RequestLifecycle::end_exchange(AttemptState& attempt, void (UpstreamExchange::*how)()) {
    const auto exchange = attempt.exchange;
    ((*exchange).*how)();
    environment_.close(*exchange);
}

// ---- progress of attempts -------------------------------------------------------------------------------

void RequestLifecycle::on_attempt_sent(const std::string& id, int number) {
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt) return;
    driver_.on_request_written(attempt->clock);
    if (attempt->phase == AttemptState::Phase::not_written) attempt->phase = AttemptState::Phase::written;
    // Counts as arrived at the engine; on_lease_timer() says why that is enough.
    request->lease.on_attempt_answered(environment_.now());
}

void RequestLifecycle::on_stream_begun(const std::string& id, int number) {
    driver_.catch_up();
    OpenRequest* request = find(id);
    AttemptState* attempt = find_attempt(request, number);
    if (!attempt || !attempt->in_flight()) return;
    attempt->phase = AttemptState::Phase::streaming;
    attempt->last_heard = environment_.now();
    // The decode engine has fetched the state: there is nothing of it to release any more.
    request->forget_kv_state();
    request->lease.on_taken();
    set_timer(TimerKind::stream_idle, attempt->last_heard + program_.limits.stream_idle_ms, request, number);
    const auto exchange = attempt->exchange;
    feed(FirstToken{id, number, attempt->endpoint, attempt->last_heard - attempt->sent});
    request = find(id);
    if (!request) return;
    if (request->closed) {  // its client left before the first token
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
    attempt->last_heard = now;
    request->last_sent_at = now;
    std::string bytes = request->request.answer->text(piece);
    if (request->request.answer->ended()) {  // a complete answer that is too long to gather
        Client* client = std::exchange(request->request.client, nullptr);
        close_request(*request, 500, EndReason::too_long);
        if (client) client->send_complete(500, std::move(bytes), kNoRetryAfter, false);
        attempt = find_attempt(find(id), number);
        if (attempt && attempt->in_flight()) end_exchange(*attempt, &UpstreamExchange::cancel);
        return;
    }
    if (!bytes.empty() && request->request.client) request->request.client->send_body(std::move(bytes));
}

void RequestLifecycle::on_attempt_ended(const std::string& id, int number, const AttemptOutcome& outcome) {
    driver_.catch_up();
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
    ended.took = now - attempt->sent;
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

// What the end of an attempt says of the states at prefill engines.
void RequestLifecycle::update_leases(OpenRequest& request, int number, const AttemptOutcome& outcome,
                                     Millis now) {
    const AttemptState& attempt = request.attempts[static_cast<std::size_t>(number)];
    const bool prefilled = outcome.result == AttemptResult::prefill_done;
    request.lease.on_attempt_ended(now, never_ran(outcome.result));
    if (attempt.is_prefill && !never_ran(outcome.result)) {
        request.lease.on_acquired(
            now, prefilled ? control::LeaseOrigin::prefill_done : control::LeaseOrigin::prefill_lost,
            attempt.endpoint);
        schedule_lease_check(request);
    }
    if (prefilled) {
        request.kv_state = KvState{number, outcome.parameters};
    } else if (attempt.is_prefill && never_ran(outcome.result)) {
        std::erase(request.prefill_attempts, number);
    }
    if (!attempt.is_prefill && outcome.result == AttemptResult::rejected && outcome.detail == kNoStateToFetch)
        request.forget_kv_state();
}

// Gives the client the end of the answer that this attempt has begun.
void RequestLifecycle::finish_response(OpenRequest& request, const AttemptOutcome& outcome) {
    const bool served = outcome.result == AttemptResult::served;
    const EndReason reason = served ? EndReason::served : EndReason::broken;
    Client* client = std::exchange(request.request.client, nullptr);
    request.usage = outcome.usage;
    std::string bytes = served ? request.request.answer->finish(outcome.stop, outcome.usage, outcome.sequence)
                               : request.request.answer->fail(kBroken);
    if (request.request.chat.stream) {
        close_request(request, 200, reason);
        if (!client) return;
        client->send_body(std::move(bytes));
        client->finish_stream();
    } else if (served) {
        close_request(request, 200, reason);
        if (client) client->send_complete(200, std::move(bytes), kNoRetryAfter, std::nullopt);
    } else {
        const bool harmless = is_idempotent(request);
        close_request(request, 500, reason);
        if (client) client->send_complete(500, std::move(bytes), kNoRetryAfter, harmless);
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
                      {"why", outcome.why}});
}

// ---- leases ---------------------------------------------------------------------------------------------

// Guards against states that stay at an engine: whatever a prefill attempt may have left is released by the
// attempt's own id, even if its answer was lost. Unless `all`, skips what an attempt in flight still needs.
void RequestLifecycle::release_leases(OpenRequest& request, bool all) {
    const bool decode_pending = request.has_decode_pending();
    std::vector<int> kept;
    for (const int number : request.prefill_attempts) {
        const AttemptState& attempt = request.attempts[static_cast<std::size_t>(number)];
        const bool holds_state = request.kv_state && request.kv_state->attempt == number;
        if (!all && (attempt.in_flight() || (decode_pending && holds_state))) {
            kept.push_back(number);
            continue;
        }
        environment_.send_detached(attempt.address, dialect_->release_request(attempt.id),
                                   program_.router.lease_release_timeout);
        if (holds_state) request.kv_state.reset();
    }
    request.prefill_attempts = std::move(kept);
}

void RequestLifecycle::schedule_lease_check(OpenRequest& request) {
    if (const auto at = request.lease.release_at()) set_timer(TimerKind::lease, *at, &request);
}

// Guards against a state that stays while one connection after another does not come up. A decode request
// whose bytes were written counts as arrived here: a release ends the fetch of one that has, and engines of
// this kind free by a lease of their own what nobody fetches. May do harm by a second prefill where the next
// connection would have come up.
void RequestLifecycle::on_lease_timer(OpenRequest& request) {
    const auto at = request.lease.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(request);
    request.lease.on_release_begun(environment_.now());
    // Environment::send_detached() tries until a connection takes the release: it counts as answered.
    request.lease.on_release_answered(environment_.now());
    const std::string id = request.request.id;
    feed(LeaseReleased{id});
    OpenRequest* released = find(id);
    if (!released) return;
    if (!released->attempts.empty()) {
        AttemptState& latest = released->attempts.back();
        if (!latest.is_prefill && latest.phase == AttemptState::Phase::not_written)
            end_exchange(latest, &UpstreamExchange::cancel);
    }
    if ((released = find(id))) release_leases(*released, false);
}

}  // namespace gorsenotch::gateway
