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
    driver_.execute = [this](const Action& action) { execute(action); };
    driver_.on_idle = [this] { on_router_idle(); };
    driver_.on_timer = [this](const Driver::Timer& timer) { on_timer(timer); };
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

RequestLifecycle::AttemptState* RequestLifecycle::find_attempt(Request* request, int attempt) {
    if (!request || attempt < 0 || static_cast<std::size_t>(attempt) >= request->attempts.size())
        return nullptr;
    return &request->attempts[static_cast<std::size_t>(attempt)];
}

bool RequestLifecycle::attempt_in_flight(const Request& request) {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [](const AttemptState& attempt) { return attempt.in_flight; });
}

bool RequestLifecycle::stream_begun(const Request& request) {
    return !request.attempts.empty() && request.attempts.back().stream_begun;
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
    Request* request = find(handle);
    control::SendPreconditions facts;
    facts.request_over = !request || request->closed;
    facts.client_disconnected = !facts.request_over && request->client && request->client->has_disconnected();
    facts.endpoint_status = endpoint_status(server);
    facts.now = environment_.now();
    facts.send_by = send_by;
    facts.lease_released = takes && request && request->lease.released_since(since);
    facts.deadline = request ? request->deadline : 0;
    const auto denial = control::check_send(facts);
    if (!denial) return true;
    ++counters_.send_blocks[static_cast<std::size_t>(*denial)];
    if (*denial == control::SendBlockReason::client_disconnected) record_client_disconnect(*request);
    return false;
}

// A breach of a rule that no standstill explains ends the process in sanitizer builds; otherwise it is told.
void RequestLifecycle::on_violation(control::Invariant rule, std::uint64_t handle, const std::string& what) {
    const Request* request = find(handle);
    const std::string name = control::kInvariantNames[static_cast<std::size_t>(rule)];
    environment_.log("error", "violation", name + " " + (request ? request->inbound.txn : "?") + " " + what);
#ifdef __SANITIZE_ADDRESS__
    if (rule != control::Rule::late_answer) std::abort();
#endif
}

// ---- what comes in --------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_update(EndpointUpdate update) {
    const Millis now = environment_.now();
    for (const auto& entry : update.endpoints)
        invariant_checker_.on_endpoint_listed(entry.id, entry.status, now);
    if (update.kind == EndpointUpdate::Kind::full) invariant_checker_.on_full_list(update.endpoints, now);
    health_checker_.forget_unlisted();
    driver_.feed(std::move(update));
}

std::uint64_t RequestLifecycle::on_request(Inbound in, Millis age, Client* client) {
    driver_.catch_up();
    if (open(in.txn)) return 0;
    const Millis now = environment_.now();
    const std::uint64_t handle = ++last_handle_;
    Arrival arrival = in.arrival;
    arrival.request = std::to_string(handle);
    arrival.deadline = now - age + in.arrival.deadline;
    open_transactions_.insert(in.txn);
    Request& request = requests_.try_emplace(handle, named_.settings.lease_release_timeout).first->second;
    request.inbound = std::move(in);
    request.handle = handle, request.client = client, request.arrived = now - age,
    request.deadline = arrival.deadline;
    ++counters_.arrived;
    invariant_checker_.on_request_accepted(handle, arrival.cls, arrival.deadline);
    driver_.feed(std::move(arrival));
    return handle;
}

void RequestLifecycle::on_client_disconnected(std::uint64_t handle) {
    driver_.catch_up();
    Request* request = find(handle);
    if (!request || request->closed) return;
    record_client_disconnect(*request);
    driver_.feed(ClientDisconnected{std::to_string(handle)});
    if ((request = find(handle))) stop_reading_stream(*request, "the client left");
}

void RequestLifecycle::record_client_disconnect(Request& request) {
    ++counters_.client_disconnected;
    invariant_checker_.on_client_disconnected(request.handle);
    log_request(request, RequestOutcome::client_disconnected);
    request.client = nullptr;
    close_request(request);
}

