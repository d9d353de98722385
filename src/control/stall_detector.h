// Detects stalls of this process's event loop (a stopped process, no free core, a long callback) and decides
// how they affect time-outs. No I/O; the caller supplies the clock, ms on one monotonic clock.
//
// Two rules ensure that no endpoint is blamed for a delay of this process:
// - A time-out is evaluated only after the sockets were polled once it was due, so that responses received
//   by then are handled first. The endpoint was not stalled, so if it has not answered by then it is late.
// - Stalls of this process before a request's bytes were written do not count against the endpoint, see
//   AttemptClock.
// If the event loop reports no polls, time-outs are evaluated at any time.
//
// Ownership: one per event loop, fed by proxy/router_driver.
#pragma once

#include <optional>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// Measures stalls from the event loop's reports of polls and work.
class StallDetector {
public:
    // Shorter delays count as ordinary work. Longer than a scheduler's time slice, well below a latency
    // objective.
    static constexpr Millis kMinStall = 15;

    explicit StallDetector(Millis min_stall = kMinStall) : min_stall_(min_stall) {}

    // The loop begins to poll its sockets, until `due` at the latest.
    void before_poll(Millis now, Millis due);
    // The loop is working. Must be called when work begins and may be called at any time during it. Returns
    // the stall time that this call detected, usually 0.
    Millis on_activity(Millis now);
    // Everything that the sockets had received by `at` has been handled.
    void after_poll(Millis at);

    // Whether a time-out that was due at `due` may be evaluated now.
    bool may_evaluate_timeout(Millis due) const { return !last_poll_ || *last_poll_ >= due; }

    // Total stall time so far; the difference of two readings is the stall time between them.
    Millis stalled_for() const { return stalled_for_; }
    // The longest stall so far, for the log.
    Millis longest_stall() const { return longest_stall_; }

private:
    enum class LoopState {
        unreported,  // the event loop has reported nothing yet
        working,
        polling
    };
    Millis stall_after_poll(Millis now);
    Millis stall_within_work(Millis now);

    const Millis min_stall_;
    LoopState state_ = LoopState::unreported;
    Millis poll_until_ = 0;       // when the latest poll was due to end
    Millis work_begun_at_ = 0;    // start of the current period of work
    Millis counted_in_work_ = 0;  // part of that period already counted as stall time
    std::optional<Millis> last_poll_;
    Millis stalled_for_ = 0;
    Millis longest_stall_ = 0;
};

}  // namespace gorsenotch::control
