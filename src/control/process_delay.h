// What run-time checks allow for this process itself.
#pragma once

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The process may be held up for so long, in ms, between reading its clock and writing; windows and deadlines
// allow for it.
constexpr Millis kMaxProcessDelay = 150;

}  // namespace gorsenotch::control
