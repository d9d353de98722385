// When an attempt's time is up. Standstills of this process before the request's bytes were handed over do
// not count against the endpoint. No I/O; times are ms on one monotonic clock.
//
// Ownership: one for each attempt, filled in by proxy/router_driver, which also judges it.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

struct AttemptClock {
    Millis sent_at = 0;           // the attempt was begun
    Millis timeout = 0;           // the time it is given; 0: until the request's deadline
    Millis request_deadline = 0;  // which nothing moves
    // StallDetector::stalled_for() when the attempt was begun, and when its bytes were handed over.
    Millis stalled_at_send = 0;
    Millis stalled_at_write = 0;
    bool written = false;  // the bytes were handed over: stalled_at_write is final

    // When the time is up: a standstill between beginning and handing over moves it, up to the deadline.
    Millis due() const;
    // Whether the endpoint had all the time it was given; if not, the end is this process's doing.
    bool endpoint_at_fault() const;
};

}  // namespace gorsenotch::control
