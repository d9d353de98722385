#include "router/router_harness.h"

#include <algorithm>

namespace gorsenotch::test {

int Checker::out(const Request& r) const {
    return static_cast<int>(
        std::count_if(r.tries.begin(), r.tries.end(), [](const Try& t) { return t.out; }));
}

void Checker::breach(Millis now, const std::string& what) {
    breaches.push_back(std::to_string(now) + ": " + what);
}

Role Checker::role(EndpointId server) const {
    return s_.kinds[static_cast<std::size_t>(servers_.at(server).entry.kind)].role;
}

void Checker::event(Millis now, const Event& event) {
    if (const auto* arrival = std::get_if<Arrival>(&event)) {
        requests_[arrival->request].a = *arrival;
    } else if (const auto* gone = std::get_if<ClientDisconnected>(&event)) {
        if (const auto it = requests_.find(gone->request); it != requests_.end()) it->second.ended = true;
    } else if (const auto* first_token = std::get_if<FirstToken>(&event)) {
        Request& r = requests_.at(first_token->request);
        r.ended = r.begun = true;
        r.state = r.place = false;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
        Request& r = requests_.at(ended->request);
        Try& t = r.tries.at(static_cast<std::size_t>(ended->attempt));
        t.out = false;
        t.proven_not_run = t.reader || ended->result == AttemptResult::rejected ||
                           ended->result == AttemptResult::unreachable ||
                           ended->result == AttemptResult::not_sent;
        if (ended->result == AttemptResult::prefill_done) r.state = true;
        if (ended->result == AttemptResult::rejected && ended->detail == 1) r.state = false;
        if (ended->result == AttemptResult::served) r.state = r.place = false;
        if (ended->request_closed) r.ended = true;
        // One whose connection did not come up was never out, as far as the server can tell.
        if (ended->result != AttemptResult::unreachable && ended->result != AttemptResult::not_sent)
            r.pinned_since = now;
        if ((r.state || r.place) && now > r.pinned_since + s_.lease_release_timeout)
            breach(now, "pinned: state or place held for " + ended->request);
    } else if (const auto* released = std::get_if<LeaseReleased>(&event)) {
        const auto it = requests_.find(released->request);
        if (it != requests_.end()) it->second.state = it->second.place = false;
    } else if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
        if (update->kind == EndpointUpdate::Kind::failed) return;
        if (update->kind != EndpointUpdate::Kind::incremental) {
            for (auto& [id, s] : servers_) s.entry.status = EndpointStatus::removed;
        }
        for (const auto& entry : update->endpoints) servers_[entry.id].entry = entry;
        for (auto& [id, s] : servers_) {
            if (s.entry.status == EndpointStatus::healthy) {
                s.told_gone = -1;
            } else if (s.told_gone < 0) {
                s.told_gone = now;
            }
        }
    }
}

void Checker::send(Millis now, EndpointId server) {
    if (!servers_.count(server)) return breach(now, "unknown server");
    Server& s = servers_[server];
    if (s.told_gone >= 0 && now > s.told_gone + s_.drain_grace)
        breach(now, "drain: sent to a server that is gone");
    if (s_.slow_start_duration > 0 && s.entry.started_at > 0 &&
        now - s.entry.started_at < s_.slow_start_duration) {
        s.sends.push_back(now);
        while (s.sends.front() <= now - s_.overload_window) s.sends.pop_front();
    }
}

void Checker::action(Millis now, const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
        const auto it = requests_.find(start->request);
        if (it == requests_.end()) return breach(now, "lost: attempt for an unknown request");
        Request& r = it->second;
        if (r.ended) breach(now, "lost: attempt after the end");
        send(now, start->endpoint);
        if (!servers_.count(start->endpoint)) return;
        if (out(r) > 0 && !s_.hedging) breach(now, "twice: two attempts out");
        const ClassSettings& class_settings = s_.classes[static_cast<std::size_t>(r.a.cls)];
        const Endpoint& to = servers_.at(start->endpoint).entry;
        for (const Try& t : r.tries) {
            if (t.proven_not_run) continue;
            if (class_settings.idempotency == Idempotency::unsafe)
                breach(now, "twice: a once request sent again");
            if (class_settings.idempotency != Idempotency::with_key) continue;
            const Endpoint& ran = servers_.at(t.server).entry;
            if (now - t.sent > class_settings.dedup_window) breach(now, "twice: sent again after the window");
            if (class_settings.dedup_scope == DedupScope::zone && ran.zone != to.zone)
                breach(now, "twice: sent to another zone");
            if (class_settings.dedup_scope == DedupScope::cell && ran.cell != to.cell)
                breach(now, "twice: sent to another cell");
        }
        Try t;
        t.server = start->endpoint, t.sent = now, t.reader = role(start->endpoint) == Role::prefill;
        r.tries.push_back(t);
        const double budget =
            s_.overload_factor * s_.initial_capacity * capacity_per_s * s_.overload_window / 1000;
        if (static_cast<double>(servers_.at(start->endpoint).sends.size()) > budget)
            breach(now, "cold: pushed over");
    } else if (const auto* reserve = std::get_if<ReserveSlot>(&action)) {
        Request& r = requests_.at(reserve->request);
        if (!s_.slot_reservation) breach(now, "place held where that is forbidden");
        r.place = true;
        r.pinned_since = now;
        send(now, reserve->endpoint);
    } else if (const auto* release = std::get_if<ReleaseLease>(&action)) {
        if (const auto it = requests_.find(release->request); it != requests_.end()) {
            it->second.state = it->second.place = false;
        }
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        end(now, fail->request, false);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
        end(now, reject->request, true);
    } else if (std::get_if<StopAttempt>(&action)) {
        if (!s_.cancellation) breach(now, "attempt stopped where that is forbidden");
    } else if (std::get_if<HealthCheck>(&action)) {
        if (!s_.health_checks) breach(now, "probe where that is forbidden");
    }
}

