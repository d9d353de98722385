// Invariant 1: no request is lost, nothing comes after its end, and its text is the engine's.
#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// What is wrong with how the client's request ended; empty: nothing.
std::string wrong_ending(const RecordIndex& index, const ClientRequest& client, Millis late_by, bool late) {
    if (client.answers > 1) return std::to_string(client.answers) + " final answers";
    if (client.lost && !index.killed(client.gateway, client.at, client.ended))
        return "the connection broke without an answer, and its gateway lives";
    if (client.overdue) return "no answer by the deadline";
    if (late) return "answered " + std::to_string(late_by) + " ms after the deadline";
    const bool ended = client.answers > 0 || client.gone || client.lost;
    if (!ended && !index.killed(client.gateway, client.at, kNever)) return "never ended";
    return "";
}

}  // namespace

Finding check_answered(const RecordIndex& index) {
    const CheckerSettings& settings = index.settings();
    Finding finding = make_finding("1 no request lost", "each ask has one final answer in time");
    for (const auto& [name, client] : index.clients()) {
        if (!client.record) continue;
        ++finding.cases;
        const Millis answered = client.stream && client.first >= 0 ? client.first : client.answered;
        const Millis due = client.deadline + settings.answer_slack;
        const bool late = client.answers == 1 && answered > due + settings.notice;
        const Interval* stop = index.stop_at(client.gateway, due);
        const bool in_time_after_stop =
            stop && (client.overdue || answered <= stop->to + settings.recover + settings.notice);
        if (in_time_after_stop && client.answers <= 1 && (client.overdue || late)) {
            ++finding.excused;
            continue;
        }
        const std::string wrong = wrong_ending(index, client, answered - client.deadline, late);
        if (wrong.empty()) continue;
        std::string example = name;
        example.append(" (").append(place(client.record)).append("): ").append(wrong);
        add_violation(finding, example);
    }
    return finding;
}

Finding check_nothing_after(const RecordIndex& index) {
    Finding finding =
        make_finding("1 no request lost", "nothing is sent after the final answer or the deadline");
    std::map<std::string, const ClientRequest*> answered;
    for (const auto& [name, client] : index.clients()) {
        if (client.after) add_violation(finding, name + ": bytes after the final answer");
        if (client.answers > 0 && !client.request.empty()) answered[client.request] = &client;
    }
    const Millis notice = index.settings().notice;
    for (const auto& [request, attempts] : index.attempts()) {
        const auto it = answered.find(request);
        if (it == answered.end()) continue;
        const ClientRequest& client = *it->second;
        for (const EngineAttempt& attempt : attempts) {
            ++finding.cases;
            if (attempt.open.from > client.deadline + notice)
                add_violation(finding, request + ": its client left at " + std::to_string(client.deadline) +
                                           ", sent " + place(attempt.received));
            if (attempt.open.from > client.answered + notice)
                add_violation(finding, request + ": answered " + place(client.record) + ", sent " +
                                           place(attempt.received));
        }
    }
    return finding;
}

Finding check_text(const RecordIndex& index) {
    Finding finding =
        make_finding("1 no request lost", "the text that came is the engine's, whole or its beginning");
    for (const auto& [name, client] : index.clients()) {
        if (client.text.empty()) continue;
        ++finding.cases;
        if (client.text == "wrong")
            add_violation(finding,
                          name + " (" + place(client.record) + "): other text than the engine wrote");
    }
    return finding;
}

}  // namespace gorsenotch::invariants
