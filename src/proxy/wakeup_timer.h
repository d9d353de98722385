// Wakes a core when it wants to be woken: one loop timer for whatever returns the time of its next call.
#pragma once

#include <algorithm>
#include <functional>

#include "net/event_loop.h"

namespace gorsenotch::proxy {

class WakeupTimer {
public:
    // `tick` does what is due and returns when it wants to be called next.
    WakeupTimer(net::EventLoop& loop, std::function<net::Millis()> tick)
        : tick_(std::move(tick)), timer_(loop, [this] { fire(); }) {}

    void wake() {  // in the next turn
        if (waking_) return;
        waking_ = true;
        timer_.fire_after(0);
    }

private:
    void fire() {
        // A timer set while others fire asks for a wake of its own; the one armed below covers it.
        waking_ = true;
        const net::Millis next = tick_();
        waking_ = false;
        timer_.fire_after(std::max(0.0, next - net::now()));
    }

    std::function<net::Millis()> tick_;
    net::Timer timer_;
    bool waking_ = false;
};

}  // namespace gorsenotch::proxy
