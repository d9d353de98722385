// Whether this process was watching: how long its loop stood still (a stop, no core to run on, a long turn),
// and what that means for time-outs. No I/O; the clock is handed in, ms on one monotonic clock.
//
// Two rules, by which nobody is blamed for what was this process's own delay:
// - A time-out is judged only after the sockets have been looked at since it was due: what had come by then
// is
//   heard first. Real time goes on for the peer, so one that had not answered by then is late in truth.
// - Time in which this process stood still before it handed a request's bytes over is no time of the peer's.
// A host that tells nothing is taken to be always watching.
#pragma once

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

class StallDetector {
public:
    // `least`: a shorter standstill is ordinary work. Above what a scheduler's slice takes, well below an
    // aim.
    explicit StallDetector(Millis least = 15) : min_stall_(least) {}

    // The loop begins to wait for its sockets, until `due` at the latest.
    void before_poll(Millis now, Millis due);
    // Work is being done; to be called when it begins and as often as is convenient. Returns the part of a
    // standstill that this call has found, 0 mostly.
    Millis on_activity(Millis now);
    // All that had come to the sockets by `at` has been handed on.
    void after_poll(Millis at);

    // Whether a time-out that was due at `due` may be judged now.
    bool may_judge_timeout(Millis due) const { return last_poll_ >= due; }

    // Time stood still so far, in sum; the difference of two readings is what lay between them.
    Millis stalled_for() const { return stalled_for_; }
    // The longest standstill so far, for the log.
    Millis longest_stall() const { return longest_stall_; }

private:
    const Millis min_stall_;
    bool polling_ = false, loop_reports_ = false;
    Millis poll_until_ = 0, last_activity_ = 0, counted_until_ = 0;
    Millis stalled_for_ = 0, longest_stall_ = 0, last_poll_ = 1e300;
};

// When an attempt's time is up. `sent`: when it was begun, with stood() then; `handed`: stood() when its
// bytes were handed over, or now if they are not yet.
struct AttemptClock {
    Millis sent_at = 0, timeout = 0,
           request_deadline = 0;  // `end`: the request's own deadline, which nothing moves
    Millis stalled_at_send = 0, stalled_at_write = 0;
    bool written = false;  // stalled_at_write is final
    // Own standstills between the two do not count against the engine.
    Millis due() const;
    // Whether the engine had all the time it was given; if not, its end is this process's doing.
    bool endpoint_at_fault() const {
        return due() < request_deadline || stalled_at_write - stalled_at_send <= 0;
    }
};

}  // namespace gorsenotch::control
