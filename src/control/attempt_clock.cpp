#include "control/attempt_clock.h"

#include <algorithm>

namespace gorsenotch::control {

Millis AttemptClock::timeout_at() const {
    if (timeout <= 0) return request_deadline;
    return std::min(request_deadline, sent_at + timeout + std::max(0.0, stalled_at_write - stalled_at_send));
}

bool AttemptClock::endpoint_at_fault() const {
    return timeout_at() < request_deadline || stalled_at_write - stalled_at_send <= 0;
}

}  // namespace gorsenotch::control
