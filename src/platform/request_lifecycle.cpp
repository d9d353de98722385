#include "platform/request_lifecycle.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>

#include "control/overloaded.h"

namespace gorsenotch::platform {
namespace {

// A begun stream whose server says nothing for so long is broken. Below the 5 s within which a client must
// see its end, above what a server eight times too slow takes for a few tokens.
constexpr Millis kSilence = 4000;
// One that has said nothing for so long as this process is about to be killed does not end before that.
constexpr Millis kSilentAtStop = 1000;
}  // namespace

RequestLifecycle::RequestLifecycle(const settings::NamedSettings& named, std::uint64_t seed,
                                   EndpointList& hosts, Environment& ports)
    : named_(named),
      endpoints_(hosts),
      environment_(ports),
      driver_(named.settings, seed, &Request::timers, &Request::timeouts),
      releases_(named.settings.lease_release_timeout, hosts, ports,
                [this](Millis at, std::uint64_t id, bool timeout) {
                    driver_.set_timer(Kind::release, at, nullptr, 0, id, timeout);
                }),
      health_checker_(control::KvLease(named.settings.lease_release_timeout).duration(), hosts, ports,
                      [this](Millis at, EndpointId server) {
                          driver_.set_timer(Kind::health_check, at, nullptr, 0, server, true);
                      }),
      access_log_(named.settings),
      invariant_checker_(named.settings) {
    invariant_checker_.on_violation = [this](control::Invariant rule, std::uint64_t handle,
                                             const std::string& what) { on_violation(rule, handle, what); };
    releases_.on_call = [this](const LeaseReleaser::Order& order) {
        invariant_checker_.on_release_called(order.request);
    };
    releases_.on_ended = [this](const LeaseReleaser::Ended& ended) { on_release_ended(ended); };
    driver_.now = [this] { return environment_.now(); };
    driver_.execute = [this](const Action& a) { execute(a); };
    driver_.on_idle = [this] { on_router_idle(); };
    driver_.on_timer = [this](const Driver::Timer& a) { on_timer(a); };
}

RequestLifecycle::Request* RequestLifecycle::find(std::uint64_t handle) {
    const auto it = requests_.find(handle);
    return it == requests_.end() ? nullptr : &it->second;
}

RequestLifecycle::Request* RequestLifecycle::find(const RequestId& id) {
    std::uint64_t handle = 0;
    std::from_chars(id.data(), id.data() + id.size(), handle);
    return find(handle);
}

RequestLifecycle::AttemptState* RequestLifecycle::find_attempt(Request* r, int attempt) {
    if (!r || attempt < 0 || static_cast<std::size_t>(attempt) >= r->attempts.size()) return nullptr;
    return &r->attempts[static_cast<std::size_t>(attempt)];
}

bool RequestLifecycle::attempt_in_flight(const Request& r) {
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [](const AttemptState& t) { return t.in_flight; });
}

bool RequestLifecycle::stream_begun(const Request& r) {
    return !r.attempts.empty() && r.attempts.back().stream_begun;
}

std::optional<EndpointStatus> RequestLifecycle::endpoint_status(EndpointId server) {
    const DiscoveredEndpoint* host = endpoints_.find(server);
    return host ? std::optional(host->endpoint.status) : std::nullopt;
}

// Guards against an attempt that was right when it was decided and is wrong when its connection is up: the
// client has gone (its close may wait unread behind other work), the request has its answer, the server
// drains, the time or the window for repeats is over. Covers every wait between decision and first byte.
// Costs one system call each time.
bool RequestLifecycle::may_start(std::uint64_t handle, EndpointId server, Millis send_by, Millis since,
                                 bool takes) {
    Request* r = find(handle);
    control::SendPreconditions facts;
    facts.request_over = !r || r->closed;
    facts.client_disconnected = !facts.request_over && r->client && r->client->has_disconnected();
    facts.endpoint_status = endpoint_status(server);
    facts.now = environment_.now();
    facts.send_by = send_by;
    facts.lease_released = takes && r && r->lease.released_since(since);
    facts.deadline = r ? r->deadline : 0;
    const auto denial = control::check_send(facts);
    if (!denial) return true;
    ++counters_.send_blocks[static_cast<std::size_t>(*denial)];
    if (*denial == control::SendBlockReason::client_disconnected) record_client_disconnect(*r);
    return false;
}

