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

Relay::Relay(const settings::Named& named, std::uint64_t seed, EndpointList& hosts, Ports& ports)
    : named_(named),
      endpoints_(hosts),
      ports_(ports),
      driver_(named.settings, seed, &Request::alarms, &Request::timeouts),
      releases_(named.settings.lease_release_timeout, hosts, ports,
                [this](Millis at, std::uint64_t id, bool timeout) {
                    driver_.alarm(Kind::release, at, nullptr, 0, id, timeout);
                }),
      health_checker_(control::KvLease(named.settings.lease_release_timeout).duration(), hosts, ports,
                      [this](Millis at, EndpointId server) {
                          driver_.alarm(Kind::health_check, at, nullptr, 0, server, true);
                      }),
      access_(named.settings),
      invariant_checker_(named.settings) {
    invariant_checker_.on_violation = [this](control::Invariant rule, std::uint64_t handle,
                                             const std::string& what) { on_violation(rule, handle, what); };
    releases_.on_call = [this](const LeaseReleaser::Order& order) {
        invariant_checker_.on_release_called(order.request);
    };
    releases_.on_ended = [this](const LeaseReleaser::Ended& ended) { on_release_ended(ended); };
    driver_.now = [this] { return ports_.now(); };
    driver_.carry = [this](const Action& a) { carry(a); };
    driver_.rest = [this] { on_router_idle(); };
    driver_.due = [this](const Driver::Alarm& a) { due(a); };
}

Relay::Request* Relay::find(std::uint64_t handle) {
    const auto it = requests_.find(handle);
    return it == requests_.end() ? nullptr : &it->second;
}

Relay::Request* Relay::find(const RequestId& id) {
    std::uint64_t handle = 0;
    std::from_chars(id.data(), id.data() + id.size(), handle);
    return find(handle);
}

Relay::AttemptState* Relay::find_attempt(Request* r, int attempt) {
    if (!r || attempt < 0 || static_cast<std::size_t>(attempt) >= r->attempts.size()) return nullptr;
    return &r->attempts[static_cast<std::size_t>(attempt)];
}

bool Relay::busy(const Request& r) {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](const AttemptState& t) { return t.out; });
}

bool Relay::begun(const Request& r) { return !r.attempts.empty() && r.attempts.back().first; }

std::optional<EndpointStatus> Relay::endpoint_status(EndpointId server) {
    const DiscoveredEndpoint* host = endpoints_.find(server);
    return host ? std::optional(host->endpoint.status) : std::nullopt;
}

// Guards against an attempt that was right when it was decided and is wrong when its connection is up: the
// client has gone (its close may wait unread behind other work), the request has its answer, the server
// drains, the time or the window for repeats is over. Covers every wait between decision and first byte.
// Costs one system call each time.
bool Relay::may_begin(std::uint64_t handle, EndpointId server, Millis send_by, Millis since, bool takes) {
    Request* r = find(handle);
    control::SendPreconditions facts;
    facts.request_over = !r || r->closed;
    facts.client_disconnected = !facts.request_over && r->client && r->client->has_left();
    facts.endpoint_status = endpoint_status(server);
    facts.now = ports_.now();
    facts.send_by = send_by;
    facts.lease_released = takes && r && r->lease.released_since(since);
    facts.deadline = r ? r->deadline : 0;
    const auto denial = control::check_send(facts);
    if (!denial) return true;
    ++counts_.send_denials[static_cast<std::size_t>(*denial)];
    if (*denial == control::SendBlockReason::client_disconnected) client_left(*r);
    return false;
}

// A breach of a rule that no standstill explains ends the process in sanitizer builds; otherwise it is told.
void Relay::on_violation(control::Invariant rule, std::uint64_t handle, const std::string& what) {
    const Request* r = find(handle);
    const std::string name = control::kInvariantNames[static_cast<std::size_t>(rule)];
    ports_.log("error", "violation", name + " " + (r ? r->in.txn : "?") + " " + what);
#ifdef __SANITIZE_ADDRESS__
    if (rule != control::Rule::late_answer) std::abort();
#endif
}

