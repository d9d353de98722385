#include "gateway/request_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/overloaded.h"

namespace gorsenotch::gateway {
namespace {

// For a client whose stream has begun.
const api::ApiError kBroken{500, "api_error", "the engine that wrote this answer was lost"};
const api::ApiError kOverloaded{529, "overloaded_error", "Overloaded"};
const api::ApiError kFailed{500, "api_error", "the request may have run and could not be answered"};
const api::ApiError kTooSlow{504, "timeout_error", "the answer took longer than the client waits"};

// Client::send_complete without the header retry-after.
constexpr Millis kNoPause = -1;
// Of an answer that is no stream.
constexpr std::size_t kMaxResponseBody = std::size_t{256} * 1024;
// AttemptEnded::detail of a decode attempt that was rejected as there was no state to fetch.
constexpr double kNoStateToFetch = 1;
// A start time of 0 means an unknown one.
constexpr Millis kEarliestStart = 1e-3;

}  // namespace

RequestLifecycle::RequestLifecycle(const settings::Program& program, std::uint64_t seed,
                                   Environment& environment, ErrorBody error_body)
    : program_(program),
      environment_(environment),
      error_body_(std::move(error_body)),
      dialect_(engine::vllm()),
      driver_(program.router, seed, &OpenRequest::timers, &OpenRequest::timeouts) {
    driver_.now = [this] { return environment_.now(); };
    driver_.on_event = [this](Millis now, const Event& event) {
        if (observer) observer->on_event(now, event);
    };
    driver_.on_action = [this](const Action& action) {
        if (observer) observer->on_action(action);
    };
    driver_.execute = [this](const Action& action) { execute(action); };
    driver_.on_idle = [this] { forget_closed_requests(); };
    driver_.on_timer = [this](const Driver::Timer& timer) { on_timer(timer); };
    driver_.on_stall = [this](Millis ms) { environment_.on_stall(ms); };
    driver_.on_wake = [this] {
        if (on_wake) on_wake();
    };
}

RequestLifecycle::~RequestLifecycle() = default;

OpenRequest* RequestLifecycle::find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

bool RequestLifecycle::is_idempotent(const OpenRequest& request) const {
    const auto& settings = program_.router.classes[static_cast<std::size_t>(request.request.cls)];
    return settings.idempotency == Idempotency::idempotent;
}

// ---- events from outside --------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_list(const std::vector<settings::Engine>& engines, bool saved) {
    EndpointUpdate update;
    update.kind = saved ? EndpointUpdate::Kind::cached : EndpointUpdate::Kind::full;
    endpoints_.clear();
    const Millis now = environment_.now();
    const Millis wall = environment_.wall_ms();
    for (auto engine : engines) {
        // Clocks of machines differ a little: a start in the future is taken for one just now.
        if (engine.endpoint.started_at > 0)
            engine.endpoint.started_at =
                std::max(kEarliestStart, now - std::max(0.0, wall - engine.endpoint.started_at));
        update.endpoints.push_back(engine.endpoint);
        endpoints_[engine.endpoint.id] = engine;
    }
    feed(std::move(update));
}

bool RequestLifecycle::on_request(NewRequest request) {
    if (requests_.size() >= program_.limits.open_requests) return false;
    driver_.catch_up();
    const Millis now = environment_.now();
    const Millis asked = now - request.age;  // its client has waited since then
    Arrival arrival = make_arrival(request, asked);
    OpenRequest& opened =
        requests_.try_emplace(request.id, program_.router.lease_release_timeout).first->second;
    opened.request = std::move(request);
    opened.arrived = now;
    opened.last_sent_at = now;
    opened.deadline = arrival.deadline;
    if (!opened.request.chat.stream) {
        // The Router's deadline ends with the first token; a client that gets nothing before the complete
        // answer still needs one while it waits.
        const Millis longest = program_.limits.whole_answer_ms;
        const Millis patience = opened.request.patience;
        const Millis answer_within = patience > 0 ? std::min(patience, longest) : longest;
        set_timer(TimerKind::complete_answer, asked + answer_within - program_.router.event_interval,
                  &opened);
    }
    feed(std::move(arrival));
    return true;
}

Arrival RequestLifecycle::make_arrival(const NewRequest& request, Millis asked) const {
    const auto& settings = program_.router.classes[static_cast<std::size_t>(request.cls)];
    Arrival arrival;
    arrival.request = request.id;
    arrival.cls = request.cls;
    arrival.tenant = request.tenant;
    arrival.session = request.chat.session;
    arrival.shared_prefix = request.chat.prefix;
    arrival.prompt_tokens = request.chat.prompt_tokens;
    arrival.shared_prefix_tokens = request.chat.prefix_tokens;
    arrival.max_tokens = static_cast<double>(request.chat.max_tokens);
    arrival.client_retry = request.client_retry;
    arrival.deadline = asked + settings.deadline;
    if (request.patience > 0) arrival.deadline = std::min(arrival.deadline, asked + request.patience);
    return arrival;
}

