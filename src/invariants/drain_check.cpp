// Invariant 3: nothing new is sent to an engine that is not healthy, once the grace is over.
#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// What the gateway's list last said of the server by then; null: nothing.
const Record* last_listed_mode(const RecordIndex& index, long server, const std::string& gateway, Millis at) {
    const auto it = index.listed_modes().find(server);
    if (it == index.listed_modes().end()) return nullptr;
    const Record* last = nullptr;
    for (const Record* record : it->second) {
        if (record->text("gateway") == gateway && record->t <= at) last = record;
    }
    return last;
}

// A gateway goes by its own list; which one sent the attempt is known where a client has learnt it.
void check_attempt(const RecordIndex& index, const std::string& request, const EngineAttempt& attempt,
                   Finding& finding) {
    const std::string* gateway = index.gateway_of(request);
    if (!gateway) return;
    const Record* listed = last_listed_mode(index, attempt.server, *gateway, attempt.open.from);
    if (!listed) return;
    ++finding.cases;
    if (listed->text("mode") == "healthy") return;
    const CheckerSettings& settings = index.settings();
    const Millis past = attempt.open.from - listed->t - settings.drain_grace - settings.notice;
    if (past <= 0) return;
    if (past <= index.stopped_for(*gateway, listed->t, attempt.open.from)) {
        ++finding.excused;
    } else {
        add_violation(finding, request + ": " + place(attempt.received) + ", told " + place(listed));
    }
}

}  // namespace

Finding check_drains(const RecordIndex& index) {
    Finding finding = make_finding("3 drains kept", "nothing new after the grace (sends and notices)");
    for (const auto& [server, records] : index.listed_modes())
        finding.cases += static_cast<long>(records.size());
    for (const auto& [request, attempts] : index.attempts()) {
        for (const EngineAttempt& attempt : attempts) check_attempt(index, request, attempt, finding);
    }
    return finding;
}

}  // namespace gorsenotch::invariants
