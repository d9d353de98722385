// The decision journal: each event that goes into a Router and each action that comes out, as NDJSON, one
// object a line. It serves to examine decisions after the fact and to replay them, see state/journal_replay.
//
// The format is stored data. A line with "seed" starts a life of the gateway; one with "e" is an event at the
// time "t"; one with "a" is an action of the latest event. Later lives are appended to the same file.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "state/decision_observer.h"

namespace gorsenotch::state {

// Opens `file` for appending and writes the seed; null if the file cannot be written. Where a write fails
// later the journal ends there, since what followed a gap would not replay, and `on_stopped` is called once
// with the reason. The observer owns the file; it is not synced.
std::unique_ptr<DecisionObserver> open_journal(
    const std::string& file, std::uint64_t seed,
    std::function<void(const std::string& reason)> on_stopped = nullptr);

}  // namespace gorsenotch::state
