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
constexpr Millis kLongestWait = 1e6;  // of an attempt without an end

// A request with its retries, which are valued together.
struct Turn {
    double possible = 0;
    double earned = 0;
    std::string cls;
    Millis began = kNever;
};
using Turns = std::map<std::string, Turn>;

bool is_served(const ClientRequest& client) {
    return client.answers == 1 && client.status == kOk && client.ending == "whole";
}

Millis first_byte_at(const ClientRequest& client) {
    return client.first >= 0 ? client.first : client.answered;
}

void count_outcome(const RecordIndex& index, const ClientRequest& client, Service& service) {
    ++service.asked;
    if (client.gone) ++service.client_disconnected;
    if (client.lost) {
        const bool killed = index.killed(client.gateway, client.at, client.ended);
        ++(killed ? service.lost_killed : service.lost);
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
    turn.began = std::min(turn.began, client.at);
}

// Once all of the turn's requests are known: an answer's value counts from the first of them.
void credit(Turn& turn, const ClientRequest& client, const ClassSettings& cls) {
    const Millis took = first_byte_at(client) - turn.began;
    const Millis objective = cls.latency_objective +
                             cls.latency_objective_per_1000_tokens * client.record->number("prompt") / 1000;
    const double value = cls.priority_weight * (took <= objective ? 1 : cls.late_value_fraction);
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

bool overlaps_stop(const std::vector<Interval>& stops, const EngineAttempt& attempt, Millis recovery) {
    return std::any_of(stops.begin(), stops.end(), [&](const Interval& stop) {
        return attempt.open.from <= stop.to + recovery && attempt.open.to >= stop.from;
    });
}

void count_stalled_attempt(const RecordIndex& index, const ClientRequest& client,
                           const std::vector<Interval>& stops, const EngineAttempt& attempt,
                           Service& service) {
    const Interval& open = attempt.open;
    const bool waited = !client.gone && client.deadline > std::min(open.to, open.from + kLongestWait);
    if (!waited || !overlaps_stop(stops, attempt, index.settings().recover)) return;
    if (index.in_trouble(attempt.server, open.from, open.to) || attempt.ending == "down") return;
    const bool during = overlaps_stop(stops, attempt, 0);
    const bool cut = attempt.ending == "left" || attempt.ending == "cancelled";
    ++(during ? service.attempts_during_stall : service.attempts_after_stall);
    if (cut) ++(during ? service.cut_during_stall : service.cut_after_stall);
}

void count_stalled_attempts(const RecordIndex& index, Service& service) {
    const auto clients = index.clients_by_request();
    for (const auto& [request, attempts] : index.attempts()) {
        const std::string* gateway = index.gateway_of(request);
        const auto client = clients.find(request);
        if (!gateway || client == clients.end()) continue;
        const std::vector<Interval>& stops = index.stops(*gateway);
        for (const EngineAttempt& attempt : attempts)
            count_stalled_attempt(index, *client->second, stops, attempt, service);
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
        if (is_served(client)) times.push_back(first_byte_at(client) - client.at);
    }
    for (const auto& [name, client] : index.clients()) {
        if (!client.record || !is_served(client)) continue;
        if (const ClassSettings* cls = index.class_settings(client.cls))
            credit(turns[client.turn], client, *cls);
    }
    sum_values(turns, service);
    count_stalled_attempts(index, service);
    std::sort(times.begin(), times.end());
    service.p50 = quantile(times, 0.5);
    service.p99 = quantile(times, 0.99);
    service.p999 = quantile(times, 0.999);
    return service;
}

}  // namespace gorsenotch::invariants
