#include "router/router_harness.h"

#include <algorithm>

namespace gorsenotch::test {

void RouterInvariantChecker::Request::clear_lease() {
    has_kv_cache = false;
    has_reserved_slot = false;
}

int RouterInvariantChecker::Request::pending_attempts() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                          [](const Attempt& attempt) { return attempt.pending; }));
}

void RouterInvariantChecker::add_violation(Millis now, const std::string& description) {
    violations.push_back(std::to_string(now) + ": " + description);
}

const ClassSettings& RouterInvariantChecker::class_settings(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.arrival.cls)];
}

Role RouterInvariantChecker::role(EndpointId endpoint) const {
    return settings_.kinds[static_cast<std::size_t>(endpoints_.at(endpoint).listed.kind)].role;
}

// ---- events ---------------------------------------------------------------------------------------------

void RouterInvariantChecker::on_event(Millis now, const Event& event) {
    if (const auto* arrival = std::get_if<Arrival>(&event)) {
        requests_[arrival->request].arrival = *arrival;
    } else if (const auto* disconnected = std::get_if<ClientDisconnected>(&event)) {
        if (const auto it = requests_.find(disconnected->request); it != requests_.end())
            it->second.ended = true;
    } else if (const auto* first_token = std::get_if<FirstToken>(&event)) {
        on_first_token(*first_token);
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
        on_attempt_ended(now, *ended);
    } else if (const auto* released = std::get_if<LeaseReleased>(&event)) {
        release_lease(released->request);
    } else if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
        on_endpoint_update(now, *update);
    }
}

void RouterInvariantChecker::on_first_token(const FirstToken& first_token) {
    Request& request = requests_.at(first_token.request);
    request.ended = true;
    request.clear_lease();
}

void RouterInvariantChecker::on_attempt_ended(Millis now, const AttemptEnded& ended) {
    Request& request = requests_.at(ended.request);
    Attempt& attempt = request.attempts.at(static_cast<std::size_t>(ended.attempt));
    const bool never_sent =
        ended.result == AttemptResult::unreachable || ended.result == AttemptResult::not_sent;
    attempt.pending = false;
    attempt.proven_not_run = attempt.is_prefill || ended.result == AttemptResult::rejected || never_sent;
    if (ended.result == AttemptResult::prefill_done) request.has_kv_cache = true;
    if (ended.result == AttemptResult::rejected && ended.detail == 1) request.has_kv_cache = false;
    if (ended.result == AttemptResult::served) request.clear_lease();
    if (ended.request_closed) request.ended = true;
    // An attempt whose connection was not established is unknown to the endpoint and does not extend the
    // lease.
    if (!never_sent) request.lease_since = now;
    check_lease_limit(now, ended.request, request);
}

void RouterInvariantChecker::on_endpoint_update(Millis now, const EndpointUpdate& update) {
    if (update.kind == EndpointUpdate::Kind::failed) return;
    if (update.kind != EndpointUpdate::Kind::incremental) {
        for (auto& [id, known] : endpoints_) known.listed.status = EndpointStatus::removed;
    }
    for (const auto& listed : update.endpoints) endpoints_[listed.id].listed = listed;
    for (auto& [id, known] : endpoints_) {
        if (known.listed.status == EndpointStatus::healthy) {
            known.unavailable_since.reset();
        } else if (!known.unavailable_since) {
            known.unavailable_since = now;
        }
    }
}

void RouterInvariantChecker::release_lease(const RequestId& id) {
    if (const auto it = requests_.find(id); it != requests_.end()) it->second.clear_lease();
}

// ---- actions --------------------------------------------------------------------------------------------

void RouterInvariantChecker::on_action(Millis now, const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
        on_start_attempt(now, *start);
    } else if (const auto* reserve = std::get_if<ReserveSlot>(&action)) {
        on_reserve_slot(now, *reserve);
    } else if (const auto* release = std::get_if<ReleaseLease>(&action)) {
        release_lease(release->request);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        end_request(now, fail->request, false);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
        end_request(now, reject->request, true);
    } else if (std::get_if<StopAttempt>(&action)) {
        if (!settings_.cancellation)
            add_violation(now, "attempt cancelled although cancellation is disabled");
    } else if (std::get_if<HealthCheck>(&action)) {
        if (!settings_.health_checks) add_violation(now, "health check although health checks are disabled");
    }
}

