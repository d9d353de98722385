#include "invariants/service_summary.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace gorsenotch::invariants {
namespace {

constexpr int kOk = 200;
constexpr int kOverloaded = 529;
constexpr Millis kMaxAttemptDuration = 1e6;  // limits attempts without a recorded end

// A request and its retries, whose value counts once.
struct Turn {
    double possible = 0;
    double earned = 0;
    std::string cls;
    Millis started_at = kNever;
};
using Turns = std::map<std::string, Turn>;

bool is_served(const ClientRequest& client) {
    return client.answers == 1 && client.status == kOk && client.ending == "whole";
}

Millis first_byte_at(const ClientRequest& client) {
    return client.first_token_at >= 0 ? client.first_token_at : client.answered_at;
}

void count_outcome(const RecordIndex& index, const ClientRequest& client, Service& service) {
    ++service.asked;
    if (client.disconnected) ++service.client_disconnected;
    if (client.connection_lost) {
        const bool killed = index.gateway_killed(client.gateway, client.started_at, client.ended_at);
        ++(killed ? service.lost_with_killed_gateway : service.lost_with_live_gateway);
    }
    if (client.answers != 1) return;
    if (is_served(client)) {
        ++service.answered;
    } else if (client.status == kOverloaded) {
        ++service.refused;
    } else {
        ++service.failed;
    }
}

void begin_turn(Turn& turn, const ClientRequest& client, const ClassSettings& cls) {
    turn.cls = client.cls;
    turn.possible = cls.priority_weight;
    turn.started_at = std::min(turn.started_at, client.started_at);
}

// Latency counts from the first request of the turn, so all of them must have been added.
void credit(Turn& turn, const ClientRequest& client, const ClassSettings& cls) {
    const Millis latency = first_byte_at(client) - turn.started_at;
    const Millis objective = cls.latency_objective +
                             cls.latency_objective_per_1000_tokens * client.record->number("prompt") / 1000;
    const double value = cls.priority_weight * (latency <= objective ? 1 : cls.late_value_fraction);
    turn.earned = std::max(turn.earned, value);
}

double fraction(double earned, double possible) { return possible > 0 ? earned / possible : 0; }

void sum_values(const Turns& turns, Service& service) {
    Turn total;
    std::map<std::string, Turn> by_class;
    for (const auto& [name, turn] : turns) {
        total.possible += turn.possible;
        total.earned += turn.earned;
        Turn& of_class = by_class[turn.cls];
        of_class.possible += turn.possible;
        of_class.earned += turn.earned;
    }
    service.value = fraction(total.earned, total.possible);
    for (const auto& [name, sum] : by_class)
        service.by_class.emplace_back(name, fraction(sum.earned, sum.possible));
}

double quantile(const std::vector<Millis>& sorted, double rank) {
    if (sorted.empty()) return 0;
    const auto position = static_cast<std::size_t>(std::ceil(rank * static_cast<double>(sorted.size()))) - 1;
    return sorted[std::min(position, sorted.size() - 1)];
}

bool overlaps_suspension(const std::vector<Interval>& suspensions, const EngineAttempt& attempt,
                         Millis recovery) {
    return std::any_of(suspensions.begin(), suspensions.end(), [&](const Interval& suspension) {
        return attempt.open.from <= suspension.to + recovery && attempt.open.to >= suspension.from;
    });
}

void count_suspended_attempt(const RecordIndex& index, const ClientRequest& client,
                             const std::vector<Interval>& suspensions, const EngineAttempt& attempt,
                             Service& service) {
    const Interval& open = attempt.open;
    const bool client_waits =
        !client.disconnected && client.deadline > std::min(open.to, open.from + kMaxAttemptDuration);
    if (!client_waits || !overlaps_suspension(suspensions, attempt, index.settings().suspension_recovery))
        return;
    if (index.has_server_fault(attempt.server, open.from, open.to) || attempt.ending == "down") return;
    const bool during = overlaps_suspension(suspensions, attempt, 0);
    const bool cancelled = attempt.ending == "left" || attempt.ending == "cancelled";
    ++(during ? service.attempts_during_suspension : service.attempts_after_suspension);
    if (cancelled) ++(during ? service.cancelled_during_suspension : service.cancelled_after_suspension);
}

void count_suspended_attempts(const RecordIndex& index, Service& service) {
    const auto clients = index.clients_by_request();
    for (const auto& [request, attempts] : index.attempts()) {
        const std::string* gateway = index.gateway_of(request);
        const auto client = clients.find(request);
        if (!gateway || client == clients.end()) continue;
        const std::vector<Interval>& suspensions = index.suspensions(*gateway);
        for (const EngineAttempt& attempt : attempts)
            count_suspended_attempt(index, *client->second, suspensions, attempt, service);
    }
}

}  // namespace

Service summarize_service(const RecordIndex& index) {
    Service service;
    Turns turns;
    std::vector<Millis> times;
    for (const auto& [name, client] : index.clients()) {
        if (!client.record) continue;
        Turn& turn = turns[client.turn];
        const ClassSettings* cls = index.class_settings(client.cls);
        if (!cls) continue;
        begin_turn(turn, client, *cls);
        count_outcome(index, client, service);
        if (is_served(client)) times.push_back(first_byte_at(client) - client.started_at);
    }
    for (const auto& [name, client] : index.clients()) {
        if (!client.record || !is_served(client)) continue;
        if (const ClassSettings* cls = index.class_settings(client.cls))
            credit(turns[client.turn], client, *cls);
    }
    sum_values(turns, service);
    count_suspended_attempts(index, service);
    std::sort(times.begin(), times.end());
    service.p50 = quantile(times, 0.5);
    service.p99 = quantile(times, 0.99);
    service.p999 = quantile(times, 0.999);
    return service;
}

}  // namespace gorsenotch::invariants
