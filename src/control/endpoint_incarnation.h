// Tracks when each endpoint last started, on this host's monotonic clock. No I/O; the caller supplies the
// clock, in ms.
//
// Endpoint lists identify an incarnation by its start on a wall clock, which may be wrong or stepped on
// either host. Once a full list has been received, a new incarnation is taken to start when it first appears,
// whatever the clocks say. That is late by the delay of the list, so slow start lasts longer by that delay.
// Only start times in the first list are converted from the wall clock.
//
// Ownership: one per endpoint list, which is the only one to change it.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The start time of each endpoint's latest incarnation.
class EndpointIncarnations {
public:
    // `clock_offset`: monotonic clock minus wall clock, ms.
    explicit EndpointIncarnations(Millis clock_offset) : clock_offset_(clock_offset) {}

    // Records that `name` is listed with `incarnation`, its start in ms on the wall clock; 0: long ago.
    // Returns its start on the monotonic clock; 0: long ago.
    Millis on_listed(const std::string& name, double incarnation, Millis now);
    // Records that a full list came from discovery: from now on a new incarnation starts when it appears.
    void on_full_list() { full_list_received_ = true; }
    // Drops endpoints that have been unlisted for long, once they are many compared to `listed`, the number
    // of listed ones.
    void drop_unlisted(std::size_t listed, Millis now);
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        double incarnation = 0;
        Millis started_at = 0;
        Millis last_listed = 0;
    };
    Millis started_at(double incarnation, Millis now) const;

    const Millis clock_offset_;
    bool full_list_received_ = false;
    std::unordered_map<std::string, Entry> entries_;
};

}  // namespace gorsenotch::control
