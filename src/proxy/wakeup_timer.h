// An event loop timer for an object that returns from each call when it must be called next.
#pragma once

#include <algorithm>
#include <functional>

#include "net/clock.h"
#include "net/event_loop.h"
#include "net/timer.h"

namespace gorsenotch::proxy {

// Must be destroyed before the loop and before anything that `tick` refers to. Runs on the loop's thread.
class WakeupTimer {
public:
    // `tick` does the work that is due and returns the time (ms on net::now()'s clock) of its next call. It
    // is first called after wake().
    WakeupTimer(net::EventLoop& loop, std::function<net::Millis()> tick)
        : tick_(std::move(tick)), timer_(loop, [this] { fire(); }) {}

    // Calls `tick` in the next loop iteration, regardless of the time that it last returned.
    void wake() {
        if (wake_pending_) return;
        wake_pending_ = true;
        timer_.fire_after(0);
    }

private:
    void fire() {
        // wake() is ignored while `tick` runs: the returned time accounts for timers set meanwhile.
        wake_pending_ = true;
        const net::Millis next = tick_();
        wake_pending_ = false;
        timer_.fire_after(std::max(0.0, next - net::now()));
    }

    std::function<net::Millis()> tick_;
    net::Timer timer_;
    bool wake_pending_ = false;
};

}  // namespace gorsenotch::proxy