// ---- what comes in --------------------------------------------------------------------------------------

void Relay::on_endpoint_update(EndpointUpdate e) {
    const Millis now = ports_.now();
    for (const auto& entry : e.endpoints) invariant_checker_.on_endpoint_listed(entry.id, entry.status, now);
    if (e.kind == EndpointUpdate::Kind::full) invariant_checker_.on_full_list(e.endpoints, now);
    health_checker_.forget_unlisted();
    driver_.feed(std::move(e));
}

std::uint64_t Relay::arrive(Inbound in, Millis age, Client* client) {
    driver_.catch_up();
    if (open(in.txn)) return 0;
    const Millis now = ports_.now();
    const std::uint64_t handle = ++last_;
    Arrival a = in.arrival;
    a.request = std::to_string(handle);
    a.deadline = now - age + in.arrival.deadline;
    txns_.insert(in.txn);
    Request& r = requests_.try_emplace(handle, named_.settings.lease_release_timeout).first->second;
    r.in = std::move(in);
    r.handle = handle, r.client = client, r.arrived = now - age, r.deadline = a.deadline;
    ++counts_.arrived;
    invariant_checker_.on_request_accepted(handle, a.cls, a.deadline);
    driver_.feed(std::move(a));
    return handle;
}

void Relay::client_gone(std::uint64_t handle) {
    driver_.catch_up();
    Request* r = find(handle);
    if (!r || r->closed) return;
    client_left(*r);
    driver_.feed(ClientDisconnected{std::to_string(handle)});
    if ((r = find(handle))) end_stream(*r, "the client left");
}

void Relay::client_left(Request& r) {
    ++counts_.gone;
    invariant_checker_.on_client_disconnected(r.handle);
    log_request(r, Disposition::gone);
    r.client = nullptr;
    close(r);
}

void Relay::client_congested(std::uint64_t handle, bool congested) {
    Request* r = find(handle);
    if (!r || r->congested == congested) return;
    r->congested = congested;
    if (!begun(*r) || !r->attempts.back().out) return;
    r->attempts.back().heard = ports_.now();
    ports_.pause(*r->attempts.back().exchange, congested);
}

// ---- the Router's actions -------------------------------------------------------------------------------

void Relay::carry(const Action& action) {
    std::visit(Overloaded{[&](const gorsenotch::StartAttempt& a) { start(a); },
                          [&](const StopAttempt& a) {
                              AttemptState* t = find_attempt(find(a.request), a.attempt);
                              if (t && t->out && !t->first) stop(*t, AttemptResult::cancelled, "called off");
                          },
                          [&](const ReserveSlot& a) { reserve_slot(a); },
                          [&](const ReleaseLease& a) {
                              // Carried out once the Router is at rest, if no attempt follows.
                              if (const Request* r = find(a.request)) revisit_when_idle(r->handle);
                          },
                          [&](const Reject& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counts_.refused;
                                  final(*r, 503, named_.settings.retry_after ? a.retry_after : 0, "refused",
                                        a.cause);
                              }
                          },
                          [&](const Fail& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counts_.failed;
                                  final(*r, 502, 0, "failed; it may have run", a.cause);
                              }
                          },
                          [&](const MigrateStream& a) {
                              Request* r = find(a.request);
                              if (r && !r->closed) move(*r, "moved");
                          },
                          [&](const Log& a) { ports_.log("debug", "router", a.text); },
                          // Timers are the driver's; probes are not spoken here; the watch is always open.
                          [&](const SetTimer&) {}, [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {},
                          [&](const PollEndpoints&) {}},
               action);
}

