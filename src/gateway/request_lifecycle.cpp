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
            return "full";
        case AttemptResult::timed_out:
            return "late";
        case AttemptResult::unreachable:
            return "unreachable";
        case AttemptResult::reset:
            return "reset";
        case AttemptResult::cancelled:
            return "cancelled";
        case AttemptResult::not_sent:
            return "not_sent";
        case AttemptResult::prefill_done:
            return "read_done";
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
    driver_.on_event = [this](Millis now, const Event& e) {
        if (observer) observer->on_event(now, e);
    };
    driver_.on_action = [this](const Action& a) {
        if (observer) observer->on_action(a);
    };
    driver_.execute = [this](const Action& a) { execute(a); };
    driver_.on_idle = [this] { forget_closed_requests(); };
    driver_.on_timer = [this](const Driver::Timer& a) { on_timer(a); };
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

RequestLifecycle::AttemptState* RequestLifecycle::find_attempt(Request* r, int attempt) {
    if (!r || attempt < 0 || static_cast<std::size_t>(attempt) >= r->attempts.size()) return nullptr;
    return &r->attempts[static_cast<std::size_t>(attempt)];
}

// ---- what comes in --------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_list(const std::vector<settings::Engine>& engines, bool saved) {
    EndpointUpdate e;
    e.kind = saved ? EndpointUpdate::Kind::cached : EndpointUpdate::Kind::full;
    endpoints_.clear();
    const Millis now = environment_.now(), wall = environment_.wall_ms();
    for (auto s : engines) {
        // Clocks of machines differ a little: a start in the future is one just now.
        if (s.endpoint.started_at > 0)
            s.endpoint.started_at = std::max(1e-3, now - std::max(0.0, wall - s.endpoint.started_at));
        e.endpoints.push_back(s.endpoint);
        endpoints_[s.endpoint.id] = s;
    }
    feed(std::move(e));
}

bool RequestLifecycle::on_request(NewRequest request) {
    if (requests_.size() >= program_.limits.open_requests) return false;
    driver_.catch_up();
    const Millis now = environment_.now();
    const Millis asked = now - request.age;  // its client has waited since then
    const auto& cls = program_.router.classes[static_cast<std::size_t>(request.cls)];
    Arrival a;
    a.request = request.id;
    a.cls = request.cls, a.tenant = request.tenant;
    a.session = request.chat.session, a.shared_prefix = request.chat.prefix;
    a.prompt_tokens = request.chat.prompt_tokens, a.shared_prefix_tokens = request.chat.prefix_tokens;
    a.max_tokens = static_cast<double>(request.chat.max_tokens);
    a.client_retry = request.client_retry;
    a.deadline = asked + cls.deadline;
    if (request.patience > 0) a.deadline = std::min(a.deadline, asked + request.patience);
    Request& r = requests_.try_emplace(request.id, program_.router.lease_release_timeout).first->second;
    r.request = std::move(request);
    r.arrived = r.last_sent_at = now, r.deadline = a.deadline;
    if (!r.request.chat.stream) {
        // The Router's deadline ends with the first token; a client that gets nothing before the whole still
        // needs its answer while it waits.
        const Millis whole = r.request.patience > 0
                                 ? std::min(r.request.patience, program_.limits.whole_answer_ms)
                                 : program_.limits.whole_answer_ms;
        set_timer(Kind::complete_answer, asked + whole - program_.router.event_interval, &r);
    }
    feed(std::move(a));
    return true;
}

void RequestLifecycle::on_client_disconnected(const std::string& id) {
    driver_.catch_up();
    Request* r = find(id);
    if (!r || r->closed) return;
    r->request.client = nullptr;
    close_request(*r, 0, "client_gone");
    feed(ClientDisconnected{id});
    r = find(id);
    if (!r) return;
    for (auto& t : r->attempts) {  // a stream that nobody reads ends
        if (t.in_flight && t.stream_begun) return end_exchange(t, &UpstreamExchange::cancel);
    }
}

