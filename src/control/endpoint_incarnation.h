// When a server last started, on this host's monotonic clock. No I/O; the clock is handed in, ms.
//
// Lists name a start by a wall clock's time, which may be wrong or stepped, here or there. A start that comes
// about while lists are being taken is taken to be now, whatever the clocks say: it is late by the list's own
// delay, and the server is treated as colder than it is for that long. Only of the first list nothing but the
// clocks tells.
#pragma once

#include <string>
#include <unordered_map>

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

class EndpointIncarnations {
public:
    // `offset`: what is added to the wall clock's ms to get the monotonic clock's.
    explicit EndpointIncarnations(Millis offset) : clock_offset_(offset) {}

    // `name` is listed now, started at `born` by the wall clock; 0: long ago. Returns the start, 0 for long
    // ago.
    Millis on_listed(const std::string& name, double born, Millis now);
    // A list from discovery has been taken whole: what is new or has changed from now on is seen as it comes
    // about.
    void on_full_list() { watching_ = true; }
    // Forgets what has not been listed for long, where that is much of what is known.
    void forget(std::size_t listed, Millis now);
    std::size_t size() const { return known_.size(); }

private:
    struct Known {
        double incarnation = 0;
        Millis started_at = 0, last_listed = 0;
    };
    const Millis clock_offset_;
    bool watching_ = false;
    std::unordered_map<std::string, Known> known_;
};

}  // namespace gorsenotch::control