void Relay::start(const gorsenotch::StartAttempt& a) {
    Request* r = find(a.request);
    if (!r) return;
    const std::uint64_t handle = r->handle;
    const int n = static_cast<int>(r->attempts.size());
    const Millis now = ports_.now();
    const DiscoveredEndpoint* host = endpoints_.find(a.endpoint);
    AttemptState t;
    t.endpoint = a.endpoint;
    t.sent = t.heard = now;
    t.time = driver_.begin(a.timeout, r->deadline);
    if (!may_begin(handle, a.endpoint, a.send_by, now, false)) {
        t.out = false;
        r->attempts.push_back(std::move(t));
        AttemptEnded o;
        o.request = a.request, o.attempt = n, o.endpoint = a.endpoint, o.result = AttemptResult::not_sent;
        o.request_closed = r->closed;
        ++counts_.results[static_cast<int>(o.result)];
        return driver_.feed(std::move(o));
    }
    t.is_prefill = named_.settings.kinds[static_cast<std::size_t>(host->endpoint.kind)].role == Role::prefill;
    t.exchange = std::make_shared<UpstreamExchange>(t.is_prefill ? UpstreamExchange::Kind::prefill
                                                                 : UpstreamExchange::Kind::decode);
    const bool takes = !t.is_prefill && r->lease.held();
    t.exchange->on_go = [this, handle, server = a.endpoint, by = a.send_by, now, takes] {
        return may_begin(handle, server, by, now, takes);
    };
    t.exchange->on_sent = [this, handle, n, to = host->endpoint] {
        invariant_checker_.on_attempt_sent(
            handle, n, to, named_.settings.kinds[static_cast<std::size_t>(to.kind)].role, ports_.now());
    };
    t.exchange->on_handed = [this, handle, n] {
        Request* own = find(handle);
        AttemptState* it = find_attempt(own, n);
        if (!it) return;
        driver_.handed(it->time);
        it->handed = true;
        const Millis usual =
            it->is_prefill ? prefill_times_.usual_duration(own->in.arrival.prompt_tokens) : 0;
        own->lease.on_request_written(ports_.now(), ports_.now() + usual);
        schedule_lease_check(*own);
    };
    t.exchange->on_heard = [this, handle, server = a.endpoint, now] {
        health_checker_.on_answered(server, now);
        invariant_checker_.on_endpoint_answered(ports_.now());
        Request* own = find(handle);
        if (!own) return;
        own->lease.on_attempt_answered(ports_.now());
        if (!own->attempts.back().is_prefill) invariant_checker_.on_decode_answered(handle);
    };
    t.exchange->on_first = [this, handle, n](std::string_view events) { first(handle, n, events); };
    t.exchange->on_more = [this, handle, n](std::string_view events) { more(handle, n, events); };
    t.exchange->on_over = [this, handle, n](const AttemptOutcome& e) { over(handle, n, e); };
    r->lease.on_attempt_begun(now, a.endpoint, !t.is_prefill);
    // A release that is still under way would take what the write is to take. A read has nothing to lose by
    // it, and what stands from before is let go of meanwhile.
    if (!t.is_prefill) releases_.withdraw(r->release);
    schedule_lease_check(*r);
    std::string request;
    request.reserve(r->in.head.size() + r->in.body.size() + 128);
    request.append(r->in.head);
    // Guards against a server that is told more time than is left: the connection may take long to come up.
    t.exchange->on_stamp = [this, handle, n, at = request.size()](std::string& text) {
        const AttemptState* own = find_attempt(find(handle), n);
        if (!own) return;
        const control::AttemptClock& time = own->time;
        const Millis until = time.timeout > 0 ? std::min(time.sent_at + time.timeout, time.request_deadline)
                                              : time.request_deadline;
        const auto left = static_cast<long long>(std::max(1.0, until - ports_.now()));
        text.insert(at, "x-remaining: " + std::to_string(left) + "m\r\n");
    };
    request.append("host: ")
        .append(host->dial_address)
        .append("\r\ncontent-length: ")
        .append(std::to_string(r->in.body.size()))
        .append("\r\n\r\n")
        .append(r->in.body);
    driver_.alarm(Kind::attempt_timeout, t.time.due(), r, n, 0, true);
    const auto attempt = t.exchange;
    const std::string address = host->dial_address;
    ++counts_.attempts, ++out_;
    r->attempts.push_back(std::move(t));
    ports_.start(address, std::move(request), attempt);
}

