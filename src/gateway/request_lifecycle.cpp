#include "gateway/request_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/overloaded.h"

namespace gorsenotch::gateway {
namespace {

const api::ApiError kOverloaded{529, "overloaded_error", "Overloaded"};
const api::ApiError kRequestFailed{500, "api_error",
                                   "the request may have been executed and cannot be retried safely"};
const api::ApiError kAnswerTimeout{504, "timeout_error",
                                   "the response was not complete within the time limit"};

constexpr Millis kEarliestStart = 1e-3;  // above 0, which stands for an unknown start time

}  // namespace

RequestLifecycle::RequestLifecycle(const settings::ProgramSettings& program, std::uint64_t seed,
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
    driver_.on_idle = [this] { remove_closed_requests(); };
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

// ---- events ---------------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_list(const std::vector<settings::Engine>& engines, bool cached) {
    EndpointUpdate update;
    update.kind = cached ? EndpointUpdate::Kind::cached : EndpointUpdate::Kind::full;
    endpoints_.clear();
    const Millis now = environment_.now();
    const Millis wall = environment_.wall_ms();
    for (auto engine : engines) {
        // Clocks of hosts differ slightly: a start time in the future counts as now.
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
    driver_.handle_stalls();
    const Millis now = environment_.now();
    const Millis received_at = now - request.age;  // the client's waiting time counts from here
    Arrival arrival = make_arrival(request, received_at);
    OpenRequest& opened =
        requests_.try_emplace(request.id, program_.router.lease_release_timeout).first->second;
    opened.request = std::move(request);
    opened.arrived_at = now;
    opened.last_sent_at = now;
    opened.deadline = arrival.deadline;
    if (!opened.request.chat.stream) {
        // The Router's deadline covers the time to the first token only. A client that does not stream gets
        // nothing before the complete answer, so that has a timeout of its own.
        const Millis limit = program_.limits.complete_answer_timeout_ms;
        const Millis patience = opened.request.patience;
        const Millis timeout = patience > 0 ? std::min(patience, limit) : limit;
        set_timer(TimerKind::complete_answer, received_at + timeout - program_.router.event_interval,
                  &opened);
    }
    feed(std::move(arrival));
    return true;
}

Arrival RequestLifecycle::make_arrival(const NewRequest& request, Millis received_at) const {
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
    arrival.deadline = received_at + settings.deadline;
    if (request.patience > 0) arrival.deadline = std::min(arrival.deadline, received_at + request.patience);
    return arrival;
}

void RequestLifecycle::on_client_disconnected(const std::string& id) {
    driver_.handle_stalls();
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
        attempt.last_data_at = environment_.now();
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
        remove_closed_requests();
    }
}

// ---- actions of the Router ------------------------------------------------------------------------------

void RequestLifecycle::execute(const Action& action) {
    std::visit(
        Overloaded{
            [&](const StartAttempt& start) { start_attempt(start); },
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
                    reject(*request, kRequestFailed, kNoRetryAfter, false);
            },
            [&](const Log& line) {
                environment_.log("info", "router", {{"text", line.text}});
            },
            // RouterDriver handles SetTimer itself. The settings of this program never lead to the others.
            [&](const SetTimer&) {}, [&](const ReserveSlot&) {}, [&](const MigrateStream&) {},
            [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {}, [&](const PollEndpoints&) {}},
        action);
}

// ---- final answers --------------------------------------------------------------------------------------

// Records that the client's response has ended. The request stays in the table while attempts are in flight.
void RequestLifecycle::close_request(OpenRequest& request, int status, EndReason reason) {
    request.closed = true;
    request.status = status;
    request.end_reason = reason;
    request.closed_at = environment_.now();
    request.request.answer_memory.resize(0);
    closed_requests_.push_back(request.request.id);
}

void RequestLifecycle::remove_closed_requests() {
    // By index, since releasing a lease may append further closed requests.
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

void RequestLifecycle::reject(OpenRequest& request, const api::ApiError& error, Millis retry_after,
                              bool should_retry) {
    if (request.closed) return;
    const bool streaming = request.request.chat.stream && request.request.answer->has_begun();
    if (streaming) return fail_stream(request, error);
    Client* client = std::exchange(request.request.client, nullptr);
    request.request.answer->fail(error);
    const bool overloaded = error.status == kOverloaded.status;
    close_request(request, error.status, overloaded ? EndReason::refused : EndReason::failed);
    if (client)
        client->send_complete(error.status, error_body_(error, request.request.id), retry_after,
                              should_retry);
}

// The client is told to retry only where a second execution is certain to be harmless.
void RequestLifecycle::reject_at_shutdown(OpenRequest& request) {
    const bool decode_sent = std::any_of(request.attempts.begin(), request.attempts.end(),
                                         [](const AttemptState& attempt) { return !attempt.is_prefill; });
    if (!decode_sent || is_idempotent(request)) return reject(request, kOverloaded, 0, true);
    reject(request, kRequestFailed, kNoRetryAfter, false);
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
    // Timeouts of engines fire only after the sockets have been polled since they were due, so that an answer
    // that already waits in a socket is read first; other timers fire at their time.
    const bool is_engine_timeout = kind == TimerKind::attempt_timeout || kind == TimerKind::stream_idle;
    driver_.set_timer(kind, at, owner, attempt, 0, is_engine_timeout);
}

void RequestLifecycle::on_timer(const Driver::Timer& timer) {
    OpenRequest& request = *timer.owner;
    switch (timer.kind) {
        case TimerKind::router:
            return;  // handled by RouterDriver
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
        return set_timer(TimerKind::attempt_timeout, attempt->clock.timeout_at(), &request, number);
    end_exchange(*attempt, attempt->clock.endpoint_at_fault() ? &UpstreamExchange::time_out
                                                              : &UpstreamExchange::cancel);
}

// Guards against an engine that stops sending in the middle of a stream: nothing else would end the attempt.
void RequestLifecycle::on_stream_idle(OpenRequest& request, int number) {
    const Millis now = environment_.now();
    AttemptState* attempt = find_attempt(&request, number);
    if (!attempt || !attempt->in_flight()) return;
    if (request.congested) attempt->last_data_at = now;
    const Millis due = attempt->last_data_at + program_.limits.stream_idle_ms;
    if (due > now) return set_timer(TimerKind::stream_idle, due, &request, number);
    end_exchange(*attempt, &UpstreamExchange::on_stream_stalled);
}

void RequestLifecycle::on_complete_answer_timeout(OpenRequest& request) {
    if (request.closed) return;
    const std::string id = request.request.id;
    reject(request, kAnswerTimeout, kNoRetryAfter, false);
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
                        {"ms", std::round(1000 * (request.closed_at - request.arrived_at)) / 1000},
                        {"attempts", request.attempts.size()},
                        {"output_tokens", request.usage.output}};
    if (request.request.tenant >= 0)
        fields["tenant"] = program_.tenants[static_cast<std::size_t>(request.request.tenant)];
    environment_.log("info", "answer", std::move(fields));
}

}  // namespace gorsenotch::gateway
