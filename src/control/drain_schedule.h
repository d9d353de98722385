// Schedules a drain: when a stopping gateway rejects new requests, and when it migrates the streams that it
// cannot finish. No I/O; the caller supplies the clock, in ms.
//
// A stream that is open when the process is killed fails. A stream that is migrated before resumes on another
// gateway from its last token, at the cost of another prefill of its prompt. So streams first get time to end
// by themselves; the rest are migrated at an even pace, so that their prompts are not all prefilled at once.
// Where clients do not resume broken streams, a stream accepted late may be lost to the kill. There, requests
// are accepted only for the short time in which new connections still arrive after the order to stop.
//
// A connection may outlive the listener, with a request that its client writes slowly or sends late. Such a
// request is refused, however it came: it could not end before the kill.
//
// Ownership: one per drain, owned by the program's main loop.
#pragma once

#include <cstddef>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The times of one drain's phases and the pace of its migrations.
class DrainSchedule {
public:
    // `ordered_at`: when the order to stop came; `kill_at`: the earliest time at which the process may be
    // killed; `resume`: whether clients resume a broken stream on another gateway.
    DrainSchedule(Millis ordered_at, Millis kill_at, bool resume);

    // How many of the `open_streams` to migrate now. May be called at any interval.
    std::size_t streams_to_migrate(Millis now, std::size_t open_streams);
    // Query: whether new requests are to be rejected. This begins late in the drain, as the zone may have no
    // other gateway.
    bool stop_accepting(Millis now) const { return now >= stop_accepting_at_; }
    // From when on requests that were not read completely before are refused, on any connection.
    Millis refuse_requests_from() const;
    // Query: whether all requests that still lack a final response must get one now.
    bool must_answer_remaining(Millis now) const { return now >= answer_remaining_at_; }

private:
    Millis migrate_from_;
    Millis stop_accepting_at_;
    Millis answer_remaining_at_;
    Millis last_migration_;
};

}  // namespace gorsenotch::control
