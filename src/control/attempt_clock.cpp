#include "control/attempt_clock.h"

#include <algorithm>

namespace gorsenotch::control {

Millis AttemptClock::due() const {
    if (timeout <= 0) return request_deadline;
    return std::min(request_deadline, sent_at + timeout + std::max(0.0, stalled_at_write - stalled_at_send));
}

bool AttemptClock::endpoint_at_fault() const {
    return due() < request_deadline || stalled_at_write - stalled_at_send <= 0;
}

}  // namespace gorsenotch::control
