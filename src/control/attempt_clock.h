// Computes when an attempt times out. Stalls of this process before the request's bytes were written do not
// count against the endpoint. No I/O; times are ms on one monotonic clock.
//
// Ownership: one per attempt, filled in and evaluated by proxy/router_driver.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The time-out of one attempt, and the stalls that extend it.
struct AttemptClock {
    Millis sent_at = 0;           // when the attempt was begun
    Millis timeout = 0;           // 0: only the request's deadline applies
    Millis request_deadline = 0;  // never extended
    // StallDetector::stalled_for() when the attempt was begun, and when its bytes were written.
    Millis stalled_at_send = 0;
    Millis stalled_at_write = 0;
    bool written = false;  // the bytes were written: stalled_at_write is final

    // When the attempt times out. Stalls between its begin and its write extend the time-out, but not beyond
    // the request's deadline.
    Millis timeout_at() const;
    // False if the request's deadline kept the time-out from being extended by the full stall: the endpoint
    // had less than its full time because of this process.
    bool endpoint_at_fault() const;
};

}  // namespace gorsenotch::control
