// Invariant 2: no request has its side effect twice.
#include <algorithm>
#include <cstdlib>

#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

struct Runs {
    int count = 0;
    const EngineAttempt* last = nullptr;
};

// With an idempotency key, a duplicate run has no effect; without one, each run has its effect.
Runs count_runs(const std::vector<EngineAttempt>& attempts, bool has_key) {
    Runs runs;
    for (const EngineAttempt& attempt : attempts) {
        if (has_key ? attempt.first_run : attempt.ran) ++runs.count;
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
        const bool has_key =
            cls->idempotency == Idempotency::with_key && !attempts[0].received->text("key").empty();
        const Runs runs = count_runs(attempts, has_key);
        if (runs.count > 1)
            add_violation(finding, request + ": run " + std::to_string(runs.count) + " times, last " +
                                       record_location(runs.last->received));
        const auto client = clients.find(request);
        const bool refused = client != clients.end() && client->second->status == 529;
        if (refused && runs.last && !(has_key && cls->dedup_scope == DedupScope::all))
            add_violation(finding, request + ": status 529 (safe to retry), but it ran " +
                                       record_location(runs.last->received));
    }
    return finding;
}

Finding check_no_overlap(const RecordIndex& index) {
    Finding finding = make_finding("2 no effect twice", "no two attempts of a request overlap");
    const Millis record_delay = index.settings().record_delay;
    for (const auto& [request, attempts] : index.attempts()) {
        ++finding.cases;
        // In the order in which they were sent, which may differ from the order of the records: one engine
        // may record the end of an attempt after another engine has recorded the start of the next one.
        std::vector<const EngineAttempt*> sent;
        for (const EngineAttempt& attempt : attempts) sent.push_back(&attempt);
        std::sort(sent.begin(), sent.end(), [](const EngineAttempt* left, const EngineAttempt* right) {
            return attempt_number(*left) < attempt_number(*right);
        });
        for (std::size_t i = 1; i < sent.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                const EngineAttempt& before = *sent[k];
                const Millis next_from = sent[i]->open.from;
                // An engine that is cut off or suspended detects the closed connection late.
                if (before.open.to <= next_from + record_delay ||
                    index.has_server_fault(before.server, before.open.from, next_from))
                    continue;
                add_violation(finding, request + ": " + record_location(before.received) +
                                           " still in flight at " + record_location(sent[i]->received));
            }
        }
    }
    return finding;
}

}  // namespace gorsenotch::invariants
