// A callback that is deferred to the end of the event loop's current iteration.
#pragma once

#include <functional>

namespace gorsenotch::net {

class EventLoop;

// Runs its callback once before the loop next polls its sockets, if schedule() was called: combines what
// several callbacks of one loop iteration request. May be destroyed at any time, also inside its own
// callback.
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