void RequestLifecycle::on_client_congested(std::uint64_t handle, bool congested) {
    Request* request = find(handle);
    if (!request || request->congested == congested) return;
    request->congested = congested;
    if (!stream_begun(*request) || !request->attempts.back().in_flight) return;
    request->attempts.back().last_heard = environment_.now();
    environment_.pause(*request->attempts.back().exchange, congested);
}

// ---- the Router's actions -------------------------------------------------------------------------------

void RequestLifecycle::execute(const Action& action) {
    std::visit(Overloaded{[&](const gorsenotch::StartAttempt& start) { start_attempt(start); },
                          [&](const StopAttempt& stop) {
                              AttemptState* attempt = find_attempt(find(stop.request), stop.attempt);
                              if (attempt && attempt->in_flight && !attempt->stream_begun)
                                  abort_attempt(*attempt, AttemptResult::cancelled, "called off");
                          },
                          [&](const ReserveSlot& reserve) { reserve_slot(reserve); },
                          [&](const ReleaseLease& release) {
                              // UpstreamCall out once the Router is at rest, if no attempt follows.
                              if (const Request* request = find(release.request))
                                  revisit_when_idle(request->handle);
                          },
                          [&](const Reject& reject) {
                              if (Request* request = find(reject.request)) {
                                  if (!request->closed) ++counters_.rejected;
                                  send_final(*request, 503,
                                             named_.settings.retry_after ? reject.retry_after : 0, "refused",
                                             reject.cause);
                              }
                          },
                          [&](const Fail& fail) {
                              if (Request* request = find(fail.request)) {
                                  if (!request->closed) ++counters_.failed;
                                  send_final(*request, 502, 0, "failed; it may have run", fail.cause);
                              }
                          },
                          [&](const MigrateStream& a) {
                              Request* request = find(a.request);
                              if (request && !request->closed) migrate(*request, "moved");
                          },
                          [&](const Log& a) { environment_.log("debug", "router", a.text); },
                          // Timers are the driver's; probes are not spoken here; the watch is always open.
                          [&](const SetTimer&) {}, [&](const HealthCheck&) {}, [&](const WatchEndpoints&) {},
                          [&](const PollEndpoints&) {}},
               action);
}