void RequestLifecycle::on_client_congested(const std::string& id, bool congested) {
    Request* r = find(id);
    if (!r || r->congested == congested) return;
    r->congested = congested;
    for (auto& t : r->attempts) {
        if (!t.in_flight || !t.stream_begun) continue;
        t.last_heard = environment_.now();
        environment_.pause(*t.exchange, congested);
    }
}

// ---- the Router -----------------------------------------------------------------------------------------

void RequestLifecycle::forget_closed_requests() {
    for (std::size_t i = 0; i < closed_requests_.size(); ++i) {
        Request* r = find(closed_requests_[i]);
        if (!r || !r->closed) continue;
        if (std::any_of(r->attempts.begin(), r->attempts.end(),
                        [](const AttemptState& t) { return t.in_flight; }))
            continue;
        release_leases(*r, true);
        log_request(*r);
        driver_.cancel_timers(*r);
        requests_.erase(closed_requests_[i]);
    }
    closed_requests_.clear();
}

void RequestLifecycle::execute(const Action& action) {
    std::visit(
        Overloaded{[&](const StartAttempt& a) { start_attempt(a); },
                   [&](const StopAttempt& a) { stop_attempt(a); },
                   [&](const ReleaseLease& a) {
                       if (Request* r = find(a.request)) release_leases(*r, false);
                   },
                   [&](const Reject& a) {
                       if (Request* r = find(a.request)) reject(*r, 529, kOverloaded, a.retry_after, true);
                   },
                   [&](const Fail& a) {
                       if (Request* r = find(a.request)) reject(*r, 500, kFailed, -1, false);
                   },
                   [&](const Log& a) {
                       environment_.log("info", "router", {{"text", a.text}});
                   },
                   // Timers are the driver's. The rest the settings of this program do not permit.
                   [&](const SetTimer&) {}, [&](const ReserveSlot&) {}, [&](const MigrateStream&) {},
                   [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {}, [&](const PollEndpoints&) {}},
        action);
}

void RequestLifecycle::start_attempt(const StartAttempt& a) {
    Request* r = find(a.request);
    if (!r) return;
    const int n = static_cast<int>(r->attempts.size());
    const Millis now = environment_.now();
    AttemptState t;
    t.endpoint = a.endpoint;
    t.id = a.request + "." + std::to_string(n);
    t.sent = t.last_heard = now;
    t.clock = driver_.start_clock(a.timeout, r->deadline);
    const auto it = endpoints_.find(a.endpoint);
    // Guards against a send to a server that the latest list no longer holds; nothing was sent then.
    if (it == endpoints_.end() || it->second.endpoint.status == EndpointStatus::removed || r->closed) {
        t.in_flight = false;
        r->attempts.push_back(std::move(t));
        AttemptEnded o;
        o.request = a.request, o.attempt = n, o.endpoint = a.endpoint, o.result = AttemptResult::not_sent;
        o.request_closed = r->closed;
        return feed(o);
    }
    const Role role = program_.router.kinds[static_cast<std::size_t>(it->second.endpoint.kind)].role;
    t.is_prefill = role == Role::prefill;
    t.address = it->second.address;
    const engine::AttemptInfo info{
        t.id, r->request.key, program_.classes[static_cast<std::size_t>(r->request.cls)], r->deadline - now};
    auto wanted = t.is_prefill
                      ? dialect_->prefill_request(r->request.chat, info)
                      : dialect_->decode_request(r->request.chat, info,
                                                 r->state_attempt >= 0 ? r->parameters : std::string());
    t.exchange = std::make_shared<UpstreamExchange>(*dialect_, t.is_prefill, program_.limits.event_bytes,
                                                    std::size_t{262144});
    const std::string id = a.request;
    t.exchange->on_sent = [this, id, n] {
        Request* own = find(id);
        AttemptState* sent = find_attempt(own, n);
        if (!sent) return;
        driver_.on_request_written(sent->clock);
        sent->written = true;
        // Enough here, unlike on the platform: see held_due().
        own->lease.on_attempt_answered(environment_.now());
    };
    t.exchange->on_stream_begun = [this, id, n] { on_stream_begun(id, n); };
    t.exchange->on_text = [this, id, n](std::string_view piece) { on_stream_text(id, n, piece); };
    t.exchange->on_ended = [this, id, n](AttemptOutcome e) { on_attempt_ended(id, n, std::move(e)); };
    if (t.is_prefill) r->prefill_attempts.push_back(n);
    r->lease.on_attempt_begun(now, a.endpoint, !t.is_prefill);
    schedule_lease_check(*r);
    set_timer(Kind::attempt_timeout, t.clock.due(), r, n);
    const auto exchange = t.exchange;
    const std::string address = t.address;
    r->attempts.push_back(std::move(t));
    environment_.start_exchange(address, std::move(wanted), exchange);
}

// Ends an attempt from this side. The connection is closed first: what still comes on it is nobody's.
void RequestLifecycle::end_exchange(AttemptState& t, void (UpstreamExchange::*how)()) {
    const auto exchange = t.exchange;
    ((*exchange).*how)();
    environment_.close(*exchange);
}

void RequestLifecycle::stop_attempt(const StopAttempt& a) {
    AttemptState* t = find_attempt(find(a.request), a.attempt);
    if (t && t->in_flight && !t->stream_begun) end_exchange(*t, &UpstreamExchange::cancel);
}

// Guards against pinned states: whatever a read may have left is let go of by the read's own id, even where
// its answer was lost. Skips what an attempt that is out still needs.
void RequestLifecycle::release_leases(Request& r, bool all) {
    const bool writing = std::any_of(r.attempts.begin(), r.attempts.end(), [](const AttemptState& t) {
        return t.in_flight && !t.is_prefill && !t.stream_begun;
    });
    std::vector<int> kept;
    for (const int n : r.prefill_attempts) {
        const AttemptState& t = r.attempts[static_cast<std::size_t>(n)];
        if (!all && (t.in_flight || (writing && n == r.state_attempt))) {
            kept.push_back(n);
            continue;
        }
        environment_.send_detached(t.address, dialect_->release_request(t.id),
                                   program_.router.lease_release_timeout);
        if (n == r.state_attempt) r.state_attempt = -1, r.parameters.clear();
    }
    r.prefill_attempts = std::move(kept);
}

// Sees to it that held_due() is called when a state's time is up.
void RequestLifecycle::schedule_lease_check(Request& r) {
    if (const auto at = r.lease.release_at()) set_timer(Kind::lease, *at, &r);
}

// Guards against a state pinned while one connection after another does not come up. A write whose bytes were
// handed over counts as arrived here: letting go ends the fetch of one that has, and engines of this kind
// free by a lease of their own what nobody fetches. May do harm by a second read where the next connection
// would have come up.
void RequestLifecycle::on_lease_timer(Request& r) {
    const auto at = r.lease.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(r);
    r.lease.on_release_begun(environment_.now());
    r.lease.on_release_answered(
        environment_.now());  // tried elsewhere until one takes it, see Ports::send_aside
    const std::string id = r.request.id;
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
void RequestLifecycle::close_request(Request& r, int status, const char* ending) {
    r.closed = true;
    r.status = status, r.ending = ending;
    r.closed_at = environment_.now();
    closed_requests_.push_back(r.request.id);
}

void RequestLifecycle::reject(Request& r, int status, const api::ApiError& e, Millis pause, bool retry) {
    if (r.closed) return;
    const bool streaming = r.request.chat.stream && r.request.answer->begun();
    if (streaming) return fail_stream(r, e);
    Client* client = r.request.client;
    r.request.client = nullptr;
    r.request.answer->fail(e);
    close_request(r, status, status == 529 ? "refused" : "failed");
    if (client) client->send_complete(status, error_body_(e, r.request.id), pause, retry);
}

void RequestLifecycle::fail_stream(Request& r, const api::ApiError& e) {
    Client* client = r.request.client;
    r.request.client = nullptr;
    std::string bytes = r.request.answer->fail(e);
    close_request(r, 200, "broken");
    if (!client) return;
    client->send_body(std::move(bytes));
    client->finish_stream();
}

void RequestLifecycle::on_stream_begun(const std::string& id, int attempt) {
    driver_.catch_up();
    Request* r = find(id);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight) return;
    t->stream_begun = true;
    t->last_heard = environment_.now();
    // The write has fetched the state: from now on there is nothing of it to let go of.
    std::erase(r->prefill_attempts, r->state_attempt);
    r->state_attempt = -1, r->parameters.clear();
    r->lease.on_taken();
    set_timer(Kind::stream_idle, t->last_heard + program_.limits.stream_idle_ms, r, attempt);
    const auto exchange = t->exchange;
    feed(FirstToken{id, attempt, t->endpoint, t->last_heard - t->sent});
    r = find(id);
    if (!r) return;
    if (r->closed) {  // its client left before the first token
        exchange->cancel();
        return environment_.close(*exchange);
    }
    if (!r->request.chat.stream || !r->request.client) return;
    r->last_sent_at = environment_.now();
    set_timer(Kind::keepalive, r->last_sent_at + program_.limits.ping_ms, r);
    r->request.client->begin_stream();
    if ((r = find(id)) && r->request.client) r->request.client->send_body(r->request.answer->begin());
}

void RequestLifecycle::on_stream_text(const std::string& id, int attempt, std::string_view piece) {
    Request* r = find(id);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight || r->closed) return;
    t->last_heard = r->last_sent_at = environment_.now();
    std::string bytes = r->request.answer->text(piece);
    if (r->request.answer->ended()) {  // a whole answer too long to gather
        Client* client = r->request.client;
        r->request.client = nullptr;
        close_request(*r, 500, "too_long");
        if (client) client->send_complete(500, std::move(bytes), -1, false);
        if ((t = find_attempt(find(id), attempt)) && t->in_flight)
            end_exchange(*t, &UpstreamExchange::cancel);
        return;
    }
    if (!bytes.empty() && r->request.client) r->request.client->send_body(std::move(bytes));
}

