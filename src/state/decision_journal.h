// What a Router was told and what it said, as NDJSON: for a look after the fact and for replaying a day's
// events through the module (`gorsenotch replay`), which must give the same actions again.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

#include "state/decision_observer.h"

namespace gorsenotch::state {

// Null if the file can't be written. The first line holds the seed. Where a write fails later the journal
// ends there, as what followed a gap would not replay, and `on_stopped` is told why, once.
std::unique_ptr<DecisionObserver> open_journal(
    const std::string& file, std::uint64_t seed,
    std::function<void(const std::string& why)> on_stopped = nullptr);

struct ReplayResult {
    long events = 0, actions = 0;
    std::string difference;  // the first one, with its line; empty: none
};
// Feeds the events of a journal to a fresh Router with the same settings and seed. Throws std::runtime_error,
// naming the line, where the journal is damaged; a last line that was cut short is passed over.
ReplayResult replay(std::istream& journal, const Settings& settings);

}  // namespace gorsenotch::state
