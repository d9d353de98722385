// Invariant 2: no effect happens twice.
#include <algorithm>
#include <cstdlib>

#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

struct Runs {
    int count = 0;
    const EngineAttempt* last = nullptr;
};

// By key, engines that remember it drop the repeat; without one each run has its effect.
Runs count_runs(const std::vector<EngineAttempt>& attempts, bool keyed) {
    Runs runs;
    for (const EngineAttempt& attempt : attempts) {
        if (keyed ? attempt.first_run : attempt.ran) ++runs.count;
        if (attempt.ran) runs.last = &attempt;
    }
    return runs;
}

long attempt_number(const EngineAttempt& attempt) {
    const std::string id = attempt.received->text("id");
    return std::atol(id.c_str() + id.rfind('.') + 1);
}

}  // namespace

Finding check_runs_once(const RecordIndex& index) {
    Finding finding = make_finding("2 no effect twice", "once and by_key: run once; refused only if not run");
    const auto clients = index.clients_by_request();
    for (const auto& [request, attempts] : index.attempts()) {
        const auto* cls =
            attempts.empty() ? nullptr : index.class_settings(attempts[0].received->text("cls"));
        if (!cls || cls->idempotency == Idempotency::idempotent) continue;
        ++finding.cases;
        const bool keyed =
            cls->idempotency == Idempotency::with_key && !attempts[0].received->text("key").empty();
        const Runs runs = count_runs(attempts, keyed);
        if (runs.count > 1)
            add_violation(finding, request + ": run " + std::to_string(runs.count) + " times, last " +
                                       place(runs.last->received));
        const auto client = clients.find(request);
        const bool refused = client != clients.end() && client->second->status == 529;
        if (refused && runs.last && !(keyed && cls->dedup_scope == DedupScope::all))
            add_violation(finding, request + ": told that a repeat is harmless, but it ran " +
                                       place(runs.last->received));
    }
    return finding;
}

Finding check_no_overlap(const RecordIndex& index) {
    Finding finding = make_finding("2 no effect twice", "never two attempts of a request at once");
    const Millis notice = index.settings().notice;
    for (const auto& [request, attempts] : index.attempts()) {
        ++finding.cases;
        // In the order in which they were sent: one that was closed as the next was sent may be seen after
        // it, as the records are two processes'.
        std::vector<const EngineAttempt*> sent;
        for (const EngineAttempt& attempt : attempts) sent.push_back(&attempt);
        std::sort(sent.begin(), sent.end(), [](const EngineAttempt* left, const EngineAttempt* right) {
            return attempt_number(*left) < attempt_number(*right);
        });
        for (std::size_t i = 1; i < sent.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                const EngineAttempt& before = *sent[k];
                const Millis next_from = sent[i]->open.from;
                // An engine that was cut off or stood still learns late that nobody waits any more.
                if (before.open.to <= next_from + notice ||
                    index.in_trouble(before.server, before.open.from, next_from))
                    continue;
                add_violation(finding, request + ": " + place(before.received) + " still out when " +
                                           place(sent[i]->received));
            }
        }
    }
    return finding;
}

}  // namespace gorsenotch::invariants
