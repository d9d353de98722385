// Invariant 1: each request has one final answer in time, nothing follows it, and its text is the engine's.
#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// The violation in how the client's request ended; empty if there is none.
std::string ending_violation(const RecordIndex& index, const ClientRequest& client, Millis late_by_ms,
                             bool late) {
    if (client.answers > 1) return std::to_string(client.answers) + " final answers";
    if (client.connection_lost && !index.gateway_killed(client.gateway, client.started_at, client.ended_at))
        return "the connection closed without an answer from a live gateway";
    if (client.timed_out) return "no answer by the deadline";
    if (late) return "answered " + std::to_string(late_by_ms) + " ms after the deadline";
    const bool has_ended = client.answers > 0 || client.disconnected || client.connection_lost;
    if (!has_ended && !index.gateway_killed(client.gateway, client.started_at, kNever))
        return "no answer, disconnect or connection loss recorded";
    return "";
}

}  // namespace

Finding check_answered(const RecordIndex& index) {
    const CheckerSettings& settings = index.settings();
    Finding finding = make_finding("1 no request lost", "each request has one final answer in time");
    for (const auto& [name, client] : index.clients()) {
        if (!client.record) continue;
        ++finding.cases;
        const Millis answered_at =
            client.stream && client.first_token_at >= 0 ? client.first_token_at : client.answered_at;
        const Millis due = client.deadline + settings.answer_slack;
        const bool late = client.answers == 1 && answered_at > due + settings.record_delay;
        const Interval* suspension = index.suspension_at(client.gateway, due);
        const bool in_time_after_suspension =
            suspension && (client.timed_out || answered_at <= suspension->to + settings.suspension_recovery +
                                                                  settings.record_delay);
        if (in_time_after_suspension && client.answers <= 1 && (client.timed_out || late)) {
            ++finding.excused;
            continue;
        }
        const std::string violation = ending_violation(index, client, answered_at - client.deadline, late);
        if (violation.empty()) continue;
        std::string example = name;
        example.append(" (").append(record_location(client.record)).append("): ").append(violation);
        add_violation(finding, example);
    }
    return finding;
}

Finding check_nothing_after(const RecordIndex& index) {
    Finding finding =
        make_finding("1 no request lost", "nothing is sent after the final answer or the deadline");
    std::map<std::string, const ClientRequest*> answered;
    for (const auto& [name, client] : index.clients()) {
        if (client.unexpected_bytes) add_violation(finding, name + ": bytes after the final answer");
        if (client.answers > 0 && !client.request.empty()) answered[client.request] = &client;
    }
    const Millis record_delay = index.settings().record_delay;
    for (const auto& [request, attempts] : index.attempts()) {
        const auto it = answered.find(request);
        if (it == answered.end()) continue;
        const ClientRequest& client = *it->second;
        for (const EngineAttempt& attempt : attempts) {
            ++finding.cases;
            if (attempt.open.from > client.deadline + record_delay)
                add_violation(finding, request + ": sent after the client's deadline " +
                                           std::to_string(client.deadline) + ", " +
                                           record_location(attempt.received));
            if (attempt.open.from > client.answered_at + record_delay)
                add_violation(finding, request + ": sent after the final answer; request " +
                                           record_location(client.record) + ", attempt " +
                                           record_location(attempt.received));
        }
    }
    return finding;
}

Finding check_text(const RecordIndex& index) {
    Finding finding =
        make_finding("1 no request lost", "received text is the engine's text or a prefix of it");
    for (const auto& [name, client] : index.clients()) {
        if (client.text.empty()) continue;
        ++finding.cases;
        if (client.text == "wrong")
            add_violation(finding, name + " (" + record_location(client.record) +
                                       "): text differs from the engine's text");
    }
    return finding;
}

Finding check_complete(const RecordIndex& index) {
    Finding finding = make_finding("1 no request lost", "answers ended as whole were whole at their engine");
    for (const auto& [name, client] : index.clients()) {
        if (client.ending != "whole" || client.request.empty()) continue;
        const EngineAttempt* truncated = nullptr;
        bool completed = false;
        for (const EngineAttempt& attempt : index.attempts_of(client.request)) {
            if (attempt.received->text("op") != "write") continue;
            completed = completed || attempt.ending == "done";
            if (attempt.ending == "truncated") truncated = &attempt;
        }
        ++finding.cases;
        if (!truncated || completed) continue;
        add_violation(finding, name + " (" + record_location(client.record) +
                                   "): its engine ended it early, " + record_location(truncated->received));
    }
    return finding;
}

}  // namespace gorsenotch::invariants
