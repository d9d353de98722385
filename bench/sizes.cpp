// CPU time of the decision module per event by the number of servers in the endpoint list, under the same
// traffic: one Router in simulated time, without sockets.
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
constexpr double kRequestsPerS = 60;
constexpr Millis kListChangeInterval = 500;

// CPU time of this process so far.
double read_cpu_ms() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

Settings make_settings(int gateways) {
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

Endpoint make_endpoint(int rank) {
    Endpoint endpoint;
    endpoint.id = static_cast<EndpointId>(rank * 2654435761u);
    endpoint.zone = rank / 6 % 2;
    endpoint.kind = rank % 2;
    endpoint.cell = static_cast<std::uint64_t>(rank) / 6 + 1;
    return endpoint;
}

struct SimulationResult {
    double cpu_ms = 0;
    std::uint64_t decisions_hash = 0;  // of all attempts: equal if two versions of the module decide alike
};

// Simulates a gateway for `seconds` at `requests_per_s`.
SimulationResult simulate(int servers, double requests_per_s, double seconds) {
    Router router(make_settings(300), 7);
    std::vector<Action> actions;
    std::multimap<Millis, Event> events;
    std::mt19937 random(1);
    EndpointUpdate initial_list;
    for (int i = 0; i < servers; ++i) initial_list.endpoints.push_back(make_endpoint(i));
    events.emplace(0, initial_list);
    for (Millis at = kListChangeInterval; at < seconds * kSecond; at += kListChangeInterval) {
        EndpointUpdate change;
        change.kind = EndpointUpdate::Kind::incremental;
        change.endpoints.push_back(
            make_endpoint(static_cast<int>(random() % static_cast<unsigned>(servers))));
        events.emplace(at, change);
    }
    long request_count = 0;
    for (Millis at = 10; requests_per_s > 0 && at < seconds * kSecond; at += kSecond / requests_per_s) {
        Arrival arrival;
        arrival.request = std::to_string(++request_count), arrival.deadline = at + 6000;
        arrival.session = random() % 5000 + 1, arrival.shared_prefix = random() % 40 + 1;
        arrival.prompt_tokens = 2000, arrival.shared_prefix_tokens = 1500, arrival.max_tokens = 400;
        events.emplace(at, arrival);
    }
    SimulationResult result;
    std::map<RequestId, int> attempts;
    while (!events.empty()) {
        const Millis now = events.begin()->first;
        const Event event = std::move(events.begin()->second);
        events.erase(events.begin());
        if (now > seconds * kSecond) break;
        actions.clear();
        const double before_ms = read_cpu_ms();
        router.handle(now, event, actions);
        result.cpu_ms += read_cpu_ms() - before_ms;
        for (const auto& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                events.emplace(timer->at, TimerFired{timer->timer});
            const auto* attempt = std::get_if<StartAttempt>(&action);
            if (!attempt) continue;
            result.decisions_hash =
                (result.decisions_hash ^ attempt->endpoint) * 0x100000001B3ULL + attempt->request.size();
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
    return result;
}

}  // namespace

int run_sizes() {
    constexpr double kSeconds = 20;
    std::printf("%8s %16s %16s %22s %18s\n", "servers", "idle ms/s", "60/s ms/s", "us for each request",
                "decisions");
    for (const int servers : {12, 60, 200, 240, 1000, 3200}) {
        const SimulationResult idle = simulate(servers, 0, kSeconds);
        const SimulationResult busy = simulate(servers, kRequestsPerS, kSeconds);
        std::printf("%8d %16.3f %16.3f %22.1f %18llx\n", servers, idle.cpu_ms / kSeconds,
                    busy.cpu_ms / kSeconds, (busy.cpu_ms - idle.cpu_ms) / kSeconds / kRequestsPerS * 1e3,
                    static_cast<unsigned long long>(busy.decisions_hash));
    }
    return 0;
}

}  // namespace gorsenotch::bench
