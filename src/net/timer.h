// One-shot timers on an event loop.
#pragma once

#include <functional>

#include "net/clock.h"

namespace gorsenotch::net {

class EventLoop;

// Calls back at a time. May be destroyed or set again at any time, also inside its own callback.
class Timer {
public:
    // Not set; `fire` runs on the loop's thread.
    Timer(EventLoop& loop, std::function<void()> fire);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    // Fires once, not before `delay` ms and, in an idle loop, at most 1 ms later. Replaces what was set.
    void fire_after(Millis delay);
    // As fire_after(), but not before the loop has polled its sockets since the timer was due. For timeouts
    // of peers: guards against a peer that is blamed for this process's own delay, while its bytes wait to be
    // read. May come late by the time that one turn of the loop takes.
    void fire_after_poll(Millis delay);
    void stop();

private:
    struct Handle;
    Handle* handle_;  // freed by the loop after ~Timer has closed it
};

}  // namespace gorsenotch::net
