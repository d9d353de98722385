// The signals that ask a process to stop.
#pragma once

#include <csignal>
#include <functional>

#include "net/event_loop.h"
#include "net/signal_watcher.h"

namespace gorsenotch::cli {

// Calls `on_signal` on the loop's thread for each SIGTERM, SIGINT and SIGHUP. Should be constructed before
// any slow part of the start: signals that arrive during the start are then delivered in the loop's first
// turn.
class StopSignals {
public:
    StopSignals(net::EventLoop& loop, const std::function<void()>& on_signal)
        : terminate_(loop, SIGTERM, on_signal),
          interrupt_(loop, SIGINT, on_signal),
          hangup_(loop, SIGHUP, on_signal) {}

private:
    net::SignalWatcher terminate_;
    net::SignalWatcher interrupt_;
    net::SignalWatcher hangup_;
};

}  // namespace gorsenotch::cli