// A breach of a rule that no standstill explains ends the process in sanitizer builds; otherwise it is told.
void RequestLifecycle::on_violation(control::Invariant rule, std::uint64_t handle, const std::string& what) {
    const Request* r = find(handle);
    const std::string name = control::kInvariantNames[static_cast<std::size_t>(rule)];
    environment_.log("error", "violation", name + " " + (r ? r->inbound.txn : "?") + " " + what);
#ifdef __SANITIZE_ADDRESS__
    if (rule != control::Rule::late_answer) std::abort();
#endif
}

// ---- what comes in --------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_update(EndpointUpdate e) {
    const Millis now = environment_.now();
    for (const auto& entry : e.endpoints) invariant_checker_.on_endpoint_listed(entry.id, entry.status, now);
    if (e.kind == EndpointUpdate::Kind::full) invariant_checker_.on_full_list(e.endpoints, now);
    health_checker_.forget_unlisted();
    driver_.feed(std::move(e));
}

std::uint64_t RequestLifecycle::on_request(Inbound in, Millis age, Client* client) {
    driver_.catch_up();
    if (open(in.txn)) return 0;
    const Millis now = environment_.now();
    const std::uint64_t handle = ++last_handle_;
    Arrival a = in.arrival;
    a.request = std::to_string(handle);
    a.deadline = now - age + in.arrival.deadline;
    open_transactions_.insert(in.txn);
    Request& r = requests_.try_emplace(handle, named_.settings.lease_release_timeout).first->second;
    r.inbound = std::move(in);
    r.handle = handle, r.client = client, r.arrived = now - age, r.deadline = a.deadline;
    ++counters_.arrived;
    invariant_checker_.on_request_accepted(handle, a.cls, a.deadline);
    driver_.feed(std::move(a));
    return handle;
}

void RequestLifecycle::on_client_disconnected(std::uint64_t handle) {
    driver_.catch_up();
    Request* r = find(handle);
    if (!r || r->closed) return;
    record_client_disconnect(*r);
    driver_.feed(ClientDisconnected{std::to_string(handle)});
    if ((r = find(handle))) stop_reading_stream(*r, "the client left");
}

void RequestLifecycle::record_client_disconnect(Request& r) {
    ++counters_.client_disconnected;
    invariant_checker_.on_client_disconnected(r.handle);
    log_request(r, Disposition::gone);
    r.client = nullptr;
    close_request(r);
}

void RequestLifecycle::on_client_congested(std::uint64_t handle, bool congested) {
    Request* r = find(handle);
    if (!r || r->congested == congested) return;
    r->congested = congested;
    if (!stream_begun(*r) || !r->attempts.back().in_flight) return;
    r->attempts.back().last_heard = environment_.now();
    environment_.pause(*r->attempts.back().exchange, congested);
}

// ---- the Router's actions -------------------------------------------------------------------------------

void RequestLifecycle::execute(const Action& action) {
    std::visit(Overloaded{[&](const gorsenotch::StartAttempt& a) { start_attempt(a); },
                          [&](const StopAttempt& a) {
                              AttemptState* t = find_attempt(find(a.request), a.attempt);
                              if (t && t->in_flight && !t->stream_begun)
                                  abort_attempt(*t, AttemptResult::cancelled, "called off");
                          },
                          [&](const ReserveSlot& a) { reserve_slot(a); },
                          [&](const ReleaseLease& a) {
                              // UpstreamCall out once the Router is at rest, if no attempt follows.
                              if (const Request* r = find(a.request)) revisit_when_idle(r->handle);
                          },
                          [&](const Reject& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counters_.rejected;
                                  send_final(*r, 503, named_.settings.retry_after ? a.retry_after : 0,
                                             "refused", a.cause);
                              }
                          },
                          [&](const Fail& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counters_.failed;
                                  send_final(*r, 502, 0, "failed; it may have run", a.cause);
                              }
                          },
                          [&](const MigrateStream& a) {
                              Request* r = find(a.request);
                              if (r && !r->closed) migrate(*r, "moved");
                          },
                          [&](const Log& a) { environment_.log("debug", "router", a.text); },
                          // Timers are the driver's; probes are not spoken here; the watch is always open.
                          [&](const SetTimer&) {}, [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {},
                          [&](const PollEndpoints&) {}},
               action);
}

