// What an event costs the decision module by the number of servers that are listed, with the same traffic: a
// simulated gateway on a clock of its own, one Router, no sockets.
#include <cstdio>
#include <ctime>
#include <map>
#include <random>

#include "gorsenotch/logic.h"
#include "parts.h"

namespace gorsenotch::bench {
namespace {

constexpr Millis kSecond = 1000, kReadTime = 60, kFirstTokenTime = 40, kStreamTime = 900;
constexpr double kRate = 60;         // requests a second
constexpr Millis kListChange = 500;  // between two changes of the list

double cpu_ms() {
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

Settings fleet_settings(int gateways) {
    Settings s;
    ClassSettings c;
    c.latency_objective = 1500, c.latency_objective_per_1000_tokens = 40, c.deadline = 6000,
    c.inter_token_objective = 60;
    s.classes = {c};
    s.kinds = {{Role::prefill, 200000}, {Role::decode, 150000}};
    s.zones = 2, s.gateways = gateways, s.max_attempts = 6, s.cancellation = true, s.stream_migration = true;
    s.connect_timeout = 250, s.answer_slack = 50, s.drain_grace = 250, s.lease_release_timeout = 1000;
    s.overload_factor = 2.5, s.overload_window = 2000, s.initial_capacity = 0.3,
    s.slow_start_duration = 10000, s.event_interval = 4;
    return s;
}

Endpoint entry(int rank) {
    Endpoint e;
    e.id = static_cast<EndpointId>(rank * 2654435761u);
    e.zone = rank / 6 % 2, e.kind = rank % 2, e.cell = static_cast<std::uint64_t>(rank / 6 + 1);
    return e;
}

struct Played {
    double cpu_ms = 0;
    std::uint64_t decisions = 0;  // a hash of all attempts, to compare two texts of the module by
};

// A gateway for `seconds` at `rate`.
Played play(int servers, double rate, double seconds) {
    Router router(fleet_settings(300), 7);
    std::vector<Action> actions;
    std::multimap<Millis, Event> events;
    std::mt19937 random(1);
    EndpointUpdate list;
    for (int i = 0; i < servers; ++i) list.endpoints.push_back(entry(i));
    events.emplace(0, list);
    for (Millis at = kListChange; at < seconds * kSecond; at += kListChange) {
        EndpointUpdate change;
        change.kind = EndpointUpdate::Kind::incremental;
        change.endpoints.push_back(entry(static_cast<int>(random() % static_cast<unsigned>(servers))));
        events.emplace(at, change);
    }
    long count = 0;
    for (Millis at = 10; rate > 0 && at < seconds * kSecond; at += kSecond / rate) {
        Arrival a;
        a.request = std::to_string(++count), a.deadline = at + 6000;
        a.session = random() % 5000 + 1, a.shared_prefix = random() % 40 + 1;
        a.prompt_tokens = 2000, a.shared_prefix_tokens = 1500, a.max_tokens = 400;
        events.emplace(at, a);
    }
    Played played;
    std::map<RequestId, int> attempts;
    while (!events.empty()) {
        const Millis now = events.begin()->first;
        const Event event = std::move(events.begin()->second);
        events.erase(events.begin());
        if (now > seconds * kSecond) break;
        actions.clear();
        const double before = cpu_ms();
        router.handle(now, event, actions);
        played.cpu_ms += cpu_ms() - before;
        for (const auto& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                events.emplace(timer->at, TimerFired{timer->timer});
            const auto* attempt = std::get_if<StartAttempt>(&action);
            if (!attempt) continue;
            played.decisions =
                (played.decisions ^ attempt->endpoint) * 0x100000001B3ULL + attempt->request.size();
            AttemptEnded o;
            o.request = attempt->request, o.attempt = attempts[attempt->request]++,
            o.endpoint = attempt->endpoint;
            if (o.attempt == 0) {
                o.result = AttemptResult::prefill_done, o.took = kReadTime;
                events.emplace(now + kReadTime, o);
            } else {
                events.emplace(now + kFirstTokenTime,
                               FirstToken{o.request, o.attempt, o.endpoint, kFirstTokenTime});
                o.result = AttemptResult::served, o.request_closed = true;
                events.emplace(now + kStreamTime, o);
            }
        }
    }
    return played;
}

}  // namespace

int run_sizes() {
    constexpr double kSeconds = 20;
    std::printf("%8s %16s %16s %22s %18s\n", "servers", "idle ms/s", "60/s ms/s", "us for each request",
                "decisions");
    for (const int servers : {12, 60, 200, 240, 1000, 3200}) {
        const Played idle = play(servers, 0, kSeconds), busy = play(servers, kRate, kSeconds);
        std::printf("%8d %16.3f %16.3f %22.1f %18llx\n", servers, idle.cpu_ms / kSeconds,
                    busy.cpu_ms / kSeconds, (busy.cpu_ms - idle.cpu_ms) / kSeconds / kRate * 1e3,
                    static_cast<unsigned long long>(busy.decisions));
    }
    return 0;
}

}  // namespace gorsenotch::bench