void RouterInvariantChecker::on_start_attempt(Millis now, const StartAttempt& start) {
    const auto it = requests_.find(start.request);
    if (it == requests_.end()) return add_violation(now, "attempt for an unknown request");
    Request& request = it->second;
    if (request.ended) add_violation(now, "attempt started after the request ended");
    record_endpoint_use(now, start.endpoint);
    if (!endpoints_.count(start.endpoint)) return;
    if (request.pending_attempts() > 0 && !settings_.hedging)
        add_violation(now, "second concurrent attempt although hedging is disabled");
    check_resend(now, request, endpoints_.at(start.endpoint).listed);
    Attempt attempt;
    attempt.endpoint = start.endpoint;
    attempt.sent_at = now;
    attempt.is_prefill = role(start.endpoint) == Role::prefill;
    request.attempts.push_back(attempt);
    check_slow_start_budget(now, start.endpoint);
}

// Checks that the idempotency of the class permits sending the request to `target` after its earlier
// attempts.
void RouterInvariantChecker::check_resend(Millis now, const Request& request, const Endpoint& target) {
    const ClassSettings& class_rules = class_settings(request);
    for (const Attempt& attempt : request.attempts) {
        if (attempt.proven_not_run) continue;
        if (class_rules.idempotency == Idempotency::unsafe)
            add_violation(now, "unsafe request sent again although it may have run");
        if (class_rules.idempotency != Idempotency::with_key) continue;
        const Endpoint& earlier = endpoints_.at(attempt.endpoint).listed;
        if (now - attempt.sent_at > class_rules.dedup_window)
            add_violation(now, "keyed request sent again after its dedup window");
        if (class_rules.dedup_scope == DedupScope::zone && earlier.zone != target.zone)
            add_violation(now, "keyed request sent again to a zone outside its dedup scope");
        if (class_rules.dedup_scope == DedupScope::cell && earlier.cell != target.cell)
            add_violation(now, "keyed request sent again to a cell outside its dedup scope");
    }
}

void RouterInvariantChecker::check_slow_start_budget(Millis now, EndpointId endpoint) {
    const double budget = settings_.overload_factor * settings_.initial_capacity * warm_capacity_per_s *
                          settings_.overload_window / 1000;
    if (static_cast<double>(endpoints_.at(endpoint).recent_sends.size()) > budget)
        add_violation(now, "warming endpoint got more requests than its slow-start budget");
}

void RouterInvariantChecker::record_endpoint_use(Millis now, EndpointId endpoint) {
    if (!endpoints_.count(endpoint)) return add_violation(now, "attempt or slot at an unknown endpoint");
    KnownEndpoint& known = endpoints_[endpoint];
    if (known.unavailable_since && now > *known.unavailable_since + settings_.drain_grace)
        add_violation(now, "draining or removed endpoint used after drain_grace");
    const bool is_warming = settings_.slow_start_duration > 0 && known.listed.started_at > 0 &&
                            now - known.listed.started_at < settings_.slow_start_duration;
    if (!is_warming) return;
    known.recent_sends.push_back(now);
    while (known.recent_sends.front() <= now - settings_.overload_window) known.recent_sends.pop_front();
}

void RouterInvariantChecker::on_reserve_slot(Millis now, const ReserveSlot& reserve) {
    Request& request = requests_.at(reserve.request);
    if (!settings_.slot_reservation)
        add_violation(now, "slot reserved although slot reservation is disabled");
    request.has_reserved_slot = true;
    request.lease_since = now;
    record_endpoint_use(now, reserve.endpoint);
}

void RouterInvariantChecker::end_request(Millis now, const RequestId& id, bool is_rejection) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return add_violation(now, "final answer for an unknown request");
    Request& request = it->second;
    if (request.ended) return add_violation(now, "second final answer");
    request.ended = true;
    const Millis deadline = request.arrival.deadline;
    if (now > deadline + settings_.answer_slack && deadline > 0)
        add_violation(now, "final answer later than deadline + answer_slack");
    const ClassSettings& class_rules = class_settings(request);
    if (!is_rejection || class_rules.idempotency == Idempotency::idempotent) return;
    for (const Attempt& attempt : request.attempts) {
        if (attempt.proven_not_run || (attempt.is_prefill && !attempt.pending)) continue;
        if (class_rules.idempotency == Idempotency::unsafe)
            add_violation(now, "unsafe request rejected although it may have run");
        if (class_rules.idempotency == Idempotency::with_key && class_rules.dedup_scope != DedupScope::all)
            add_violation(now, "keyed request of limited dedup scope rejected although it may have run");
    }
}