void Checker::end(Millis now, const RequestId& id, bool refusal) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return breach(now, "lost: answer for an unknown request");
    Request& r = it->second;
    if (r.ended) return breach(now, "lost: a second final answer");
    r.ended = true;
    if (now > r.a.deadline + s_.answer_slack && r.a.deadline > 0) breach(now, "lost: answered too late");
    const ClassSettings& class_settings = s_.classes[static_cast<std::size_t>(r.a.cls)];
    if (!refusal || class_settings.idempotency == Idempotency::idempotent) return;
    for (const Try& t : r.tries) {
        if (t.proven_not_run || (t.reader && !t.out)) continue;
        if (class_settings.idempotency == Idempotency::unsafe)
            breach(now, "twice: a once request refused that may have run");
        if (class_settings.idempotency == Idempotency::with_key &&
            class_settings.dedup_scope != DedupScope::all)
            breach(now, "twice: a keyed request refused");
    }
}

void Checker::time(Millis now) {
    for (auto& [id, r] : requests_) {
        if (!r.ended && now > r.a.deadline + s_.answer_slack) {
            breach(now, "lost: no answer in time for " + id);
            r.ended = true;
        }
        if ((r.state || r.place) && out(r) == 0 && now > r.pinned_since + s_.lease_release_timeout) {
            breach(now, "pinned: state or place held for " + id);
            r.state = r.place = false;
        }
    }
}

const std::vector<Action>& Bench::feed(Millis now, const Event& event) {
    checker.time(now);
    checker.event(now, event);
    actions.clear();
    router.handle(now, event, actions);
    for (const auto& reject : actions) {
        checker.action(now, reject);
        if (const auto* set_timer = std::get_if<SetTimer>(&reject))
            timers.emplace(set_timer->at, set_timer->timer);
    }
    return actions;
}

void Bench::run_to(Millis now) {
    std::vector<Action> gathered;
    while (!timers.empty() && timers.begin()->first <= now) {
        const auto [at, label] = *timers.begin();
        timers.erase(timers.begin());
        feed(at, TimerFired{label});
        gathered.insert(gathered.end(), actions.begin(), actions.end());
    }
    checker.time(now);
    actions = std::move(gathered);
}

Settings plain_settings() {
    Settings settings;
    ClassSettings class_settings;
    class_settings.latency_objective = 1000, class_settings.deadline = 5000,
    class_settings.priority_weight = 3, class_settings.inter_token_objective = 60;
    settings.classes = {class_settings, class_settings};
    settings.classes[1].priority_weight = 1;
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

EndpointUpdate list(const std::vector<Endpoint>& entries) { return {EndpointUpdate::Kind::full, entries}; }

Endpoint reader(EndpointId id, int zone) {
    Endpoint endpoint;
    endpoint.id = id, endpoint.zone = zone, endpoint.kind = 0,
    endpoint.cell = static_cast<std::uint64_t>(zone);
    return endpoint;
}

Endpoint writer(EndpointId id, int zone) {
    Endpoint endpoint = reader(id, zone);
    endpoint.kind = 1;
    return endpoint;
}

Arrival arrival(const RequestId& id, Millis now, double prompt) {
    Arrival a;
    a.request = id;
    a.deadline = now + 5000;
    a.prompt_tokens = prompt;
    a.max_tokens = 300;
    return a;
}

AttemptEnded outcome(const RequestId& id, int attempt, EndpointId server, AttemptResult result, bool closed) {
    AttemptEnded ended;
    ended.request = id, ended.attempt = attempt, ended.endpoint = server, ended.result = result,
    ended.request_closed = closed;
    return ended;
}

}  // namespace gorsenotch::test
