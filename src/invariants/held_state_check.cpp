// Invariant 5: each KV state that an engine stores is fetched or released in time.
#include <algorithm>
#include <optional>

#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// The start of the interval in which no attempt of the request was in flight and the state stayed leased for
// too long; empty if there is none.
std::optional<Millis> overdue_since(const RecordIndex& index, const LeasedState& state) {
    const Millis allowed = index.settings().release_within;
    const Millis record_delay = index.settings().record_delay;
    std::vector<Interval> in_flight;
    for (const EngineAttempt& attempt : index.attempts_of(request_of(state.id)))
        in_flight.push_back(attempt.open);
    std::sort(in_flight.begin(), in_flight.end(),
              [](const Interval& left, const Interval& right) { return left.from < right.from; });
    Millis unused_since = state.leased.from;
    for (const Interval& attempt : in_flight) {
        if (attempt.to <= unused_since) continue;
        if (attempt.from > unused_since + allowed + record_delay) break;
        unused_since = std::max(unused_since, attempt.to);
    }
    if (unused_since + allowed + record_delay < state.leased.to && unused_since >= 0) return unused_since;
    return std::nullopt;
}

// A killed or suspended gateway can't send the release, and an engine that is cut off can't receive it. Then
// the state is freed when its lease expires.
bool is_excused(const RecordIndex& index, const LeasedState& state, Millis since) {
    const Millis due = since + index.settings().release_within;
    if (index.has_server_fault(state.server, state.leased.from, due)) return true;
    const std::string* gateway = index.gateway_of(request_of(state.id));
    if (!gateway) return index.any_gateway_killed_near(state.leased.from);
    if (index.gateway_killed(*gateway, state.leased.from, due)) return true;
    const Millis suspended = index.suspended_time(*gateway, since, state.leased.to);
    return state.leased.to <= due + index.settings().record_delay + suspended;
}

}  // namespace

Finding check_leased_states(const RecordIndex& index) {
    Finding finding = make_finding("5 nothing left pinned", "each KV state is fetched or released in time");
    for (const LeasedState& state : index.leased_states()) {
        ++finding.cases;
        const auto since = overdue_since(index, state);
        if (!since) continue;
        if (is_excused(index, state, *since)) {
            ++finding.excused;
            continue;
        }
        add_violation(finding, state.id + ": leased since " + record_location(state.record) +
                                   ", no attempt in flight since " + std::to_string(*since));
    }
    return finding;
}

}  // namespace gorsenotch::invariants
