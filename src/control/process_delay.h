// The delay of this process itself that run-time checks tolerate.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The longest tolerated delay between reading the clock and writing to a socket, ms. Checks of windows and
// deadlines add it.
constexpr Millis kMaxProcessDelay = 150;

}  // namespace gorsenotch::control
