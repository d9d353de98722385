// Replays a decision journal: feeds its events to a fresh Router and compares the actions (`gorsenotch
// replay`). The same version with the same settings must decide the same again.
#pragma once

#include <iosfwd>
#include <string>

#include "gorsenotch/settings.h"

namespace gorsenotch::state {

struct ReplayResult {
    long events = 0;
    long actions = 0;
    std::string difference;  // the first one, with its line; empty: none
};

// Each life in the journal gets a Router with its seed. Throws JournalError (a std::runtime_error) naming the
// line where the journal is damaged; a last line that was cut short, by the end or by the next life, is
// passed over.
ReplayResult replay(std::istream& journal, const Settings& settings);

}  // namespace gorsenotch::state
