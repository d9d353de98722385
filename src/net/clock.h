// The monotonic clock that all parts of the program use.
#pragma once

namespace gorsenotch::net {

// A time or a duration in milliseconds, with fractions.
using Millis = double;

// The current time of the host's monotonic clock, which all processes of one machine share. Needs no event
// loop.
Millis now();

}  // namespace gorsenotch::net