void RequestLifecycle::start_attempt(const gorsenotch::StartAttempt& a) {
    Request* r = find(a.request);
    if (!r) return;
    const std::uint64_t handle = r->handle;
    const int n = static_cast<int>(r->attempts.size());
    const Millis now = environment_.now();
    const DiscoveredEndpoint* host = endpoints_.find(a.endpoint);
    AttemptState t;
    t.endpoint = a.endpoint;
    t.sent = t.last_heard = now;
    t.clock = driver_.start_clock(a.timeout, r->deadline);
    if (!may_start(handle, a.endpoint, a.send_by, now, false)) {
        t.in_flight = false;
        r->attempts.push_back(std::move(t));
        AttemptEnded o;
        o.request = a.request, o.attempt = n, o.endpoint = a.endpoint, o.result = AttemptResult::not_sent;
        o.request_closed = r->closed;
        ++counters_.results[static_cast<int>(o.result)];
        return driver_.feed(std::move(o));
    }
    t.is_prefill = named_.settings.kinds[static_cast<std::size_t>(host->endpoint.kind)].role == Role::prefill;
    t.exchange = std::make_shared<UpstreamExchange>(t.is_prefill ? UpstreamExchange::Kind::prefill
                                                                 : UpstreamExchange::Kind::decode);
    const bool takes = !t.is_prefill && r->lease.held();
    t.exchange->may_start_hook = [this, handle, server = a.endpoint, by = a.send_by, now, takes] {
        return may_start(handle, server, by, now, takes);
    };
    t.exchange->on_sent = [this, handle, n, to = host->endpoint] {
        invariant_checker_.on_attempt_sent(
            handle, n, to, named_.settings.kinds[static_cast<std::size_t>(to.kind)].role, environment_.now());
    };
    t.exchange->on_written = [this, handle, n] {
        Request* own = find(handle);
        AttemptState* it = find_attempt(own, n);
        if (!it) return;
        driver_.on_request_written(it->clock);
        it->written = true;
        const Millis usual =
            it->is_prefill ? prefill_times_.usual_duration(own->inbound.arrival.prompt_tokens) : 0;
        own->lease.on_request_written(environment_.now(), environment_.now() + usual);
        schedule_lease_check(*own);
    };
    t.exchange->on_first_byte = [this, handle, server = a.endpoint, now] {
        health_checker_.on_answered(server, now);
        invariant_checker_.on_endpoint_answered(environment_.now());
        Request* own = find(handle);
        if (!own) return;
        own->lease.on_attempt_answered(environment_.now());
        if (!own->attempts.back().is_prefill) invariant_checker_.on_decode_answered(handle);
    };
    t.exchange->on_first_event = [this, handle, n](std::string_view events) {
        on_first_event(handle, n, events);
    };
    t.exchange->on_more_events = [this, handle, n](std::string_view events) {
        on_more_events(handle, n, events);
    };
    t.exchange->on_ended = [this, handle, n](const AttemptOutcome& e) { on_attempt_ended(handle, n, e); };
    r->lease.on_attempt_begun(now, a.endpoint, !t.is_prefill);
    // A release that is still under way would take what the write is to take. A read has nothing to lose by
    // it, and what stands from before is let go of meanwhile.
    if (!t.is_prefill) releases_.withdraw(r->release);
    schedule_lease_check(*r);
    std::string request;
    request.reserve(r->inbound.head.size() + r->inbound.body.size() + 128);
    request.append(r->inbound.head);
    // Guards against a server that is told more time than is left: the connection may take long to come up.
    t.exchange->on_stamp = [this, handle, n, at = request.size()](std::string& text) {
        const AttemptState* own = find_attempt(find(handle), n);
        if (!own) return;
        const control::AttemptClock& time = own->clock;
        const Millis until = time.timeout > 0 ? std::min(time.sent_at + time.timeout, time.request_deadline)
                                              : time.request_deadline;
        const auto left = static_cast<long long>(std::max(1.0, until - environment_.now()));
        text.insert(at, "x-remaining: " + std::to_string(left) + "m\r\n");
    };
    request.append("host: ")
        .append(host->dial_address)
        .append("\r\ncontent-length: ")
        .append(std::to_string(r->inbound.body.size()))
        .append("\r\n\r\n")
        .append(r->inbound.body);
    driver_.set_timer(Kind::attempt_timeout, t.clock.due(), r, n, 0, true);
    const auto attempt = t.exchange;
    const std::string address = host->dial_address;
    ++counters_.attempts, ++attempts_in_flight_;
    r->attempts.push_back(std::move(t));
    environment_.start_exchange(address, std::move(request), attempt);
}

