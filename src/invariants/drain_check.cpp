// Invariant 3: no new attempt is sent to an engine that is not healthy after the drain grace.
#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// The latest status of the server in the gateway's endpoint list at the time; null if there is none.
const Record* last_listed_mode(const RecordIndex& index, long server, const std::string& gateway, Millis at) {
    const auto it = index.listed_modes().find(server);
    if (it == index.listed_modes().end()) return nullptr;
    const Record* last = nullptr;
    for (const Record* record : it->second) {
        if (record->text("gateway") == gateway && record->t <= at) last = record;
    }
    return last;
}

// Each gateway is checked against its own endpoint list. Attempts whose gateway is not known are skipped.
void check_attempt(const RecordIndex& index, const std::string& request, const EngineAttempt& attempt,
                   Finding& finding) {
    const std::string* gateway = index.gateway_of(request);
    if (!gateway) return;
    const Record* listed = last_listed_mode(index, attempt.server, *gateway, attempt.open.from);
    if (!listed) return;
    ++finding.cases;
    if (listed->text("mode") == "healthy") return;
    const CheckerSettings& settings = index.settings();
    const Millis late_by = attempt.open.from - listed->t - settings.drain_grace - settings.record_delay;
    if (late_by <= 0) return;
    if (late_by <= index.suspended_time(*gateway, listed->t, attempt.open.from)) {
        ++finding.excused;
    } else {
        add_violation(finding, request + ": " + record_location(attempt.received) +
                                   ", listed as not healthy " + record_location(listed));
    }
}

}  // namespace

Finding check_drains(const RecordIndex& index) {
    Finding finding = make_finding("3 drains kept", "no new attempt after the drain grace");
    for (const auto& [server, records] : index.listed_modes())
        finding.cases += static_cast<long>(records.size());
    for (const auto& [request, attempts] : index.attempts()) {
        for (const EngineAttempt& attempt : attempts) check_attempt(index, request, attempt, finding);
    }
    return finding;
}

}  // namespace gorsenotch::invariants
