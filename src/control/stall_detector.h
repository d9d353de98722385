// Detects standstills of this process's event loop (a stopped process, no core to run on, a long callback)
// and says what they mean for time-outs. No I/O; the clock is handed in, ms on one monotonic clock.
//
// Two rules, by which no endpoint is blamed for this process's own delay:
// - A time-out is judged only after a poll of the sockets since it was due: what had come by then is handled
//   first. Time goes on for the peer, so one that had not answered by then is late in truth.
// - Time in which this process stood still before it handed a request's bytes over is not the peer's: see
//   AttemptClock.
// A host that reports no polls is taken to be always watching.
//
// Ownership: one for each event loop, fed by proxy/router_driver.
#pragma once

#include <optional>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

class StallDetector {
public:
    // A shorter standstill is ordinary work: above what a scheduler's slice takes, well below a latency
    // objective.
    static constexpr Millis kMinStall = 15;

    explicit StallDetector(Millis min_stall = kMinStall) : min_stall_(min_stall) {}

    // The loop begins to wait for its sockets, until `due` at the latest.
    void before_poll(Millis now, Millis due);
    // Work is being done; to be called when it begins and as often as is convenient. Returns the part of a
    // standstill that this call has found, mostly 0.
    Millis on_activity(Millis now);
    // All that had come to the sockets by `at` has been handed on.
    void after_poll(Millis at);

    // Whether a time-out that was due at `due` may be judged now.
    bool may_judge_timeout(Millis due) const { return !last_poll_ || *last_poll_ >= due; }

    // The sum of all standstills so far; the difference of two readings is what lay between them.
    Millis stalled_for() const { return stalled_for_; }
    // The longest standstill so far, for the log.
    Millis longest_stall() const { return longest_stall_; }

private:
    enum class LoopState {
        unreported,  // the host has reported nothing yet
        working,
        polling
    };
    Millis stall_after_poll(Millis now);
    Millis stall_within_work(Millis now);

    const Millis min_stall_;
    LoopState state_ = LoopState::unreported;
    Millis poll_until_ = 0;       // of the latest poll
    Millis last_activity_ = 0;    // the present run of work began
    Millis counted_in_work_ = 0;  // of that run, already counted as a standstill
    std::optional<Millis> last_poll_;
    Millis stalled_for_ = 0;
    Millis longest_stall_ = 0;
};

}  // namespace gorsenotch::control