void RequestLifecycle::on_attempt_ended(const std::string& id, int attempt, AttemptOutcome e) {
    driver_.catch_up();
    Request* r = find(id);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight) return;
    t->in_flight = false;
    const Millis now = environment_.now();
    r->lease.on_attempt_ended(now, never_ran(e.result));
    if (t->is_prefill && !never_ran(e.result)) {
        const bool done = e.result == AttemptResult::prefill_done;
        r->lease.on_acquired(
            now, done ? control::LeaseOrigin::prefill_done : control::LeaseOrigin::prefill_lost, t->endpoint);
        schedule_lease_check(*r);
    }
    if (e.result == AttemptResult::prefill_done) {
        r->state_attempt = attempt;
        r->parameters = e.parameters;
    } else if (t->is_prefill && never_ran(e.result)) {
        std::erase(r->prefill_attempts, attempt);
    }
    if (!t->is_prefill && e.result == AttemptResult::rejected && e.detail == 1) {
        std::erase(r->prefill_attempts, r->state_attempt);
        r->state_attempt = -1, r->parameters.clear();
    }
    if (e.result != AttemptResult::served && e.result != AttemptResult::prefill_done) {
        environment_.log("info", "attempt",
                         {{"request", id},
                          {"attempt", attempt},
                          {"server", t->endpoint},
                          {"result", word(e.result)},
                          {"why", e.why}});
    }
    AttemptEnded o;
    o.request = id, o.attempt = attempt, o.endpoint = t->endpoint, o.result = e.result;
    o.took = now - t->sent, o.detail = e.detail, o.report = e.report;
    Client* client = r->request.client;
    if (e.begun && !r->closed) {
        r->usage = e.usage;
        r->request.client = nullptr;
        std::string bytes = e.result == AttemptResult::served
                                ? r->request.answer->finish(e.stop, e.usage, e.sequence)
                                : r->request.answer->fail(kBroken);
        if (r->request.chat.stream) {
            close_request(*r, 200, e.result == AttemptResult::served ? "served" : "broken");
            if (client) client->send_body(std::move(bytes)), client->finish_stream();
        } else if (e.result == AttemptResult::served) {
            close_request(*r, 200, "served");
            if (client) client->send_complete(200, std::move(bytes), -1, std::nullopt);
        } else {
            const bool harmless =
                program_.router.classes[static_cast<std::size_t>(r->request.cls)].idempotency ==
                Idempotency::idempotent;
            close_request(*r, 500, "broken");
            if (client) client->send_complete(500, std::move(bytes), -1, harmless);
        }
        r = find(id);
    }
    if (r) o.request_closed = r->closed, closed_requests_.push_back(id);
    feed(std::move(o));
}

