// Changes of a file, found by looking at it at intervals.
#pragma once

#include <functional>
#include <string>

#include "net/timer.h"

namespace gorsenotch::net {

// Calls `changed` after each change of a file that exists (its text replaced, another file renamed over it,
// the file made again), and once at the start. Not called while the file is missing. Reads no content.
class FileWatcher {
public:
    // `interval`: ms from one look to the next.
    FileWatcher(EventLoop& loop, std::string file, Millis interval, std::function<void()> changed);
    // Looks at once, and then again after the interval.
    void check_now();
    // The next look reports the file, if it is there, as if it had changed.
    void report_again();

private:
    std::string file_;
    std::string last_version_;  // as of the last look; empty: it was not there
    Millis interval_;
    std::function<void()> changed_;
    Timer timer_;
};

}  // namespace gorsenotch::net
