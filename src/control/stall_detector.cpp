#include "control/stall_detector.h"

#include <algorithm>

namespace gorsenotch::control {

void Lateness::sleeps(Millis now, Millis due) {
    works(now);
    sleeping_ = true;
    due_ = std::max(now, due);
}

Millis Lateness::works(Millis now) {
    Millis found = 0;
    if (!told_) told_ = true, woke_ = now;
    if (sleeping_) {
        // Woken for an event before it was due: on time. After it: as late as that.
        sleeping_ = false;
        woke_ = now, counted_ = 0;
        if (now - due_ >= least_) found = now - due_;
    } else if (now - woke_ - counted_ >= least_ || (counted_ > 0 && now - woke_ > counted_)) {
        // A turn that has lasted too long: nothing that came meanwhile has been heard.
        found = now - woke_ - counted_;
        counted_ = now - woke_;
    }
    stood_ += found;
    longest_ = std::max(longest_, found);
    return found;
}

void Lateness::looked(Millis at) {
    works(at);
    looked_ = looked_ > 1e299 ? at : std::max(looked_, at);
}

Millis AttemptClock::due() const {
    if (timeout <= 0) return request_deadline;
    return std::min(request_deadline, sent_at + timeout + std::max(0.0, stalled_at_write - stalled_at_send));
}

}  // namespace gorsenotch::control