// Ends an attempt from this side. Its connection is closed first: what still comes on it is nobody's.
void Relay::stop(AttemptState& t, AttemptResult result, const char* why) {
    const auto attempt = t.exchange;
    ports_.close(*attempt);
    attempt->give_up(result, why);
}

void Relay::reserve_slot(const ReserveSlot& a) {
    Request* r = find(a.request);
    if (!r || r->closed || endpoint_status(a.endpoint) != EndpointStatus::healthy) return;
    const std::uint64_t handle = r->handle;
    const EndpointId server = a.endpoint;
    r->lease.on_acquired(ports_.now(), control::LeaseOrigin::slot_requested, server);
    schedule_lease_check(*r);
    r->reservation = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    r->reservation->on_go = [this, server] { return endpoint_status(server) == EndpointStatus::healthy; };
    r->reservation->on_over = [this, handle, server](const AttemptOutcome& e) {
        Request* it = find(handle);
        // 204 and no answer say nothing: a place may be held all the same, and is let go of in the end.
        if (!it || (e.status != 200 && e.status != 409)) return;
        driver_.feed(ReservationReply{std::to_string(handle), server, e.status == 200});
    };
    driver_.alarm(Kind::reservation, ports_.now() + 1000, r, 0, 0, true);
    const auto call = r->reservation;
    const std::string& dial = endpoints_.find(server)->dial_address;
    ports_.start(dial, lease_call("POST", r->in.txn, dial), call);
}

// LeaseReleaser all that may be held for the request. An attempt that is out keeps what it has reached, so
// this does not wait for its end: see control/kv_lease.
void Relay::release_lease(Request& r, ReleaseReason reason) {
    if (!r.lease.held()) return;
    // What is under way may have been answered before the latest came to be held.
    if (releases_.in_progress(r.release)) return releases_.repeat(r.release);
    r.lease.on_release_begun(ports_.now());
    LeaseReleaser::Order order;
    order.txn = r.in.txn;
    order.request = r.handle;
    order.holder = r.lease.timeline().holder;
    order.uncertain = r.lease.uncertain();
    if (busy(r)) order.silent = r.lease.timeline().awaited;
    order.reason = reason;
    ++counts_.release_reasons[static_cast<std::size_t>(reason)];
    order.held = describe_lease(r);
    r.release = releases_.begin(std::move(order));
}

// Sees to it that held_due() is called when a release has to begin.
void Relay::schedule_lease_check(Request& r) {
    const auto ask = r.lease.health_check_at();
    const auto at = ask ? ask : r.lease.release_at();
    if (!at || (r.lease_check_at >= 0 && r.lease_check_at <= *at)) return;
    r.lease_check_at = *at;
    driver_.alarm(Kind::lease, *at, &r, 0, 0, true);
}

void Relay::on_lease_timer(Request& r) {
    r.lease_check_at = -1;
    if (r.lease.prefill_in_flight()) {
        const EndpointId reader = r.lease.timeline().awaited;
        const Millis sent = r.lease.prefill_written_at();
        const bool unusual = prefill_times_.is_unusual(ports_.now() - sent, r.in.arrival.prompt_tokens);
        // Where it could not be asked, as nothing of ours is over yet, one that has ever answered is trusted.
        const Millis since = health_checker_.can_check() ? sent : 0;
        const auto heard = health_checker_.answered_since(reader, since);
        if (heard && !unusual) r.lease.on_endpoint_answered(since > 0 ? *heard : ports_.now());
        const auto ask = r.lease.health_check_at();
        if (ask && *ask <= ports_.now()) {
            r.lease.on_health_check_sent();
            health_checker_.check(reader);
        }
    }
    const auto at = r.lease.release_at();
    if (!at) return;
    if (*at > ports_.now()) return schedule_lease_check(r);
    release_expiring_lease(r);
}

