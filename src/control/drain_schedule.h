// Plans a drain: when a gateway that was ordered to stop no longer accepts requests, and when it hands the
// streams that it cannot finish back to their clients. No I/O; the clock is handed in, ms.
//
// A stream cut off by the kill fails; one handed back before resumes elsewhere from its last token, at the
// price of another prefill of its prompt. So streams that may still end are left to, and the others are
// handed back at an even pace, lest their prompts are all read again at once. Where clients do not resume
// broken streams, a request accepted late may be cut off by the kill and lost: then requests are accepted
// only while connections keep coming to a process that stops in any case.
//
// Ownership: one for each drain, owned by the program's main loop.
#pragma once

#include <cstddef>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

class DrainSchedule {
public:
    // `ordered_at`: the order to stop; `kill_at`: when the process may be killed, at the earliest;
    // `resume`: whether clients resume a broken stream elsewhere.
    DrainSchedule(Millis ordered_at, Millis kill_at, bool resume);

    // How many of the `open` streams are to be handed back now. Calls may come at any pace.
    std::size_t streams_to_migrate(Millis now, std::size_t open);
    // Whether new requests are rejected: late, as there may be no other gateway in the zone to take them.
    bool stop_accepting(Millis now) const { return now >= stop_accepting_at_; }
    // Whether requests without a response yet are to be given a final one now.
    bool answer_remaining(Millis now) const { return now >= answer_remaining_at_; }

private:
    Millis migrate_from_;
    Millis stop_accepting_at_;
    Millis answer_remaining_at_;
    Millis last_migration_;
};

}  // namespace gorsenotch::control
