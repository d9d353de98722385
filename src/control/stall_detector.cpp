#include "control/stall_detector.h"

#include <algorithm>

namespace gorsenotch::control {

void StallDetector::before_poll(Millis now, Millis due) {
    on_activity(now);
    state_ = LoopState::polling;
    poll_until_ = std::max(now, due);
}

Millis StallDetector::on_activity(Millis now) {
    if (state_ == LoopState::unreported) {
        state_ = LoopState::working;
        last_activity_ = now;
    }
    const Millis found = state_ == LoopState::polling ? stall_after_poll(now) : stall_within_work(now);
    stalled_for_ += found;
    longest_stall_ = std::max(longest_stall_, found);
    return found;
}

// Woken for an event before the poll was due to end: on time. After it: as late as that.
Millis StallDetector::stall_after_poll(Millis now) {
    state_ = LoopState::working;
    last_activity_ = now;
    counted_in_work_ = 0;
    const Millis late = now - poll_until_;
    return late >= min_stall_ ? late : 0;
}

// A run of work that lasts too long: nothing that came meanwhile has been handled.
Millis StallDetector::stall_within_work(Millis now) {
    const Millis working_for = now - last_activity_;
    const Millis uncounted = working_for - counted_in_work_;
    const bool stall_goes_on = counted_in_work_ > 0 && working_for > counted_in_work_;
    if (uncounted < min_stall_ && !stall_goes_on) return 0;
    counted_in_work_ = working_for;
    return uncounted;
}

void StallDetector::after_poll(Millis at) {
    on_activity(at);
    last_poll_ = last_poll_ ? std::max(*last_poll_, at) : at;
}

}  // namespace gorsenotch::control