void RequestLifecycle::end_all() {
    std::vector<std::string> ids;
    for (const auto& [id, r] : requests_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const auto& id : ids) {
        Request* r = find(id);
        if (!r) continue;
        if (!r->closed) {
            // Told that a repeat is harmless only where that is sure.
            const bool ran = std::any_of(r->attempts.begin(), r->attempts.end(),
                                         [](const AttemptState& t) { return !t.is_prefill; });
            const bool harmless =
                !ran || program_.router.classes[static_cast<std::size_t>(r->request.cls)].idempotency ==
                            Idempotency::idempotent;
            reject(*r, harmless ? 529 : 500, harmless ? kOverloaded : kFailed, harmless ? 0 : -1, harmless);
        }
        for (std::size_t n = 0; (r = find(id)) && n < r->attempts.size(); ++n) {
            if (r->attempts[n].in_flight) end_exchange(r->attempts[n], &UpstreamExchange::cancel);
        }
        if ((r = find(id))) {
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

void RequestLifecycle::on_timer(const Driver::Timer& a) {
    Request* r = a.owner;
    const Millis now = environment_.now();
    const std::string id = r->request.id;
    if (a.kind == Kind::attempt_timeout) {
        AttemptState* t = find_attempt(r, a.attempt);
        if (!t || !t->in_flight || t->stream_begun) return;
        if (!driver_.has_expired(t->clock))
            return set_timer(Kind::attempt_timeout, t->clock.due(), r, a.attempt);
        end_exchange(*t,
                     t->clock.endpoint_at_fault() ? &UpstreamExchange::time_out : &UpstreamExchange::cancel);
    } else if (a.kind == Kind::stream_idle) {
        // Guards against a begun stream whose engine went silent: nobody else would end it.
        AttemptState* t = find_attempt(r, a.attempt);
        if (!t || !t->in_flight) return;
        if (r->congested) t->last_heard = now;
        if (t->last_heard + program_.limits.stream_idle_ms > now) {
            return set_timer(Kind::stream_idle, t->last_heard + program_.limits.stream_idle_ms, r, a.attempt);
        }
        end_exchange(*t, &UpstreamExchange::on_stream_stalled);
    } else if (a.kind == Kind::lease) {
        on_lease_timer(*r);
    } else if (a.kind == Kind::complete_answer) {
        if (r->closed) return;
        reject(*r, 504, {504, "timeout_error", "the answer took longer than the client waits"}, -1, false);
        feed(ClientDisconnected{id});
        if (!(r = find(id))) return;
        for (auto& t : r->attempts) {
            if (t.in_flight && t.stream_begun) return end_exchange(t, &UpstreamExchange::cancel);
        }
    } else if (a.kind == Kind::keepalive) {
        if (r->closed || !r->request.client) return;
        if (r->last_sent_at + program_.limits.ping_ms <= now) {
            r->last_sent_at = now;
            if (!r->congested) r->request.client->send_body(r->request.answer->ping());
        }
        set_timer(Kind::keepalive, r->last_sent_at + program_.limits.ping_ms, r);
    }
}

void RequestLifecycle::log_request(const Request& r) {
    api::Json fields = {{"request", r.request.id},
                        {"class", program_.classes[static_cast<std::size_t>(r.request.cls)]},
                        {"ending", r.ending},
                        {"status", r.status},
                        {"ms", std::round(1000 * (r.closed_at - r.arrived)) / 1000},
                        {"attempts", r.attempts.size()},
                        {"output_tokens", r.usage.output}};
    if (r.request.tenant >= 0)
        fields["tenant"] = program_.tenants[static_cast<std::size_t>(r.request.tenant)];
    environment_.log("info", "answer", std::move(fields));
}

}  // namespace gorsenotch::gateway