void Relay::release_expiring_lease(Request& r) {
    if (r.lease.only_unanswered_prefill()) return release_lease(r, ReleaseReason::prefill_unanswered);
    r.lease.on_expiring(ports_.now());
    if (busy(r)) {
        if (DiscoveredEndpoint* silent = endpoints_.find(r.lease.timeline().awaited))
            silent->last_failure = ports_.now();
    }
    release_lease(r, ReleaseReason::lease_expiring);
    const std::uint64_t handle = r.handle;
    driver_.feed(LeaseReleased{std::to_string(handle)});
    Request* own = find(handle);
    if (!own || own->attempts.empty()) return;
    // What waits for a connection would find nothing to take: the time is better used for another read.
    AttemptState& latest = own->attempts.back();
    if (latest.out && !latest.is_prefill && !latest.handed)
        stop(latest, AttemptResult::cancelled, "its state was let go of");
}

std::string Relay::endpoint_name(EndpointId server) {
    const DiscoveredEndpoint* host = endpoints_.find(server);
    return host ? host->name : "gone";
}

std::string Relay::describe_lease(const Request& r) {
    const auto& timeline = r.lease.timeline();
    return describe_timeline(timeline, r.arrived, ports_.now(), endpoint_name(timeline.holder),
                             endpoint_name(timeline.awaited));
}

void Relay::on_release_ended(const LeaseReleaser::Ended& ended) {
    ++counts_.release_ends[static_cast<std::size_t>(ended.end)];
    if (ended.end == ReleaseEnd::answered) {
        invariant_checker_.on_endpoint_answered(ports_.now());
        invariant_checker_.on_release_answered(ended.order.request, ended.sent);
    }
    if (Request* r = find(ended.order.request)) {
        if (ended.end == ReleaseEnd::answered) {
            const Millis age = ports_.now() - r->lease.timeline().acquired;
            if (!r->lease.only_unanswered_prefill())
                counts_.longest_lease = std::max(counts_.longest_lease, age);
            r->lease.on_release_answered(ports_.now());
        } else {
            r->lease.on_release_failed();
        }
        schedule_lease_check(*r);
    }
    const bool bad = ended.end == ReleaseEnd::unanswered;
    const bool notable = bad || ended.order.reason == ReleaseReason::lease_expiring || ended.calls > 1;
    if (!notable || !release_log_budget_.take(ports_.now())) return;
    std::string text = ended.order.txn;
    text.append(" ").append(kReleaseEnds[static_cast<std::size_t>(ended.end)]);
    if (ended.end == ReleaseEnd::answered) text.append(" by ").append(endpoint_name(ended.by));
    text.append(" after ").append(std::to_string(std::lround(ended.took)));
    text.append(" calls ").append(std::to_string(ended.calls));
    text.append(" reason ").append(kReleaseReasons[static_cast<std::size_t>(ended.order.reason)]);
    text.append("; ").append(ended.order.held);
    ports_.log(bad ? "warn" : "info", bad ? "release_failed" : "release", text);
}

// ---- answers --------------------------------------------------------------------------------------------

// From here the client is owed nothing; the request stays known while attempts are out.
void Relay::close(Request& r) {
    r.closed = true;
    r.in.body = std::string();
    revisit_when_idle(r.handle);
}

// `disposition`: nothing for a whole answer, whose times say how it fared.
void Relay::log_request(const Request& r, std::optional<Disposition> disposition,
                        std::optional<EndCause> cause) {
    RequestRecord p;
    p.txn = r.in.txn, p.cls = r.in.arrival.cls, p.prompt_tokens = r.in.arrival.prompt_tokens;
    p.tokens = r.tokens;
    p.cause = cause;
    if (r.lease.held()) p.lease = describe_lease(r);
    p.first = r.begun < 0 ? -1 : r.begun - r.arrived;
    p.ended = ports_.now() - r.arrived;
    for (const auto& t : r.attempts) {
        p.attempts.push_back({{}, t.is_prefill, t.out, t.result, t.sent - r.arrived, t.ended - r.arrived});
    }
    const Disposition f = disposition ? *disposition : access_.served(p);
    if (!access_.count(ports_.now(), f, cause)) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
        const DiscoveredEndpoint* host = endpoints_.find(r.attempts[i].endpoint);
        p.attempts[i].server = host ? host->name : "gone";
    }
    ports_.log("info", "request", access_.line(p, f));
}

