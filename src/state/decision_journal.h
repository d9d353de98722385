// The decision journal: each event passed to a Router and each resulting action, as NDJSON with one object
// per line. It allows decisions to be examined later and to be replayed, see state/journal_replay.
//
// The format is stored data. A line with "seed" starts a run of the gateway, a line with "e" is an event at
// time "t", and a line with "a" is an action caused by the latest event. Later runs append to the same file.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "state/decision_observer.h"

namespace gorsenotch::state {

// Opens `file` for appending and writes the seed; returns null if the file cannot be written. After a failed
// write nothing more is written, since a journal with a gap cannot be replayed, and `on_write_failed` is
// called once with the reason. The observer owns the file; it is not synced.
std::unique_ptr<DecisionObserver> open_journal(
    const std::string& file, std::uint64_t seed,
    std::function<void(const std::string& reason)> on_write_failed = nullptr);

}  // namespace gorsenotch::state
