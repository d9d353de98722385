#include "control/stall_detector.h"

#include <algorithm>

namespace gorsenotch::control {

void StallDetector::before_poll(Millis now, Millis due) {
    on_activity(now);
    polling_ = true;
    poll_until_ = std::max(now, due);
}

Millis StallDetector::on_activity(Millis now) {
    Millis found = 0;
    if (!loop_reports_) loop_reports_ = true, last_activity_ = now;
    if (polling_) {
        // Woken for an event before it was due: on time. After it: as late as that.
        polling_ = false;
        last_activity_ = now, counted_until_ = 0;
        if (now - poll_until_ >= min_stall_) found = now - poll_until_;
    } else if (now - last_activity_ - counted_until_ >= min_stall_ ||
               (counted_until_ > 0 && now - last_activity_ > counted_until_)) {
        // A turn that has lasted too long: nothing that came meanwhile has been heard.
        found = now - last_activity_ - counted_until_;
        counted_until_ = now - last_activity_;
    }
    stalled_for_ += found;
    longest_stall_ = std::max(longest_stall_, found);
    return found;
}

void StallDetector::after_poll(Millis at) {
    on_activity(at);
    last_poll_ = last_poll_ > 1e299 ? at : std::max(last_poll_, at);
}

Millis AttemptClock::due() const {
    if (timeout <= 0) return request_deadline;
    return std::min(request_deadline, sent_at + timeout + std::max(0.0, stalled_at_write - stalled_at_send));
}

}  // namespace gorsenotch::control