void RequestLifecycle::on_client_disconnected(const std::string& id) {
    driver_.catch_up();
    OpenRequest* request = find(id);
    if (!request || request->closed) return;
    request->request.client = nullptr;
    close_request(*request, 0, EndReason::client_gone);
    feed(ClientDisconnected{id});
    cancel_stream(id);
}

void RequestLifecycle::on_client_congested(const std::string& id, bool congested) {
    OpenRequest* request = find(id);
    if (!request || request->congested == congested) return;
    request->congested = congested;
    for (auto& attempt : request->attempts) {
        if (!attempt.streaming()) continue;
        attempt.last_heard = environment_.now();
        environment_.pause(*attempt.exchange, congested);
    }
}

void RequestLifecycle::end_all() {
    std::vector<std::string> ids;
    ids.reserve(requests_.size());
    for (const auto& [id, request] : requests_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const auto& id : ids) {
        OpenRequest* request = find(id);
        if (!request) continue;
        if (!request->closed) reject_at_shutdown(*request);
        for (std::size_t i = 0; (request = find(id)) && i < request->attempts.size(); ++i) {
            if (request->attempts[i].in_flight())
                end_exchange(request->attempts[i], &UpstreamExchange::cancel);
        }
        if (!find(id)) continue;
        closed_requests_.push_back(id);
        forget_closed_requests();
    }
}

// ---- actions of the Router ------------------------------------------------------------------------------

