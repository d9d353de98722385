#include "gateway/request_lifecycle.h"

#include <algorithm>
#include <cmath>

#include "control/overloaded.h"

namespace gorsenotch::gateway {
namespace {

const char* word(AttemptResult r) {
    switch (r) {
        case AttemptResult::served:
            return "served";
        case AttemptResult::error:
            return "error";
        case AttemptResult::rejected:
            return "rejected";
        case AttemptResult::timed_out:
            return "timed_out";
        case AttemptResult::unreachable:
            return "unreachable";
        case AttemptResult::reset:
            return "reset";
        case AttemptResult::cancelled:
            return "cancelled";
        case AttemptResult::not_sent:
            return "not_sent";
        case AttemptResult::prefill_done:
            return "prefill_done";
    }
    return "unknown";
}

// An error the client can still be told of in a stream that has begun.
const api::ApiError kBroken{500, "api_error", "the engine that wrote this answer was lost"};
const api::ApiError kOverloaded{529, "overloaded_error", "Overloaded"};
const api::ApiError kFailed{500, "api_error", "the request may have run and could not be answered"};

}  // namespace

RequestLifecycle::RequestLifecycle(const settings::Program& program, std::uint64_t seed, Environment& ports,
                                   ErrorBody error_body)
    : program_(program),
      environment_(ports),
      error_body_(std::move(error_body)),
      dialect_(engine::vllm()),
      driver_(program.router, seed, &Request::alarms, &Request::timeouts) {
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

RequestLifecycle::Request* RequestLifecycle::find(const std::string& id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

RequestLifecycle::AttemptState* RequestLifecycle::find_attempt(Request* request, int attempt) {
    if (!request || attempt < 0 || static_cast<std::size_t>(attempt) >= request->attempts.size())
        return nullptr;
    return &request->attempts[static_cast<std::size_t>(attempt)];
}

// ---- what comes in --------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_list(const std::vector<settings::Engine>& engines, bool saved) {
    EndpointUpdate update;
    update.kind = saved ? EndpointUpdate::Kind::cached : EndpointUpdate::Kind::full;
    endpoints_.clear();
    const Millis now = environment_.now(), wall = environment_.wall_ms();
    for (auto engine : engines) {
        // Clocks of machines differ a little: a start in the future is one just now.
        if (engine.endpoint.started_at > 0)
            engine.endpoint.started_at =
                std::max(1e-3, now - std::max(0.0, wall - engine.endpoint.started_at));
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
    const auto& cls = program_.router.classes[static_cast<std::size_t>(request.cls)];
    Arrival arrival;
    arrival.request = request.id;
    arrival.cls = request.cls, arrival.tenant = request.tenant;
    arrival.session = request.chat.session, arrival.shared_prefix = request.chat.prefix;
    arrival.prompt_tokens = request.chat.prompt_tokens,
    arrival.shared_prefix_tokens = request.chat.prefix_tokens;
    arrival.max_tokens = static_cast<double>(request.chat.max_tokens);
    arrival.client_retry = request.client_retry;
    arrival.deadline = asked + cls.deadline;
    if (request.patience > 0) arrival.deadline = std::min(arrival.deadline, asked + request.patience);
    Request& r = requests_.try_emplace(request.id, program_.router.lease_release_timeout).first->second;
    r.request = std::move(request);
    r.arrived = r.last_sent_at = now, r.deadline = arrival.deadline;
    if (!r.request.chat.stream) {
        // The Router's deadline ends with the first token; a client that gets nothing before the whole still
        // needs its answer while it waits.
        const Millis whole = r.request.patience > 0
                                 ? std::min(r.request.patience, program_.limits.whole_answer_ms)
                                 : program_.limits.whole_answer_ms;
        set_timer(Kind::complete_answer, asked + whole - program_.router.event_interval, &r);
    }
    feed(std::move(arrival));
    return true;
}

void RequestLifecycle::on_client_disconnected(const std::string& id) {
    driver_.catch_up();
    Request* request = find(id);
    if (!request || request->closed) return;
    request->request.client = nullptr;
    close_request(*request, 0, "client_gone");
    feed(ClientDisconnected{id});
    request = find(id);
    if (!request) return;
    for (auto& attempt : request->attempts) {  // a stream that nobody reads ends
        if (attempt.in_flight && attempt.stream_begun)
            return end_exchange(attempt, &UpstreamExchange::cancel);
    }
}

void RequestLifecycle::on_client_congested(const std::string& id, bool congested) {
    Request* request = find(id);
    if (!request || request->congested == congested) return;
    request->congested = congested;
    for (auto& attempt : request->attempts) {
        if (!attempt.in_flight || !attempt.stream_begun) continue;
        attempt.last_heard = environment_.now();
        environment_.pause(*attempt.exchange, congested);
    }
}

// ---- the Router -----------------------------------------------------------------------------------------

void RequestLifecycle::forget_closed_requests() {
    for (std::size_t i = 0; i < closed_requests_.size(); ++i) {
        Request* request = find(closed_requests_[i]);
        if (!request || !request->closed) continue;
        if (std::any_of(request->attempts.begin(), request->attempts.end(),
                        [](const AttemptState& attempt) { return attempt.in_flight; }))
            continue;
        release_leases(*request, true);
        log_request(*request);
        driver_.cancel_timers(*request);
        requests_.erase(closed_requests_[i]);
    }
    closed_requests_.clear();
}

void RequestLifecycle::execute(const Action& action) {
    std::visit(
        Overloaded{[&](const StartAttempt& start) { start_attempt(start); },
                   [&](const StopAttempt& stop) { stop_attempt(stop); },
                   [&](const ReleaseLease& release) {
                       if (Request* request = find(release.request)) release_leases(*request, false);
                   },
                   [&](const Reject& a) {
                       if (Request* request = find(a.request))
                           reject(*request, 529, kOverloaded, a.retry_after, true);
                   },
                   [&](const Fail& fail) {
                       if (Request* request = find(fail.request)) reject(*request, 500, kFailed, -1, false);
                   },
                   [&](const Log& a) {
                       environment_.log("info", "router", {{"text", a.text}});
                   },
                   // Timers are the driver's. The rest the settings of this program do not permit.
                   [&](const SetTimer&) {}, [&](const ReserveSlot&) {}, [&](const MigrateStream&) {},
                   [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {}, [&](const PollEndpoints&) {}},
        action);
}

void RequestLifecycle::start_attempt(const StartAttempt& start) {
    Request* request = find(start.request);
    if (!request) return;
    const int n = static_cast<int>(request->attempts.size());
    const Millis now = environment_.now();
    AttemptState attempt;
    attempt.endpoint = start.endpoint;
    attempt.id = start.request + "." + std::to_string(n);
    attempt.sent = attempt.last_heard = now;
    attempt.clock = driver_.start_clock(start.timeout, request->deadline);
    const auto it = endpoints_.find(start.endpoint);
    // Guards against a send to a server that the latest list no longer holds; nothing was sent then.
    if (it == endpoints_.end() || it->second.endpoint.status == EndpointStatus::removed || request->closed) {
        attempt.in_flight = false;
        request->attempts.push_back(std::move(attempt));
        AttemptEnded ended;
        ended.request = start.request, ended.attempt = n, ended.endpoint = start.endpoint,
        ended.result = AttemptResult::not_sent;
        ended.request_closed = request->closed;
        return feed(ended);
    }
    const Role role = program_.router.kinds[static_cast<std::size_t>(it->second.endpoint.kind)].role;
    attempt.is_prefill = role == Role::prefill;
    attempt.address = it->second.address;
    const engine::AttemptInfo info{attempt.id, request->request.key,
                                   program_.classes[static_cast<std::size_t>(request->request.cls)],
                                   request->deadline - now};
    auto wanted = attempt.is_prefill ? dialect_->prefill_request(request->request.chat, info)
                                     : dialect_->decode_request(
                                           request->request.chat, info,
                                           request->state_attempt >= 0 ? request->parameters : std::string());
    attempt.exchange = std::make_shared<UpstreamExchange>(*dialect_, attempt.is_prefill,
                                                          program_.limits.event_bytes, std::size_t{262144});
    const std::string id = start.request;
    attempt.exchange->on_sent = [this, id, n] {
        Request* own = find(id);
        AttemptState* sent = find_attempt(own, n);
        if (!sent) return;
        driver_.on_request_written(sent->clock);
        sent->written = true;
        // Enough here, unlike on the platform: see held_due().
        own->lease.on_attempt_answered(environment_.now());
    };
    attempt.exchange->on_stream_begun = [this, id, n] { on_stream_begun(id, n); };
    attempt.exchange->on_text = [this, id, n](std::string_view piece) { on_stream_text(id, n, piece); };
    attempt.exchange->on_ended = [this, id, n](AttemptOutcome outcome) {
        on_attempt_ended(id, n, std::move(outcome));
    };
    if (attempt.is_prefill) request->prefill_attempts.push_back(n);
    request->lease.on_attempt_begun(now, start.endpoint, !attempt.is_prefill);
    schedule_lease_check(*request);
    set_timer(Kind::attempt_timeout, attempt.clock.due(), request, n);
    const auto exchange = attempt.exchange;
    const std::string address = attempt.address;
    request->attempts.push_back(std::move(attempt));
    environment_.start_exchange(address, std::move(wanted), exchange);
}

// Ends an attempt from this side. The connection is closed first: what still comes on it is nobody's.
void RequestLifecycle::end_exchange(AttemptState& attempt, void (UpstreamExchange::*how)()) {
    const auto exchange = attempt.exchange;
    ((*exchange).*how)();
    environment_.close(*exchange);
}

void RequestLifecycle::stop_attempt(const StopAttempt& stop) {
    AttemptState* attempt = find_attempt(find(stop.request), stop.attempt);
    if (attempt && attempt->in_flight && !attempt->stream_begun)
        end_exchange(*attempt, &UpstreamExchange::cancel);
}

// Guards against pinned states: whatever a read may have left is let go of by the read's own id, even where
// its answer was lost. Skips what an attempt that is out still needs.
void RequestLifecycle::release_leases(Request& request, bool all) {
    const bool writing =
        std::any_of(request.attempts.begin(), request.attempts.end(), [](const AttemptState& attempt) {
            return attempt.in_flight && !attempt.is_prefill && !attempt.stream_begun;
        });
    std::vector<int> kept;
    for (const int n : request.prefill_attempts) {
        const AttemptState& attempt = request.attempts[static_cast<std::size_t>(n)];
        if (!all && (attempt.in_flight || (writing && n == request.state_attempt))) {
            kept.push_back(n);
            continue;
        }
        environment_.send_detached(attempt.address, dialect_->release_request(attempt.id),
                                   program_.router.lease_release_timeout);
        if (n == request.state_attempt) request.state_attempt = -1, request.parameters.clear();
    }
    request.prefill_attempts = std::move(kept);
}

// Sees to it that held_due() is called when a state's time is up.
void RequestLifecycle::schedule_lease_check(Request& request) {
    if (const auto at = request.lease.release_at()) set_timer(Kind::lease, *at, &request);
}

// Guards against a state pinned while one connection after another does not come up. A write whose bytes were
// handed over counts as arrived here: letting go ends the fetch of one that has, and engines of this kind
// free by a lease of their own what nobody fetches. May do harm by a second read where the next connection
// would have come up.
void RequestLifecycle::on_lease_timer(Request& request) {
    const auto at = request.lease.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(request);
    request.lease.on_release_begun(environment_.now());
    request.lease.on_release_answered(
        environment_.now());  // tried elsewhere until one takes it, see Ports::send_aside
    const std::string id = request.request.id;
    feed(LeaseReleased{id});
    Request* own = find(id);
    if (!own) return;
    if (!own->attempts.empty()) {
        AttemptState& latest = own->attempts.back();
        if (latest.in_flight && !latest.is_prefill && !latest.written)
            end_exchange(latest, &UpstreamExchange::cancel);
    }
    if ((own = find(id))) release_leases(*own, false);
}

// ---- answers --------------------------------------------------------------------------------------------

// From here the client is owed nothing; the request stays known while attempts are out.
void RequestLifecycle::close_request(Request& request, int status, const char* ending) {
    request.closed = true;
    request.status = status, request.ending = ending;
    request.closed_at = environment_.now();
    closed_requests_.push_back(request.request.id);
}

void RequestLifecycle::reject(Request& request, int status, const api::ApiError& error, Millis pause,
                              bool retry) {
    if (request.closed) return;
    const bool streaming = request.request.chat.stream && request.request.answer->begun();
    if (streaming) return fail_stream(request, error);
    Client* client = request.request.client;
    request.request.client = nullptr;
    request.request.answer->fail(error);
    close_request(request, status, status == 529 ? "refused" : "failed");
    if (client) client->send_complete(status, error_body_(error, request.request.id), pause, retry);
}

void RequestLifecycle::fail_stream(Request& request, const api::ApiError& error) {
    Client* client = request.request.client;
    request.request.client = nullptr;
    std::string bytes = request.request.answer->fail(error);
    close_request(request, 200, "broken");
    if (!client) return;
    client->send_body(std::move(bytes));
    client->finish_stream();
}

void RequestLifecycle::on_stream_begun(const std::string& id, int attempt) {
    driver_.catch_up();
    Request* request = find(id);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight) return;
    t->stream_begun = true;
    t->last_heard = environment_.now();
    // The write has fetched the state: from now on there is nothing of it to let go of.
    std::erase(request->prefill_attempts, request->state_attempt);
    request->state_attempt = -1, request->parameters.clear();
    request->lease.on_taken();
    set_timer(Kind::stream_idle, t->last_heard + program_.limits.stream_idle_ms, request, attempt);
    const auto exchange = t->exchange;
    feed(FirstToken{id, attempt, t->endpoint, t->last_heard - t->sent});
    request = find(id);
    if (!request) return;
    if (request->closed) {  // its client left before the first token
        exchange->cancel();
        return environment_.close(*exchange);
    }
    if (!request->request.chat.stream || !request->request.client) return;
    request->last_sent_at = environment_.now();
    set_timer(Kind::keepalive, request->last_sent_at + program_.limits.ping_ms, request);
    request->request.client->begin_stream();
    if ((request = find(id)) && request->request.client)
        request->request.client->send_body(request->request.answer->begin());
}

void RequestLifecycle::on_stream_text(const std::string& id, int attempt, std::string_view piece) {
    Request* request = find(id);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight || request->closed) return;
    t->last_heard = request->last_sent_at = environment_.now();
    std::string bytes = request->request.answer->text(piece);
    if (request->request.answer->ended()) {  // a whole answer too long to gather
        Client* client = request->request.client;
        request->request.client = nullptr;
        close_request(*request, 500, "too_long");
        if (client) client->send_complete(500, std::move(bytes), -1, false);
        if ((t = find_attempt(find(id), attempt)) && t->in_flight)
            end_exchange(*t, &UpstreamExchange::cancel);
        return;
    }
    if (!bytes.empty() && request->request.client) request->request.client->send_body(std::move(bytes));
}

void RequestLifecycle::on_attempt_ended(const std::string& id, int attempt, AttemptOutcome outcome) {
    driver_.catch_up();
    Request* request = find(id);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight) return;
    t->in_flight = false;
    const Millis now = environment_.now();
    request->lease.on_attempt_ended(now, never_ran(outcome.result));
    if (t->is_prefill && !never_ran(outcome.result)) {
        const bool done = outcome.result == AttemptResult::prefill_done;
        request->lease.on_acquired(
            now, done ? control::LeaseOrigin::prefill_done : control::LeaseOrigin::prefill_lost, t->endpoint);
        schedule_lease_check(*request);
    }
    if (outcome.result == AttemptResult::prefill_done) {
        request->state_attempt = attempt;
        request->parameters = outcome.parameters;
    } else if (t->is_prefill && never_ran(outcome.result)) {
        std::erase(request->prefill_attempts, attempt);
    }
    if (!t->is_prefill && outcome.result == AttemptResult::rejected && outcome.detail == 1) {
        std::erase(request->prefill_attempts, request->state_attempt);
        request->state_attempt = -1, request->parameters.clear();
    }
    if (outcome.result != AttemptResult::served && outcome.result != AttemptResult::prefill_done) {
        environment_.log("info", "attempt",
                         {{"request", id},
                          {"attempt", attempt},
                          {"endpoint", t->endpoint},
                          {"result", word(outcome.result)},
                          {"why", outcome.why}});
    }
    AttemptEnded ended;
    ended.request = id, ended.attempt = attempt, ended.endpoint = t->endpoint, ended.result = outcome.result;
    ended.took = now - t->sent, ended.detail = outcome.detail, ended.report = outcome.report;
    Client* client = request->request.client;
    if (outcome.begun && !request->closed) {
        request->usage = outcome.usage;
        request->request.client = nullptr;
        std::string bytes =
            outcome.result == AttemptResult::served
                ? request->request.answer->finish(outcome.stop, outcome.usage, outcome.sequence)
                : request->request.answer->fail(kBroken);
        if (request->request.chat.stream) {
            close_request(*request, 200, outcome.result == AttemptResult::served ? "served" : "broken");
            if (client) client->send_body(std::move(bytes)), client->finish_stream();
        } else if (outcome.result == AttemptResult::served) {
            close_request(*request, 200, "served");
            if (client) client->send_complete(200, std::move(bytes), -1, std::nullopt);
        } else {
            const bool harmless =
                program_.router.classes[static_cast<std::size_t>(request->request.cls)].idempotency ==
                Idempotency::idempotent;
            close_request(*request, 500, "broken");
            if (client) client->send_complete(500, std::move(bytes), -1, harmless);
        }
        request = find(id);
    }
    if (request) ended.request_closed = request->closed, closed_requests_.push_back(id);
    feed(std::move(ended));
}

void RequestLifecycle::end_all() {
    std::vector<std::string> ids;
    for (const auto& [id, r] : requests_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const auto& id : ids) {
        Request* request = find(id);
        if (!request) continue;
        if (!request->closed) {
            // Told that a repeat is harmless only where that is sure.
            const bool ran = std::any_of(request->attempts.begin(), request->attempts.end(),
                                         [](const AttemptState& attempt) { return !attempt.is_prefill; });
            const bool harmless =
                !ran || program_.router.classes[static_cast<std::size_t>(request->request.cls)].idempotency ==
                            Idempotency::idempotent;
            reject(*request, harmless ? 529 : 500, harmless ? kOverloaded : kFailed, harmless ? 0 : -1,
                   harmless);
        }
        for (std::size_t n = 0; (request = find(id)) && n < request->attempts.size(); ++n) {
            if (request->attempts[n].in_flight) end_exchange(request->attempts[n], &UpstreamExchange::cancel);
        }
        if ((request = find(id))) {
            closed_requests_.push_back(id);
            forget_closed_requests();
        }
    }
}

// ---- time -----------------------------------------------------------------------------------------------

void RequestLifecycle::set_timer(Kind kind, Millis at, Request* owner, int attempt) {
    // Time-outs of engines are judged only after a look at the sockets; the rest is on time.
    driver_.set_timer(kind, at, owner, attempt, 0,
                      kind == Kind::attempt_timeout || kind == Kind::stream_idle);
}

void RequestLifecycle::on_timer(const Driver::Timer& timer) {
    Request* request = timer.owner;
    const Millis now = environment_.now();
    const std::string id = request->request.id;
    if (timer.kind == Kind::attempt_timeout) {
        AttemptState* attempt = find_attempt(request, timer.attempt);
        if (!attempt || !attempt->in_flight || attempt->stream_begun) return;
        if (!driver_.has_expired(attempt->clock))
            return set_timer(Kind::attempt_timeout, attempt->clock.due(), request, timer.attempt);
        end_exchange(*attempt, attempt->clock.endpoint_at_fault() ? &UpstreamExchange::time_out
                                                                  : &UpstreamExchange::cancel);
    } else if (timer.kind == Kind::stream_idle) {
        // Guards against a begun stream whose engine went silent: nobody else would end it.
        AttemptState* attempt = find_attempt(request, timer.attempt);
        if (!attempt || !attempt->in_flight) return;
        if (request->congested) attempt->last_heard = now;
        if (attempt->last_heard + program_.limits.stream_idle_ms > now) {
            return set_timer(Kind::stream_idle, attempt->last_heard + program_.limits.stream_idle_ms, request,
                             timer.attempt);
        }
        end_exchange(*attempt, &UpstreamExchange::on_stream_stalled);
    } else if (timer.kind == Kind::lease) {
        on_lease_timer(*request);
    } else if (timer.kind == Kind::complete_answer) {
        if (request->closed) return;
        reject(*request, 504, {504, "timeout_error", "the answer took longer than the client waits"}, -1,
               false);
        feed(ClientDisconnected{id});
        if (!(request = find(id))) return;
        for (auto& attempt : request->attempts) {
            if (attempt.in_flight && attempt.stream_begun)
                return end_exchange(attempt, &UpstreamExchange::cancel);
        }
    } else if (timer.kind == Kind::keepalive) {
        if (request->closed || !request->request.client) return;
        if (request->last_sent_at + program_.limits.ping_ms <= now) {
            request->last_sent_at = now;
            if (!request->congested) request->request.client->send_body(request->request.answer->ping());
        }
        set_timer(Kind::keepalive, request->last_sent_at + program_.limits.ping_ms, request);
    }
}

void RequestLifecycle::log_request(const Request& request) {
    api::Json fields = {{"request", request.request.id},
                        {"class", program_.classes[static_cast<std::size_t>(request.request.cls)]},
                        {"ending", request.ending},
                        {"status", request.status},
                        {"ms", std::round(1000 * (request.closed_at - request.arrived)) / 1000},
                        {"attempts", request.attempts.size()},
                        {"output_tokens", request.usage.output}};
    if (request.request.tenant >= 0)
        fields["tenant"] = program_.tenants[static_cast<std::size_t>(request.request.tenant)];
    environment_.log("info", "answer", std::move(fields));
}

}  // namespace gorsenotch::gateway
