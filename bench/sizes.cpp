// What an event costs the decision module by the number of servers that are listed, with the same traffic: a
// simulated gateway on a clock of its own, one Router, no sockets.
#include <cstdio>
#include <ctime>
#include <map>
#include <random>

#include "gorsenotch/router.h"
#include "parts.h"

namespace gorsenotch::bench {
namespace {

constexpr Millis kSecond = 1000;
constexpr Millis kPrefillTime = 60;
constexpr Millis kFirstTokenTime = 40;
constexpr Millis kStreamTime = 900;
constexpr double kRate = 60;         // requests a second
constexpr Millis kListChange = 500;  // between two changes of the list

double cpu_ms() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

Settings fleet_settings(int gateways) {
    Settings settings;
    ClassSettings class_settings;
    class_settings.latency_objective = 1500;
    class_settings.latency_objective_per_1000_tokens = 40;
    class_settings.deadline = 6000;
    class_settings.inter_token_objective = 60;
    settings.classes = {class_settings};
    settings.kinds = {{Role::prefill, 200000}, {Role::decode, 150000}};
    settings.zones = 2;
    settings.gateways = gateways;
    settings.max_attempts = 6;
    settings.cancellation = true;
    settings.stream_migration = true;
    settings.connect_timeout = 250;
    settings.answer_slack = 50;
    settings.drain_grace = 250;
    settings.lease_release_timeout = 1000;
    settings.overload_factor = 2.5;
    settings.overload_window = 2000;
    settings.initial_capacity = 0.3;
    settings.slow_start_duration = 10000;
    settings.event_interval = 4;
    return settings;
}

Endpoint entry(int rank) {
    Endpoint endpoint;
    endpoint.id = static_cast<EndpointId>(rank * 2654435761u);
    endpoint.zone = rank / 6 % 2;
    endpoint.kind = rank % 2;
    endpoint.cell = static_cast<std::uint64_t>(rank) / 6 + 1;
    return endpoint;
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
        Arrival arrival;
        arrival.request = std::to_string(++count), arrival.deadline = at + 6000;
        arrival.session = random() % 5000 + 1, arrival.shared_prefix = random() % 40 + 1;
        arrival.prompt_tokens = 2000, arrival.shared_prefix_tokens = 1500, arrival.max_tokens = 400;
        events.emplace(at, arrival);
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
            AttemptEnded ended;
            ended.request = attempt->request;
            ended.attempt = attempts[attempt->request]++;
            ended.endpoint = attempt->endpoint;
            if (ended.attempt == 0) {
                ended.result = AttemptResult::prefill_done;
                ended.took = kPrefillTime;
                events.emplace(now + kPrefillTime, ended);
            } else {
                events.emplace(now + kFirstTokenTime,
                               FirstToken{ended.request, ended.attempt, ended.endpoint, kFirstTokenTime});
                ended.result = AttemptResult::served;
                ended.request_closed = true;
                events.emplace(now + kStreamTime, ended);
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
        const Played idle = play(servers, 0, kSeconds);
        const Played busy = play(servers, kRate, kSeconds);
        std::printf("%8d %16.3f %16.3f %22.1f %18llx\n", servers, idle.cpu_ms / kSeconds,
                    busy.cpu_ms / kSeconds, (busy.cpu_ms - idle.cpu_ms) / kSeconds / kRate * 1e3,
                    static_cast<unsigned long long>(busy.decisions));
    }
    return 0;
}

}  // namespace gorsenotch::bench