// Ends an attempt from this side. Its connection is closed first: what still comes on it is nobody's.
void RequestLifecycle::abort_attempt(AttemptState& t, AttemptResult result, const char* why) {
    const auto attempt = t.exchange;
    environment_.close(*attempt);
    attempt->abort(result, why);
}

void RequestLifecycle::reserve_slot(const ReserveSlot& a) {
    Request* r = find(a.request);
    if (!r || r->closed || endpoint_status(a.endpoint) != EndpointStatus::healthy) return;
    const std::uint64_t handle = r->handle;
    const EndpointId server = a.endpoint;
    r->lease.on_acquired(environment_.now(), control::LeaseOrigin::slot_requested, server);
    schedule_lease_check(*r);
    r->reservation = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    r->reservation->may_start_hook = [this, server] {
        return endpoint_status(server) == EndpointStatus::healthy;
    };
    r->reservation->on_ended = [this, handle, server](const AttemptOutcome& e) {
        Request* it = find(handle);
        // 204 and no answer say nothing: a place may be held all the same, and is let go of in the end.
        if (!it || (e.status != 200 && e.status != 409)) return;
        driver_.feed(ReservationReply{std::to_string(handle), server, e.status == 200});
    };
    driver_.set_timer(Kind::reservation, environment_.now() + 1000, r, 0, 0, true);
    const auto call = r->reservation;
    const std::string& dial = endpoints_.find(server)->dial_address;
    environment_.start_exchange(dial, lease_call("POST", r->inbound.txn, dial), call);
}

// LeaseReleaser all that may be held for the request. An attempt that is out keeps what it has reached, so
// this does not wait for its end: see control/kv_lease.
void RequestLifecycle::release_lease(Request& r, ReleaseReason reason) {
    if (!r.lease.held()) return;
    // What is under way may have been answered before the latest came to be held.
    if (releases_.in_progress(r.release)) return releases_.repeat(r.release);
    r.lease.on_release_begun(environment_.now());
    LeaseReleaser::Order order;
    order.txn = r.inbound.txn;
    order.request = r.handle;
    order.holder = r.lease.timeline().holder;
    order.uncertain = r.lease.uncertain();
    if (attempt_in_flight(r)) order.silent = r.lease.timeline().awaited;
    order.reason = reason;
    ++counters_.release_reasons[static_cast<std::size_t>(reason)];
    order.held = describe_lease(r);
    r.release = releases_.begin(std::move(order));
}

// Sees to it that held_due() is called when a release has to begin.
void RequestLifecycle::schedule_lease_check(Request& r) {
    const auto ask = r.lease.health_check_at();
    const auto at = ask ? ask : r.lease.release_at();
    if (!at || (r.lease_check_at >= 0 && r.lease_check_at <= *at)) return;
    r.lease_check_at = *at;
    driver_.set_timer(Kind::lease, *at, &r, 0, 0, true);
}

void RequestLifecycle::on_lease_timer(Request& r) {
    r.lease_check_at = -1;
    if (r.lease.prefill_in_flight()) {
        const EndpointId reader = r.lease.timeline().awaited;
        const Millis sent = r.lease.prefill_written_at();
        const bool unusual =
            prefill_times_.is_unusual(environment_.now() - sent, r.inbound.arrival.prompt_tokens);
        // Where it could not be asked, as nothing of ours is over yet, one that has ever answered is trusted.
        const Millis since = health_checker_.can_check() ? sent : 0;
        const auto heard = health_checker_.answered_since(reader, since);
        if (heard && !unusual) r.lease.on_endpoint_answered(since > 0 ? *heard : environment_.now());
        const auto ask = r.lease.health_check_at();
        if (ask && *ask <= environment_.now()) {
            r.lease.on_health_check_sent();
            health_checker_.check(reader);
        }
    }
    const auto at = r.lease.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(r);
    release_expiring_lease(r);
}

