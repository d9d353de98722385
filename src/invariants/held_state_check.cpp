// Invariant 5: a state that an engine holds is taken or released in time.
#include <algorithm>
#include <optional>

#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// Since when the state was held for too long while no attempt of its request was in flight.
std::optional<Millis> overdue_since(const RecordIndex& index, const HeldState& state) {
    const Millis allowed = index.settings().release_within;
    const Millis notice = index.settings().notice;
    std::vector<Interval> in_flight;
    for (const EngineAttempt& attempt : index.attempts_of(request_of(state.id)))
        in_flight.push_back(attempt.open);
    std::sort(in_flight.begin(), in_flight.end(),
              [](const Interval& left, const Interval& right) { return left.from < right.from; });
    Millis free = state.held.from;
    for (const Interval& attempt : in_flight) {
        if (attempt.to <= free) continue;
        if (attempt.from > free + allowed + notice) break;
        free = std::max(free, attempt.to);
    }
    if (free + allowed + notice < state.held.to && free >= 0) return free;
    return std::nullopt;
}

// A release can't be expected of a gateway that is dead or stood still, nor reach an engine that is cut off:
// then the engine's own lease ends it.
bool excused(const RecordIndex& index, const HeldState& state, Millis since) {
    const Millis due = since + index.settings().release_within;
    if (index.in_trouble(state.server, state.held.from, due)) return true;
    const std::string* gateway = index.gateway_of(request_of(state.id));
    if (!gateway) return index.any_killed_near(state.held.from);
    if (index.killed(*gateway, state.held.from, due)) return true;
    const Millis stopped = index.stopped_for(*gateway, since, state.held.to);
    return state.held.to <= due + index.settings().notice + stopped;
}

}  // namespace

Finding check_held_states(const RecordIndex& index) {
    Finding finding = make_finding("5 nothing left pinned", "a state is taken or let go in time");
    for (const HeldState& state : index.held_states()) {
        ++finding.cases;
        const auto since = overdue_since(index, state);
        if (!since) continue;
        if (excused(index, state, *since)) {
            ++finding.excused;
            continue;
        }
        add_violation(finding, state.id + ": held since " + place(state.record) + ", no attempt out since " +
                                   std::to_string(*since));
    }
    return finding;
}

}  // namespace gorsenotch::invariants
