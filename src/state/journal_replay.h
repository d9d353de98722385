// Replays a decision journal (`gorsenotch replay`): passes its events to a new Router and compares the
// actions. The same version with the same settings must produce the same actions.
#pragma once

#include <iosfwd>
#include <string>

#include "gorsenotch/settings.h"

namespace gorsenotch::state {

// The number of replayed lines, and the first deviation from the journal.
struct ReplayResult {
    long events = 0;
    long actions = 0;
    std::string difference;  // the first difference, with its line number; empty: none
};

// Each run in the journal gets a Router with its seed. Throws JournalError (a std::runtime_error) with the
// line number if the journal is damaged. A torn line at the end of the journal or before the next run is
// skipped.
ReplayResult replay(std::istream& journal, const Settings& settings);

}  // namespace gorsenotch::state