// ---- time limits ----------------------------------------------------------------------------------------

void RouterInvariantChecker::check_lease_limit(Millis now, const RequestId& id, const Request& request) {
    if (request.holds_lease() && now > request.lease_since + settings_.lease_release_timeout)
        add_violation(now, "KV lease or slot not released within lease_release_timeout: request " + id);
}

void RouterInvariantChecker::on_time(Millis now) {
    for (auto& [id, request] : requests_) {
        if (!request.ended && now > request.arrival.deadline + settings_.answer_slack) {
            add_violation(now, "no final answer by deadline + answer_slack: request " + id);
            request.ended = true;
        }
        if (request.pending_attempts() > 0) continue;
        const std::size_t previous_count = violations.size();
        check_lease_limit(now, id, request);
        if (violations.size() > previous_count) request.clear_lease();
    }
}

// ---- harness --------------------------------------------------------------------------------------------

const std::vector<Action>& RouterHarness::handle(Millis now, const Event& event) {
    checker.on_time(now);
    checker.on_event(now, event);
    actions.clear();
    router.handle(now, event, actions);
    for (const auto& action : actions) {
        checker.on_action(now, action);
        if (const auto* set_timer = std::get_if<SetTimer>(&action))
            timers.emplace(set_timer->at, set_timer->timer);
    }
    return actions;
}

void RouterHarness::advance_to(Millis now) {
    std::vector<Action> all_actions;
    while (!timers.empty() && timers.begin()->first <= now) {
        const auto [at, timer] = *timers.begin();
        timers.erase(timers.begin());
        handle(at, TimerFired{timer});
        all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    }
    checker.on_time(now);
    actions = std::move(all_actions);
}

// ---- test data ------------------------------------------------------------------------------------------

Settings test_settings() {
    ClassSettings important;
    important.latency_objective = 1000;
    important.deadline = 5000;
    important.priority_weight = 3;
    important.inter_token_objective = 60;
    ClassSettings ordinary = important;
    ordinary.priority_weight = 1;
    Settings settings;
    settings.classes = {important, ordinary};
    settings.kinds = {{Role::prefill, 100000}, {Role::decode, 100000}, {Role::mixed, 100000}};
    settings.zones = 2;
    settings.gateways = 2;
    settings.max_attempts = 6;
    settings.cancellation = true;
    settings.stream_migration = true;
    settings.answer_slack = 16;
    settings.drain_grace = 250;
    settings.lease_release_timeout = 500;
    settings.overload_factor = 2.5;
    settings.overload_window = 2000;
    settings.initial_capacity = 0.3;
    settings.slow_start_duration = 10000;
    settings.event_interval = 4;
    return settings;
}

EndpointUpdate full_list(const std::vector<Endpoint>& entries) {
    return {EndpointUpdate::Kind::full, entries};
}

Endpoint prefill_endpoint(EndpointId id, int zone) {
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.zone = zone;
    endpoint.kind = 0;
    endpoint.cell = static_cast<std::uint64_t>(zone);
    return endpoint;
}

Endpoint decode_endpoint(EndpointId id, int zone) {
    Endpoint endpoint = prefill_endpoint(id, zone);
    endpoint.kind = 1;
    return endpoint;
}

Arrival arrival(const RequestId& id, Millis now, double prompt_tokens) {
    Arrival request;
    request.request = id;
    request.deadline = now + 5000;
    request.prompt_tokens = prompt_tokens;
    request.max_tokens = 300;
    return request;
}

AttemptEnded attempt_ended(const RequestId& id, int attempt, EndpointId endpoint, AttemptResult result,
                           bool request_closed) {
    AttemptEnded ended;
    ended.request = id;
    ended.attempt = attempt;
    ended.endpoint = endpoint;
    ended.result = result;
    ended.request_closed = request_closed;
    return ended;
}

}  // namespace gorsenotch::test