void Relay::final(Request& r, int status, Millis pause, const char* why, EndCause cause) {
    if (r.closed) return;
    log_request(r,
                begun(r)             ? Disposition::broken
                : status != 503      ? Disposition::failed
                : r.attempts.empty() ? Disposition::refused_unsent
                                     : Disposition::refused,
                cause);
    Client* client = r.client;
    r.client = nullptr;
    close(r);
    if (!client) return;
    if (begun(r)) return client->cut();
    invariant_checker_.on_answered(r.handle, status == 503, ports_.now());
    client->final(status, pause, why);
}

void Relay::cut(Request& r) {
    Client* client = r.client;
    r.client = nullptr;
    close(r);
    if (client) client->cut();
}

// A stream that nobody reads any more ends.
void Relay::end_stream(Request& r, const char* why) {
    if (begun(r) && r.attempts.back().out) stop(r.attempts.back(), AttemptResult::cancelled, why);
}

void Relay::move(Request& r, const char* why) {
    ++counts_.moved;
    log_request(r, Disposition::moved);
    cut(r);
    end_stream(r, why);
}

void Relay::first(std::uint64_t handle, int attempt, std::string_view events) {
    driver_.catch_up();
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->out) return;
    t->first = true;
    t->heard = r->begun = ports_.now();
    if (DiscoveredEndpoint* h = endpoints_.find(t->endpoint)) h->last_success = t->heard;
    invariant_checker_.on_lease_taken(handle);
    r->lease.on_taken();  // the write has taken the state; the rest is released with it
    r->in.body = std::string();
    driver_.alarm(Kind::stream_idle, t->heard + kSilence, r, attempt, 0, true);
    if (r->client) {
        invariant_checker_.on_answered(handle, false, t->heard);
        r->client->begin(events);
    }
    r = find(handle);
    if (!r) return;
    t = find_attempt(r, attempt);
    driver_.feed(FirstToken{std::to_string(handle), attempt, t->endpoint, t->heard - t->sent});
    if (!(r = find(handle)) || !r->closed) return;
    t = find_attempt(r, attempt);  // its client left before the first token
    if (t->out) stop(*t, AttemptResult::cancelled, "the client left");
}

void Relay::more(std::uint64_t handle, int attempt, std::string_view events) {
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->out || r->closed) return;
    t->heard = ports_.now();
    if (const double n = completion_tokens(events); n > 0) r->tokens = n;
    if (r->client) r->client->more(events);
}

void Relay::over(std::uint64_t handle, int attempt, const AttemptOutcome& e) {
    driver_.catch_up();
    Request* r = find(handle);
    AttemptState* t = find_attempt(r, attempt);
    if (!t || !t->out) return;
    t->out = false;
    --out_;
    ++counts_.results[static_cast<int>(e.result)];
    invariant_checker_.on_attempt_ended(handle, attempt, never_ran(e.result));
    if (e.result == AttemptResult::prefill_done)
        invariant_checker_.on_prefill_answered(handle, ports_.now(), driver_.stood());
    else if (e.result == AttemptResult::rejected && e.detail == 1)
        invariant_checker_.on_lease_taken(handle);  // its server says that there is nothing to take
    else if (!t->is_prefill)
        invariant_checker_.on_decode_ended(handle, ports_.now(), driver_.stood());
    const Millis now = ports_.now();
    t->ended = now, t->result = e.result;
    if (DiscoveredEndpoint* h = endpoints_.find(t->endpoint)) {
        (e.status > 0 && e.result != AttemptResult::reset ? h->last_success : h->last_failure) = now;
    }
    r->lease.on_attempt_ended(now, never_ran(e.result));
    if (e.result == AttemptResult::prefill_done)
        prefill_times_.add_prefill(now - t->sent, r->in.arrival.prompt_tokens);
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
        close(*r);
        if (e.result == AttemptResult::served) {
            ++counts_.served;
            if (client) client->done();
        } else {
            ++counts_.broken;
            if (client) client->cut();
        }
        r = find(handle);
    }
    if (r) o.request_closed = r->closed, revisit_when_idle(handle);
    driver_.feed(std::move(o));
}