void RequestLifecycle::release_expiring_lease(Request& r) {
    if (r.lease.only_unanswered_prefill()) return release_lease(r, ReleaseReason::prefill_unanswered);
    r.lease.on_expiring(environment_.now());
    if (attempt_in_flight(r)) {
        if (DiscoveredEndpoint* silent = endpoints_.find(r.lease.timeline().awaited))
            silent->last_failure = environment_.now();
    }
    release_lease(r, ReleaseReason::lease_expiring);
    const std::uint64_t handle = r.handle;
    driver_.feed(LeaseReleased{std::to_string(handle)});
    Request* own = find(handle);
    if (!own || own->attempts.empty()) return;
    // What waits for a connection would find nothing to take: the time is better used for another read.
    AttemptState& latest = own->attempts.back();
    if (latest.in_flight && !latest.is_prefill && !latest.written)
        abort_attempt(latest, AttemptResult::cancelled, "its state was let go of");
}

std::string RequestLifecycle::endpoint_name(EndpointId server) {
    const DiscoveredEndpoint* host = endpoints_.find(server);
    return host ? host->name : "gone";
}

std::string RequestLifecycle::describe_lease(const Request& r) {
    const auto& timeline = r.lease.timeline();
    return describe_timeline(timeline, r.arrived, environment_.now(), endpoint_name(timeline.holder),
                             endpoint_name(timeline.awaited));
}

void RequestLifecycle::on_release_ended(const LeaseReleaser::Ended& ended) {
    ++counters_.release_ends[static_cast<std::size_t>(ended.end)];
    if (ended.end == ReleaseEnd::answered) {
        invariant_checker_.on_endpoint_answered(environment_.now());
        invariant_checker_.on_release_answered(ended.order.request, ended.sent);
    }
    if (Request* r = find(ended.order.request)) {
        if (ended.end == ReleaseEnd::answered) {
            const Millis age = environment_.now() - r->lease.timeline().acquired;
            if (!r->lease.only_unanswered_prefill())
                counters_.longest_lease = std::max(counters_.longest_lease, age);
            r->lease.on_release_answered(environment_.now());
        } else {
            r->lease.on_release_failed();
        }
        schedule_lease_check(*r);
    }
    const bool bad = ended.end == ReleaseEnd::unanswered;
    const bool notable = bad || ended.order.reason == ReleaseReason::lease_expiring || ended.calls > 1;
    if (!notable || !release_log_budget_.take(environment_.now())) return;
    std::string text = ended.order.txn;
    text.append(" ").append(kReleaseEnds[static_cast<std::size_t>(ended.end)]);
    if (ended.end == ReleaseEnd::answered) text.append(" by ").append(endpoint_name(ended.by));
    text.append(" after ").append(std::to_string(std::lround(ended.took)));
    text.append(" calls ").append(std::to_string(ended.calls));
    text.append(" reason ").append(kReleaseReasons[static_cast<std::size_t>(ended.order.reason)]);
    text.append("; ").append(ended.order.held);
    environment_.log(bad ? "warn" : "info", bad ? "release_failed" : "release", text);
}

// ---- answers --------------------------------------------------------------------------------------------

// From here the client is owed nothing; the request stays known while attempts are out.
void RequestLifecycle::close_request(Request& r) {
    r.closed = true;
    r.inbound.body = std::string();
    revisit_when_idle(r.handle);
}

// `disposition`: nothing for a whole answer, whose times say how it fared.
void RequestLifecycle::log_request(const Request& r, std::optional<Disposition> disposition,
                                   std::optional<EndCause> cause) {
    RequestRecord p;
    p.txn = r.inbound.txn, p.cls = r.inbound.arrival.cls, p.prompt_tokens = r.inbound.arrival.prompt_tokens;
    p.tokens = r.tokens;
    p.cause = cause;
    if (r.lease.held()) p.lease = describe_lease(r);
    p.first = r.stream_begun_at < 0 ? -1 : r.stream_begun_at - r.arrived;
    p.ended = environment_.now() - r.arrived;
    for (const auto& t : r.attempts) {
        p.attempts.push_back(
            {{}, t.is_prefill, t.in_flight, t.result, t.sent - r.arrived, t.ended - r.arrived});
    }
    const Disposition f = disposition ? *disposition : access_log_.served(p);
    if (!access_log_.count(environment_.now(), f, cause)) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
        const DiscoveredEndpoint* host = endpoints_.find(r.attempts[i].endpoint);
        p.attempts[i].server = host ? host->name : "gone";
    }
    environment_.log("info", "request", access_log_.line(p, f));
}

