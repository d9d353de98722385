// One-shot timers on an event loop.
#pragma once

#include <functional>

#include "net/clock.h"

namespace gorsenotch::net {

class EventLoop;

// Runs a callback at a set time. May be destroyed or set again at any time, also inside its own callback.
class Timer {
public:
    // Creates a timer that is not set; `fire` runs on the loop's thread.
    Timer(EventLoop& loop, std::function<void()> fire);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    // Fires once, after at least `delay` ms and, in an idle loop, at most 1 ms later. Replaces an earlier
    // setting.
    void fire_after(Millis delay);
    // As fire_after(), but not before the loop has polled its sockets since the timer was due. For timeouts
    // of peers: guards against blaming a peer for this process's own delay while the peer's bytes wait to be
    // read. May fire late by the duration of one loop iteration.
    void fire_after_poll(Millis delay);
    void stop();

private:
    struct Handle;
    Handle* handle_;  // freed by the loop after ~Timer has closed it
};

}  // namespace gorsenotch::net
