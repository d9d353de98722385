// Work put off to the end of the event loop's turn.
#pragma once

#include <functional>

namespace gorsenotch::net {

class EventLoop;

// Calls back once before the loop next waits for its sockets, if schedule() was called: gathers what several
// callbacks of one turn ask for. May be destroyed at any time, also inside its own callback.
class DeferredCall {
public:
    DeferredCall(EventLoop& loop, std::function<void()> call);
    ~DeferredCall();
    DeferredCall(const DeferredCall&) = delete;
    DeferredCall& operator=(const DeferredCall&) = delete;
    // No effect while a call is pending.
    void schedule();

private:
    struct Handle;
    Handle* handle_;  // freed by the loop after ~DeferredCall has closed it
};

}  // namespace gorsenotch::net
