// The clock of the whole program.
#pragma once

namespace gorsenotch::net {

using Millis = double;

// Milliseconds on the host's monotonic clock, the same in every process of one machine. Needs no loop.
Millis now();

}  // namespace gorsenotch::net
