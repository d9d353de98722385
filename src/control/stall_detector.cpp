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
        work_begun_at_ = now;
    }
    const Millis found = state_ == LoopState::polling ? stall_after_poll(now) : stall_within_work(now);
    stalled_for_ += found;
    longest_stall_ = std::max(longest_stall_, found);
    return found;
}

// Waking for an event before the poll was due to end is on time; any time beyond that is a delay.
Millis StallDetector::stall_after_poll(Millis now) {
    state_ = LoopState::working;
    work_begun_at_ = now;
    counted_in_work_ = 0;
    const Millis delay = now - poll_until_;
    return delay >= min_stall_ ? delay : 0;
}

// A period of work that lasts too long is a stall, as no events are handled during it.
Millis StallDetector::stall_within_work(Millis now) {
    const Millis working_for = now - work_begun_at_;
    const Millis uncounted = working_for - counted_in_work_;
    const bool stall_continues = counted_in_work_ > 0 && working_for > counted_in_work_;
    if (uncounted < min_stall_ && !stall_continues) return 0;
    counted_in_work_ = working_for;
    return uncounted;
}

void StallDetector::after_poll(Millis at) {
    on_activity(at);
    last_poll_ = last_poll_ ? std::max(*last_poll_, at) : at;
}

}  // namespace gorsenotch::control