void RequestLifecycle::start_attempt(const gorsenotch::StartAttempt& start) {
    Request* r = find(start.request);
    if (!r) return;
    const std::uint64_t handle = r->handle;
    const int n = static_cast<int>(r->attempts.size());
    const Millis now = environment_.now();
    const DiscoveredEndpoint* host = endpoints_.find(start.endpoint);
    AttemptState t;
    t.endpoint = start.endpoint;
    t.sent = t.last_heard = now;
    t.clock = driver_.start_clock(start.timeout, r->deadline);
    if (!may_start(handle, start.endpoint, start.send_by, now, false)) {
        t.in_flight = false;
        r->attempts.push_back(std::move(t));
        AttemptEnded ended;
        ended.request = start.request, ended.attempt = n, ended.endpoint = start.endpoint,
        ended.result = AttemptResult::not_sent;
        ended.request_closed = r->closed;
        ++counters_.results[static_cast<int>(ended.result)];
        return driver_.feed(std::move(ended));
    }
    t.is_prefill = named_.settings.kinds[static_cast<std::size_t>(host->endpoint.kind)].role == Role::prefill;
    t.exchange = std::make_shared<UpstreamExchange>(t.is_prefill ? UpstreamExchange::Kind::prefill
                                                                 : UpstreamExchange::Kind::decode);
    const bool takes = !t.is_prefill && r->lease.held();
    t.exchange->may_start_hook = [this, handle, server = start.endpoint, by = start.send_by, now, takes] {
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
    t.exchange->on_first_byte = [this, handle, server = start.endpoint, now] {
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
    t.exchange->on_ended = [this, handle, n](const AttemptOutcome& outcome) {
        on_attempt_ended(handle, n, outcome);
    };
    r->lease.on_attempt_begun(now, start.endpoint, !t.is_prefill);
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

void RequestLifecycle::reserve_slot(const ReserveSlot& reserve) {
    Request* request = find(reserve.request);
    if (!request || request->closed || endpoint_status(reserve.endpoint) != EndpointStatus::healthy) return;
    const std::uint64_t handle = request->handle;
    const EndpointId server = reserve.endpoint;
    request->lease.on_acquired(environment_.now(), control::LeaseOrigin::slot_requested, server);
    schedule_lease_check(*request);
    request->reservation = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    request->reservation->may_start_hook = [this, server] {
        return endpoint_status(server) == EndpointStatus::healthy;
    };
    request->reservation->on_ended = [this, handle, server](const AttemptOutcome& outcome) {
        Request* it = find(handle);
        // 204 and no answer say nothing: a place may be held all the same, and is let go of in the end.
        if (!it || (outcome.status != 200 && outcome.status != 409)) return;
        driver_.feed(ReservationReply{std::to_string(handle), server, outcome.status == 200});
    };
    driver_.set_timer(Kind::reservation, environment_.now() + 1000, request, 0, 0, true);
    const auto call = request->reservation;
    const std::string& dial = endpoints_.find(server)->dial_address;
    environment_.start_exchange(dial, lease_call("POST", request->inbound.txn, dial), call);
}

// LeaseReleaser all that may be held for the request. An attempt that is out keeps what it has reached, so
// this does not wait for its end: see control/kv_lease.
void RequestLifecycle::release_lease(Request& request, ReleaseReason reason) {
    if (!request.lease.held()) return;
    // What is under way may have been answered before the latest came to be held.
    if (releases_.in_progress(request.release)) return releases_.repeat(request.release);
    request.lease.on_release_begun(environment_.now());
    LeaseReleaser::Order order;
    order.txn = request.inbound.txn;
    order.request = request.handle;
    order.holder = request.lease.timeline().holder;
    order.uncertain = request.lease.uncertain();
    if (attempt_in_flight(request)) order.silent = request.lease.timeline().awaited;
    order.reason = reason;
    ++counters_.release_reasons[static_cast<std::size_t>(reason)];
    order.held = describe_lease(request);
    request.release = releases_.begin(std::move(order));
}

// Sees to it that held_due() is called when a release has to begin.
void RequestLifecycle::schedule_lease_check(Request& request) {
    const auto ask = request.lease.health_check_at();
    const auto at = ask ? ask : request.lease.release_at();
    if (!at || (request.lease_check_at >= 0 && request.lease_check_at <= *at)) return;
    request.lease_check_at = *at;
    driver_.set_timer(Kind::lease, *at, &request, 0, 0, true);
}

void RequestLifecycle::on_lease_timer(Request& request) {
    request.lease_check_at = -1;
    if (request.lease.prefill_in_flight()) {
        const EndpointId reader = request.lease.timeline().awaited;
        const Millis sent = request.lease.prefill_written_at();
        const bool unusual =
            prefill_times_.is_unusual(environment_.now() - sent, request.inbound.arrival.prompt_tokens);
        // Where it could not be asked, as nothing of ours is over yet, one that has ever answered is trusted.
        const Millis since = health_checker_.can_check() ? sent : 0;
        const auto heard = health_checker_.answered_since(reader, since);
        if (heard && !unusual) request.lease.on_endpoint_answered(since > 0 ? *heard : environment_.now());
        const auto ask = request.lease.health_check_at();
        if (ask && *ask <= environment_.now()) {
            request.lease.on_health_check_sent();
            health_checker_.check(reader);
        }
    }
    const auto at = request.lease.release_at();
    if (!at) return;
    if (*at > environment_.now()) return schedule_lease_check(request);
    release_expiring_lease(request);
}

void RequestLifecycle::release_expiring_lease(Request& request) {
    if (request.lease.only_unanswered_prefill())
        return release_lease(request, ReleaseReason::prefill_unanswered);
    request.lease.on_expiring(environment_.now());
    if (attempt_in_flight(request)) {
        if (DiscoveredEndpoint* silent = endpoints_.find(request.lease.timeline().awaited))
            silent->last_failure = environment_.now();
    }
    release_lease(request, ReleaseReason::lease_expiring);
    const std::uint64_t handle = request.handle;
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

std::string RequestLifecycle::describe_lease(const Request& request) {
    const auto& timeline = request.lease.timeline();
    return describe_timeline(timeline, request.arrived, environment_.now(), endpoint_name(timeline.holder),
                             endpoint_name(timeline.awaited));
}

void RequestLifecycle::on_release_ended(const LeaseReleaser::Ended& ended) {
    ++counters_.release_ends[static_cast<std::size_t>(ended.end)];
    if (ended.end == ReleaseEnd::answered) {
        invariant_checker_.on_endpoint_answered(environment_.now());
        invariant_checker_.on_release_answered(ended.order.request, ended.sent);
    }
    if (Request* request = find(ended.order.request)) {
        if (ended.end == ReleaseEnd::answered) {
            const Millis age = environment_.now() - request->lease.timeline().acquired;
            if (!request->lease.only_unanswered_prefill())
                counters_.longest_lease = std::max(counters_.longest_lease, age);
            request->lease.on_release_answered(environment_.now());
        } else {
            request->lease.on_release_failed();
        }
        schedule_lease_check(*request);
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
void RequestLifecycle::close_request(Request& request) {
    request.closed = true;
    request.inbound.body = std::string();
    revisit_when_idle(request.handle);
}

// `disposition`: nothing for a whole answer, whose times say how it fared.
void RequestLifecycle::log_request(const Request& request, std::optional<RequestOutcome> disposition,
                                   std::optional<EndCause> cause) {
    RequestRecord record;
    record.txn = request.inbound.txn, record.cls = request.inbound.arrival.cls,
    record.prompt_tokens = request.inbound.arrival.prompt_tokens;
    record.tokens = request.tokens;
    record.cause = cause;
    if (request.lease.held()) record.lease = describe_lease(request);
    record.first = request.stream_begun_at < 0 ? -1 : request.stream_begun_at - request.arrived;
    record.ended = environment_.now() - request.arrived;
    for (const auto& attempt : request.attempts) {
        record.attempts.push_back({{},
                                   attempt.is_prefill,
                                   attempt.in_flight,
                                   attempt.result,
                                   attempt.sent - request.arrived,
                                   attempt.ended - request.arrived});
    }
    const RequestOutcome f = disposition ? *disposition : access_log_.served(record);
    if (!access_log_.count(environment_.now(), f, cause)) return;
    for (std::size_t i = 0; i < record.attempts.size(); ++i) {
        const DiscoveredEndpoint* host = endpoints_.find(request.attempts[i].endpoint);
        record.attempts[i].server = host ? host->name : "gone";
    }
    environment_.log("info", "request", access_log_.line(record, f));
}

void RequestLifecycle::send_final(Request& request, int status, Millis pause, const char* why,
                                  EndCause cause) {
    if (request.closed) return;
    log_request(request,
                stream_begun(request)      ? RequestOutcome::broken
                : status != 503            ? RequestOutcome::failed
                : request.attempts.empty() ? RequestOutcome::rejected_unsent
                                           : RequestOutcome::rejected,
                cause);
    Client* client = request.client;
    request.client = nullptr;
    close_request(request);
    if (!client) return;
    if (stream_begun(request)) return client->abort_stream();
    invariant_checker_.on_answered(request.handle, status == 503, environment_.now());
    client->send_final(status, pause, why);
}

void RequestLifecycle::abort_stream(Request& request) {
    Client* client = request.client;
    request.client = nullptr;
    close_request(request);
    if (client) client->abort_stream();
}

// A stream that nobody reads any more ends.
void RequestLifecycle::stop_reading_stream(Request& request, const char* why) {
    if (stream_begun(request) && request.attempts.back().in_flight)
        abort_attempt(request.attempts.back(), AttemptResult::cancelled, why);
}

void RequestLifecycle::migrate(Request& request, const char* why) {
    ++counters_.migrated;
    log_request(request, RequestOutcome::migrated);
    abort_stream(request);
    stop_reading_stream(request, why);
}

void RequestLifecycle::on_first_event(std::uint64_t handle, int attempt, std::string_view events) {
    driver_.catch_up();
    Request* request = find(handle);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight) return;
    t->stream_begun = true;
    t->last_heard = request->stream_begun_at = environment_.now();
    if (DiscoveredEndpoint* endpoint = endpoints_.find(t->endpoint)) endpoint->last_success = t->last_heard;
    invariant_checker_.on_lease_taken(handle);
    request->lease.on_taken();  // the write has taken the state; the rest is released with it
    request->inbound.body = std::string();
    driver_.set_timer(Kind::stream_idle, t->last_heard + kSilence, request, attempt, 0, true);
    if (request->client) {
        invariant_checker_.on_answered(handle, false, t->last_heard);
        request->client->begin_stream(events);
    }
    request = find(handle);
    if (!request) return;
    t = find_attempt(request, attempt);
    driver_.feed(FirstToken{std::to_string(handle), attempt, t->endpoint, t->last_heard - t->sent});
    if (!(request = find(handle)) || !request->closed) return;
    t = find_attempt(request, attempt);  // its client left before the first token
    if (t->in_flight) abort_attempt(*t, AttemptResult::cancelled, "the client left");
}

void RequestLifecycle::on_more_events(std::uint64_t handle, int attempt, std::string_view events) {
    Request* request = find(handle);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight || request->closed) return;
    t->last_heard = environment_.now();
    if (const double n = completion_tokens(events); n > 0) request->tokens = n;
    if (request->client) request->client->send_events(events);
}

void RequestLifecycle::on_attempt_ended(std::uint64_t handle, int attempt, const AttemptOutcome& outcome) {
    driver_.catch_up();
    Request* request = find(handle);
    AttemptState* t = find_attempt(request, attempt);
    if (!t || !t->in_flight) return;
    t->in_flight = false;
    --attempts_in_flight_;
    ++counters_.results[static_cast<int>(outcome.result)];
    invariant_checker_.on_attempt_ended(handle, attempt, never_ran(outcome.result));
    if (outcome.result == AttemptResult::prefill_done)
        invariant_checker_.on_prefill_answered(handle, environment_.now(), driver_.stalled_for());
    else if (outcome.result == AttemptResult::rejected && outcome.detail == 1)
        invariant_checker_.on_lease_taken(handle);  // its server says that there is nothing to take
    else if (!t->is_prefill)
        invariant_checker_.on_decode_ended(handle, environment_.now(), driver_.stalled_for());
    const Millis now = environment_.now();
    t->ended = now, t->result = outcome.result;
    if (DiscoveredEndpoint* endpoint = endpoints_.find(t->endpoint)) {
        (outcome.status > 0 && outcome.result != AttemptResult::reset ? endpoint->last_success
                                                                      : endpoint->last_failure) = now;
    }
    request->lease.on_attempt_ended(now, never_ran(outcome.result));
    if (outcome.result == AttemptResult::prefill_done)
        prefill_times_.add_prefill(now - t->sent, request->inbound.arrival.prompt_tokens);
    if (t->is_prefill && outcome.result == AttemptResult::prefill_done)
        request->lease.on_acquired(now, control::LeaseOrigin::prefill_done, t->endpoint);
    else if (t->is_prefill && !never_ran(outcome.result))
        request->lease.on_acquired(now, control::LeaseOrigin::prefill_lost, t->endpoint);
    schedule_lease_check(*request);
    AttemptEnded ended;
    ended.request = std::to_string(handle), ended.attempt = attempt, ended.endpoint = t->endpoint,
    ended.result = outcome.result;
    ended.took = now - t->sent, ended.detail = outcome.detail;
    if (outcome.begun && !request->closed) {
        log_request(*request, outcome.result == AttemptResult::served
                                  ? std::nullopt
                                  : std::optional(RequestOutcome::broken));
        Client* client = request->client;
        request->client = nullptr;
        close_request(*request);
        if (outcome.result == AttemptResult::served) {
            ++counters_.served;
            if (client) client->finish_stream();
        } else {
            ++counters_.broken;
            if (client) client->abort_stream();
        }
        request = find(handle);
    }
    if (request) ended.request_closed = request->closed, revisit_when_idle(handle);
    driver_.feed(std::move(ended));
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
        Request* request = find(handle);
        if (request && !request->closed) migrate(*request, "handed back");
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
        Request* request = find(handle);
        if (request && !request->closed)
            abort_attempt(request->attempts.back(), AttemptResult::reset, "the stream fell silent");
    }
}

void RequestLifecycle::on_timer(const Driver::Timer& timer) {
    if (timer.kind == Kind::release) return releases_.retry(timer.label);
    if (timer.kind == Kind::health_check)
        return health_checker_.on_timeout(static_cast<EndpointId>(timer.label));
    Request* request = timer.owner;
    const Millis now = environment_.now();
    if (timer.kind == Kind::reservation) {
        if (request->reservation && !request->reservation->is_over()) {
            const auto call = request->reservation;
            environment_.close(*call);
            call->abort(AttemptResult::timed_out, "no answer");
        }
        return;
    }
    if (timer.kind == Kind::lease) return on_lease_timer(*request);
    AttemptState* attempt = find_attempt(request, timer.attempt);
    if (!attempt || !attempt->in_flight) return;
    if (timer.kind == Kind::attempt_timeout) {
        if (attempt->stream_begun) return;
        if (!driver_.has_expired(attempt->clock))
            return driver_.set_timer(Kind::attempt_timeout, attempt->clock.due(), request, timer.attempt, 0,
                                     true);
        abort_attempt(
            *attempt,
            attempt->clock.endpoint_at_fault() ? AttemptResult::timed_out : AttemptResult::cancelled,
            "no answer in time");
    } else if (timer.kind == Kind::stream_idle) {
        // Guards against a begun stream whose server went silent: nobody else would end it.
        if (request->congested) attempt->last_heard = now;
        if (attempt->last_heard + kSilence > now)
            return driver_.set_timer(Kind::stream_idle, attempt->last_heard + kSilence, request,
                                     timer.attempt, 0, true);
        abort_attempt(*attempt, AttemptResult::reset, "the stream fell silent");
    }
}

void RequestLifecycle::on_router_idle() {
    for (std::size_t i = 0; i < to_revisit_.size(); ++i) {
        Request* request = find(to_revisit_[i]);
        if (!request || attempt_in_flight(*request)) continue;
        release_lease(*request, ReleaseReason::request_over);
        if (!request->closed) continue;
        if (request->reservation && !request->reservation->is_over()) {
            const auto call = request->reservation;
            call->on_ended = nullptr;
            environment_.close(*call);
        }
        if (!releases_.in_progress(request->release)) health_checker_.request_over(request->inbound.txn);
        driver_.cancel_timers(*request);
        invariant_checker_.forget(to_revisit_[i]);
        open_transactions_.erase(request->inbound.txn);
        requests_.erase(to_revisit_[i]);
    }
    to_revisit_.clear();
}

}  // namespace gorsenotch::platform
