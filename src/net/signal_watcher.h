// Delivers signals of the process as callbacks of an event loop.
#pragma once

#include <functional>

namespace gorsenotch::net {

class EventLoop;

// Calls `fire` on the loop's thread for each signal `signal_number` received during this object's lifetime.
// Does not keep the loop running.
class SignalWatcher {
public:
    SignalWatcher(EventLoop& loop, int signal_number, std::function<void()> fire);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    struct Handle;
    Handle* handle_;  // freed by the loop after ~SignalWatcher has closed it
};

}  // namespace gorsenotch::net
