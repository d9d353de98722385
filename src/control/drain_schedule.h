// How a gateway that was told to stop parts from the streams it cannot finish: before it is killed, at an
// even pace, so that their prompts are not all read anew at once. No I/O; the clock is handed in, ms.
//
// A stream cut off by the kill fails; one handed back before goes on elsewhere from its last token, at the
// price of reading its prompt again. Those that may still end are left to end, hence the wait. Where clients
// do not ask for the rest of a stream, what begins late may end after the kill and is lost: then new requests
// are taken only while they keep coming to a process that is told to stop anyway.
#pragma once

#include <cstddef>

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

class DrainSchedule {
public:
    // `told`: when it was told to stop; `killed`: when it may be killed, at the earliest; `resume`: whether
    // clients ask elsewhere for the rest of a stream that breaks.
    DrainSchedule(Millis told, Millis killed, bool resume);

    // How many of the `open` streams are to be handed back now. Calls may come at any pace.
    std::size_t streams_to_migrate(Millis now, std::size_t open);
    // Whether new requests are taken no more: late, as in their zone there may be no other gateway that takes
    // them.
    bool stop_accepting(Millis now) const { return now >= stop_accepting_at_; }
    // Whether what has not begun is to be given its answer now.
    bool answer_remaining(Millis now) const { return now >= answer_remaining_at_; }

private:
    Millis migrate_from_, stop_accepting_at_, answer_remaining_at_, last_migration_;
};

}  // namespace gorsenotch::control