void RequestLifecycle::execute(const Action& action) {
    std::visit(
        Overloaded{[&](const StartAttempt& start) { start_attempt(start); },
                   [&](const StopAttempt& stop) { stop_attempt(stop); },
                   [&](const ReleaseLease& release) {
                       if (OpenRequest* request = find(release.request)) release_leases(*request, false);
                   },
                   [&](const Reject& rejection) {
                       if (OpenRequest* request = find(rejection.request))
                           reject(*request, kOverloaded, rejection.retry_after, true);
                   },
                   [&](const Fail& fail) {
                       if (OpenRequest* request = find(fail.request))
                           reject(*request, kFailed, kNoPause, false);
                   },
                   [&](const Log& line) {
                       environment_.log("info", "router", {{"text", line.text}});
                   },
                   // The driver sets timers. The settings of this program do not allow the rest.
                   [&](const SetTimer&) {}, [&](const ReserveSlot&) {}, [&](const MigrateStream&) {},
                   [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {}, [&](const PollEndpoints&) {}},
        action);
}

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

engine::UpstreamRequest RequestLifecycle::upstream_request(const OpenRequest& request,
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
    exchange->on_ended = [this, id, number](AttemptOutcome outcome) {
        on_attempt_ended(id, number, std::move(outcome));
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
        if (client) client->send_complete(500, std::move(bytes), kNoPause, false);
        attempt = find_attempt(find(id), number);
        if (attempt && attempt->in_flight()) end_exchange(*attempt, &UpstreamExchange::cancel);
        return;
    }
    if (!bytes.empty() && request->request.client) request->request.client->send_body(std::move(bytes));
}

void RequestLifecycle::on_attempt_ended(const std::string& id, int number, AttemptOutcome outcome) {
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
        if (client) client->send_complete(200, std::move(bytes), kNoPause, std::nullopt);
    } else {
        const bool harmless = is_idempotent(request);
        close_request(request, 500, reason);
        if (client) client->send_complete(500, std::move(bytes), kNoPause, harmless);
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

// ---- final answers --------------------------------------------------------------------------------------

// From here on nothing is owed to the client; the request stays known while attempts are in flight.
void RequestLifecycle::close_request(OpenRequest& request, int status, EndReason reason) {
    request.closed = true;
    request.status = status;
    request.end_reason = reason;
    request.closed_at = environment_.now();
    closed_requests_.push_back(request.request.id);
}

void RequestLifecycle::forget_closed_requests() {
    // By index: what follows from a release may close further requests.
    for (std::size_t i = 0; i < closed_requests_.size(); ++i) {
        OpenRequest* request = find(closed_requests_[i]);
        if (!request || !request->closed || request->has_attempt_in_flight()) continue;
        release_leases(*request, true);
        log_request(*request);
        driver_.cancel_timers(*request);
        requests_.erase(closed_requests_[i]);
    }
    closed_requests_.clear();
}

void RequestLifecycle::reject(OpenRequest& request, const api::ApiError& error, Millis pause, bool retry) {
    if (request.closed) return;
    const bool streaming = request.request.chat.stream && request.request.answer->begun();
    if (streaming) return fail_stream(request, error);
    Client* client = std::exchange(request.request.client, nullptr);
    request.request.answer->fail(error);
    const bool overloaded = error.status == kOverloaded.status;
    close_request(request, error.status, overloaded ? EndReason::refused : EndReason::failed);
    if (client) client->send_complete(error.status, error_body_(error, request.request.id), pause, retry);
}

// The client may repeat the request only where that is sure to do no harm.
void RequestLifecycle::reject_at_shutdown(OpenRequest& request) {
    const bool decode_sent = std::any_of(request.attempts.begin(), request.attempts.end(),
                                         [](const AttemptState& attempt) { return !attempt.is_prefill; });
    if (!decode_sent || is_idempotent(request)) return reject(request, kOverloaded, 0, true);
    reject(request, kFailed, kNoPause, false);
}

void RequestLifecycle::fail_stream(OpenRequest& request, const api::ApiError& error) {
    Client* client = std::exchange(request.request.client, nullptr);
    std::string bytes = request.request.answer->fail(error);
    close_request(request, 200, EndReason::broken);
    if (!client) return;
    client->send_body(std::move(bytes));
    client->finish_stream();
}

// ---- timers ---------------------------------------------------------------------------------------------

void RequestLifecycle::set_timer(TimerKind kind, Millis at, OpenRequest* owner, int attempt) {
    // Timeouts of engines are judged only after the sockets have been polled; the rest is on time.
    const bool timeout = kind == TimerKind::attempt_timeout || kind == TimerKind::stream_idle;
    driver_.set_timer(kind, at, owner, attempt, 0, timeout);
}

void RequestLifecycle::on_timer(const Driver::Timer& timer) {
    OpenRequest& request = *timer.owner;
    switch (timer.kind) {
        case TimerKind::router:
            return;  // the driver's own
        case TimerKind::attempt_timeout:
            return on_attempt_timeout(request, timer.attempt);
        case TimerKind::stream_idle:
            return on_stream_idle(request, timer.attempt);
        case TimerKind::complete_answer:
            return on_complete_answer_timeout(request);
        case TimerKind::keepalive:
            return on_keepalive(request);
        case TimerKind::lease:
            return on_lease_timer(request);
    }
}

void RequestLifecycle::on_attempt_timeout(OpenRequest& request, int number) {
    AttemptState* attempt = find_attempt(&request, number);
    if (!attempt || !attempt->in_flight() || attempt->streaming()) return;
    if (!driver_.has_expired(attempt->clock))
        return set_timer(TimerKind::attempt_timeout, attempt->clock.due(), &request, number);
    end_exchange(*attempt, attempt->clock.endpoint_at_fault() ? &UpstreamExchange::time_out
                                                              : &UpstreamExchange::cancel);
}

// Guards against a begun stream whose engine has gone silent: nothing else would end it.
void RequestLifecycle::on_stream_idle(OpenRequest& request, int number) {
    const Millis now = environment_.now();
    AttemptState* attempt = find_attempt(&request, number);
    if (!attempt || !attempt->in_flight()) return;
    if (request.congested) attempt->last_heard = now;
    const Millis due = attempt->last_heard + program_.limits.stream_idle_ms;
    if (due > now) return set_timer(TimerKind::stream_idle, due, &request, number);
    end_exchange(*attempt, &UpstreamExchange::on_stream_stalled);
}

void RequestLifecycle::on_complete_answer_timeout(OpenRequest& request) {
    if (request.closed) return;
    const std::string id = request.request.id;
    reject(request, kTooSlow, kNoPause, false);
    feed(ClientDisconnected{id});
    cancel_stream(id);
}

void RequestLifecycle::on_keepalive(OpenRequest& request) {
    const Millis now = environment_.now();
    if (request.closed || !request.request.client) return;
    if (request.last_sent_at + program_.limits.ping_ms <= now) {
        request.last_sent_at = now;
        if (!request.congested) request.request.client->send_body(request.request.answer->ping());
    }
    set_timer(TimerKind::keepalive, request.last_sent_at + program_.limits.ping_ms, &request);
}

void RequestLifecycle::log_request(const OpenRequest& request) {
    api::Json fields = {{"request", request.request.id},
                        {"class", program_.classes[static_cast<std::size_t>(request.request.cls)]},
                        {"ending", name(request.end_reason)},
                        {"status", request.status},
                        {"ms", std::round(1000 * (request.closed_at - request.arrived)) / 1000},
                        {"attempts", request.attempts.size()},
                        {"output_tokens", request.usage.output}};
    if (request.request.tenant >= 0)
        fields["tenant"] = program_.tenants[static_cast<std::size_t>(request.request.tenant)];
    environment_.log("info", "answer", std::move(fields));
}

}  // namespace gorsenotch::gateway