void RequestLifecycle::send_final(Request& r, int status, Millis pause, const char* why, EndCause cause) {
    if (r.closed) return;
    log_request(r,
                stream_begun(r)      ? Disposition::broken
                : status != 503      ? Disposition::failed
                : r.attempts.empty() ? Disposition::refused_unsent
                                     : Disposition::refused,
                cause);
    Client* client = r.client;
    r.client = nullptr;
    close_request(r);
    if (!client) return;
    if (stream_begun(r)) return client->abort_stream();
    invariant_checker_.on_answered(r.handle, status == 503, environment_.now());
    client->send_final(status, pause, why);
}

void RequestLifecycle::abort_stream(Request& r) {
    Client* client = r.client;
    r.client = nullptr;
    close_request(r);
    if (client) client->abort_stream();
}

// A stream that nobody reads any more ends.
void RequestLifecycle::stop_reading_stream(Request& r, const char* why) {
    if (stream_begun(r) && r.attempts.back().in_flight)
        abort_attempt(r.attempts.back(), AttemptResult::cancelled, why);
}

void RequestLifecycle::migrate(Request& r, const char* why) {
    ++counters_.migrated;
    log_request(r, Disposition::moved);
    abort_stream(r);
    stop_reading_stream(r, why);
}

void RequestLifecycle::on_first_event(std::uint64_t handle, int attempt, std::string_view events) {
    driver_.catch_up();
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight) return;
    t->stream_begun = true;
    t->last_heard = r->stream_begun_at = environment_.now();
    if (DiscoveredEndpoint* h = endpoints_.find(t->endpoint)) h->last_success = t->last_heard;
    invariant_checker_.on_lease_taken(handle);
    r->lease.on_taken();  // the write has taken the state; the rest is released with it
    r->inbound.body = std::string();
    driver_.set_timer(Kind::stream_idle, t->last_heard + kSilence, r, attempt, 0, true);
    if (r->client) {
        invariant_checker_.on_answered(handle, false, t->last_heard);
        r->client->begin_stream(events);
    }
    r = find(handle);
    if (!r) return;
    t = find_attempt(r, attempt);
    driver_.feed(FirstToken{std::to_string(handle), attempt, t->endpoint, t->last_heard - t->sent});
    if (!(r = find(handle)) || !r->closed) return;
    t = find_attempt(r, attempt);  // its client left before the first token
    if (t->in_flight) abort_attempt(*t, AttemptResult::cancelled, "the client left");
}

void RequestLifecycle::on_more_events(std::uint64_t handle, int attempt, std::string_view events) {
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight || r->closed) return;
    t->last_heard = environment_.now();
    if (const double n = completion_tokens(events); n > 0) r->tokens = n;
    if (r->client) r->client->send_events(events);
}

void RequestLifecycle::on_attempt_ended(std::uint64_t handle, int attempt, const AttemptOutcome& e) {
    driver_.catch_up();
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->in_flight) return;
    t->in_flight = false;
    --attempts_in_flight_;
    ++counters_.results[static_cast<int>(e.result)];
    invariant_checker_.on_attempt_ended(handle, attempt, never_ran(e.result));
    if (e.result == AttemptResult::prefill_done)
        invariant_checker_.on_prefill_answered(handle, environment_.now(), driver_.stalled_for());
    else if (e.result == AttemptResult::rejected && e.detail == 1)
        invariant_checker_.on_lease_taken(handle);  // its server says that there is nothing to take
    else if (!t->is_prefill)
        invariant_checker_.on_decode_ended(handle, environment_.now(), driver_.stalled_for());
    const Millis now = environment_.now();
    t->ended = now, t->result = e.result;
    if (DiscoveredEndpoint* h = endpoints_.find(t->endpoint)) {
        (e.status > 0 && e.result != AttemptResult::reset ? h->last_success : h->last_failure) = now;
    }
    r->lease.on_attempt_ended(now, never_ran(e.result));
    if (e.result == AttemptResult::prefill_done)
        prefill_times_.add_prefill(now - t->sent, r->inbound.arrival.prompt_tokens);
    if (t->is_prefill && e.result == AttemptResult::prefill_done)
        r->lease.on_acquired(now, control::LeaseOrigin::prefill_done, t->endpoint);
    else if (t->is_prefill && !never_ran(e.result))
        r->lease.on_acquired(now, control::LeaseOrigin::prefill_lost, t->endpoint);
    schedule_lease_check(*r);
    AttemptEnded o;
    o.request = std::to_string(handle), o.attempt = attempt, o.endpoint = t->endpoint, o.result = e.result;
    o.took = now - t->sent, o.detail = e.detail;
    if (e.begun && !r->closed) {
        log_request(*r,
                    e.result == AttemptResult::served ? std::nullopt : std::optional(Disposition::broken));
        Client* client = r->client;
        r->client = nullptr;
        close_request(*r);
        if (e.result == AttemptResult::served) {
            ++counters_.served;
            if (client) client->finish_stream();
        } else {
            ++counters_.broken;
            if (client) client->abort_stream();
        }
        r = find(handle);
    }
    if (r) o.request_closed = r->closed, revisit_when_idle(handle);
    driver_.feed(std::move(o));
}

