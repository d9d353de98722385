// Detects changes of a file by checking it at intervals.
#pragma once

#include <functional>
#include <string>

#include "net/timer.h"

namespace gorsenotch::net {

// Calls `on_change` after each change of a file that exists (its content replaced, another file renamed over
// it, the file created again), and once at the start. Not called while the file is missing. Does not read the
// content.
class FileWatcher {
public:
    // `interval`: ms between checks.
    FileWatcher(EventLoop& loop, std::string file, Millis interval, std::function<void()> on_change);
    // Checks the file at once; the next check follows after the interval.
    void check_now();
    // Makes the next check report the file, if it exists, as changed.
    void force_report();

private:
    std::string file_;
    std::string last_version_;  // at the last check; empty: the file did not exist
    Millis interval_;
    std::function<void()> on_change_;
    Timer timer_;
};

}  // namespace gorsenotch::net
