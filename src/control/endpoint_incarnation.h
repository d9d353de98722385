// When each endpoint last started, on this host's monotonic clock. No I/O; the clock is handed in, ms.
//
// Endpoint lists name a start (an incarnation) by a wall clock's time, which may be wrong or stepped, here or
// there. An incarnation that first appears while lists are being watched is taken to start now, whatever the
// clocks say: that is late by the list's own delay, and the endpoint counts as warming for that much longer.
// Only for the first list there is nothing but the clocks.
//
// Ownership: one for each endpoint list, which alone changes it.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

class EndpointIncarnations {
public:
    // `clock_offset`: ms to add to the wall clock's time to get the monotonic clock's.
    explicit EndpointIncarnations(Millis clock_offset) : clock_offset_(clock_offset) {}

    // `name` is listed now with `incarnation`, its start in ms on the wall clock; 0: long ago.
    // Returns its start on the monotonic clock, 0 for long ago.
    Millis on_listed(const std::string& name, double incarnation, Millis now);
    // A full list has been taken from discovery: what is new or changes from now on starts as it appears.
    void on_full_list() { watching_ = true; }
    // Forgets endpoints unlisted for long, once they are many beside the `listed` ones.
    void forget(std::size_t listed, Millis now);
    std::size_t size() const { return known_.size(); }

private:
    struct Known {
        double incarnation = 0;
        Millis started_at = 0;
        Millis last_listed = 0;
    };
    Millis started_at(double incarnation, Millis now) const;

    const Millis clock_offset_;
    bool watching_ = false;
    std::unordered_map<std::string, Known> known_;
};

}  // namespace gorsenotch::control
