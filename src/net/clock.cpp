#include "net/clock.h"

#include <uv.h>

namespace gorsenotch::net {

Millis now() {
    constexpr Millis kNanosecondsPerMillisecond = 1e6;
    return static_cast<Millis>(uv_hrtime()) / kNanosecondsPerMillisecond;
}

}  // namespace gorsenotch::net