std::size_t RequestLifecycle::streams() const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& r) {
        return !r.second.closed && stream_begun(r.second);
    }));
}

void RequestLifecycle::migrate_streams(std::size_t n) {
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, r] : requests_) {
        if (!r.closed && stream_begun(r)) handles.push_back(handle);
    }
    std::sort(handles.rbegin(), handles.rend());  // the latest have the most ahead of them
    if (handles.size() > n) handles.resize(n);
    for (const auto handle : handles) {
        Request* r = find(handle);
        if (r && !r->closed) migrate(*r, "handed back");
    }
}

void RequestLifecycle::end_silent_streams(Millis taken_after) {
    const Millis now = environment_.now();
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, r] : requests_) {
        if (r.closed || !stream_begun(r) || r.congested || r.arrived < taken_after) continue;
        if (r.attempts.back().in_flight && now - r.attempts.back().last_heard >= kSilentAtStop)
            handles.push_back(handle);
    }
    for (const auto handle : handles) {
        Request* r = find(handle);
        if (r && !r->closed)
            abort_attempt(r->attempts.back(), AttemptResult::reset, "the stream fell silent");
    }
}

void RequestLifecycle::on_timer(const Driver::Timer& a) {
    if (a.kind == Kind::release) return releases_.retry(a.label);
    if (a.kind == Kind::health_check) return health_checker_.on_timeout(static_cast<EndpointId>(a.label));
    Request* r = a.owner;
    const Millis now = environment_.now();
    if (a.kind == Kind::reservation) {
        if (r->reservation && !r->reservation->is_over()) {
            const auto call = r->reservation;
            environment_.close(*call);
            call->abort(AttemptResult::timed_out, "no answer");
        }
        return;
    }
    if (a.kind == Kind::lease) return on_lease_timer(*r);
    AttemptState* t = find_attempt(r, a.attempt);
    if (!t || !t->in_flight) return;
    if (a.kind == Kind::attempt_timeout) {
        if (t->stream_begun) return;
        if (!driver_.has_expired(t->clock))
            return driver_.set_timer(Kind::attempt_timeout, t->clock.due(), r, a.attempt, 0, true);
        abort_attempt(*t, t->clock.endpoint_at_fault() ? AttemptResult::timed_out : AttemptResult::cancelled,
                      "no answer in time");
    } else if (a.kind == Kind::stream_idle) {
        // Guards against a begun stream whose server went silent: nobody else would end it.
        if (r->congested) t->last_heard = now;
        if (t->last_heard + kSilence > now)
            return driver_.set_timer(Kind::stream_idle, t->last_heard + kSilence, r, a.attempt, 0, true);
        abort_attempt(*t, AttemptResult::reset, "the stream fell silent");
    }
}

void RequestLifecycle::on_router_idle() {
    for (std::size_t i = 0; i < to_revisit_.size(); ++i) {
        Request* r = find(to_revisit_[i]);
        if (!r || attempt_in_flight(*r)) continue;
        release_lease(*r, ReleaseReason::request_over);
        if (!r->closed) continue;
        if (r->reservation && !r->reservation->is_over()) {
            const auto call = r->reservation;
            call->on_ended = nullptr;
            environment_.close(*call);
        }
        if (!releases_.in_progress(r->release)) health_checker_.request_over(r->inbound.txn);
        driver_.cancel_timers(*r);
        invariant_checker_.forget(to_revisit_[i]);
        open_transactions_.erase(r->inbound.txn);
        requests_.erase(to_revisit_[i]);
    }
    to_revisit_.clear();
}

}  // namespace gorsenotch::platform