std::size_t Relay::streams() const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& r) {
        return !r.second.closed && begun(r.second);
    }));
}

void Relay::hand_back(std::size_t n) {
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, r] : requests_) {
        if (!r.closed && begun(r)) handles.push_back(handle);
    }
    std::sort(handles.rbegin(), handles.rend());  // the latest have the most ahead of them
    if (handles.size() > n) handles.resize(n);
    for (const auto handle : handles) {
        Request* r = find(handle);
        if (r && !r->closed) move(*r, "handed back");
    }
}

void Relay::end_silent_streams(Millis taken_after) {
    const Millis now = ports_.now();
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, r] : requests_) {
        if (r.closed || !begun(r) || r.congested || r.arrived < taken_after) continue;
        if (r.attempts.back().out && now - r.attempts.back().heard >= kSilentAtStop)
            handles.push_back(handle);
    }
    for (const auto handle : handles) {
        Request* r = find(handle);
        if (r && !r->closed) stop(r->attempts.back(), AttemptResult::reset, "the stream fell silent");
    }
}

void Relay::due(const Driver::Alarm& a) {
    if (a.kind == Kind::release) return releases_.retry(a.label);
    if (a.kind == Kind::health_check) return health_checker_.on_timeout(static_cast<EndpointId>(a.label));
    Request* r = a.owner;
    const Millis now = ports_.now();
    if (a.kind == Kind::reservation) {
        if (r->reservation && !r->reservation->over()) {
            const auto call = r->reservation;
            ports_.close(*call);
            call->give_up(AttemptResult::timed_out, "no answer");
        }
        return;
    }
    if (a.kind == Kind::lease) return on_lease_timer(*r);
    AttemptState* t = find_attempt(r, a.attempt);
    if (!t || !t->out) return;
    if (a.kind == Kind::attempt_timeout) {
        if (t->first) return;
        if (!driver_.up(t->time))
            return driver_.alarm(Kind::attempt_timeout, t->time.due(), r, a.attempt, 0, true);
        stop(*t, t->time.endpoint_at_fault() ? AttemptResult::timed_out : AttemptResult::cancelled,
             "no answer in time");
    } else if (a.kind == Kind::stream_idle) {
        // Guards against a begun stream whose server went silent: nobody else would end it.
        if (r->congested) t->heard = now;
        if (t->heard + kSilence > now)
            return driver_.alarm(Kind::stream_idle, t->heard + kSilence, r, a.attempt, 0, true);
        stop(*t, AttemptResult::reset, "the stream fell silent");
    }
}

void Relay::on_router_idle() {
    for (std::size_t i = 0; i < to_revisit_.size(); ++i) {
        Request* r = find(to_revisit_[i]);
        if (!r || busy(*r)) continue;
        release_lease(*r, ReleaseReason::request_over);
        if (!r->closed) continue;
        if (r->reservation && !r->reservation->over()) {
            const auto call = r->reservation;
            call->on_over = nullptr;
            ports_.close(*call);
        }
        if (!releases_.in_progress(r->release)) health_checker_.request_over(r->in.txn);
        driver_.drop(*r);
        invariant_checker_.forget(to_revisit_[i]);
        txns_.erase(r->in.txn);
        requests_.erase(to_revisit_[i]);
    }
    to_revisit_.clear();
}

}  // namespace gorsenotch::platform
