// Judges whether a client that lags behind still takes its answer, by the bytes of it that the client's host
// has acknowledged. Bytes that were only written prove nothing: they may lie in this host's buffers for good.
// No I/O; the clock and the counts are handed in. Times are ms on one monotonic clock.
//
// Ownership: by whoever waits for the client.
#pragma once

#include <cstdint>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// Records when a lagging client last acknowledged anything.
class ClientProgress {
public:
    static constexpr Millis kStallTimeout = 5000;

    // A client that has acknowledged nothing for `stall_timeout` does not read its answer any more.
    explicit ClientProgress(Millis stall_timeout = kStallTimeout) : stall_timeout_(stall_timeout) {}
    // The client begins to lag behind.
    void start(Millis now, std::uint64_t acknowledged_bytes);
    // The client has acknowledged this many bytes in all.
    void record(Millis now, std::uint64_t acknowledged_bytes);
    // When the client counts as stalled unless progress is recorded before.
    Millis stalls_at() const { return last_progress_ + stall_timeout_; }

private:
    Millis stall_timeout_;
    Millis last_progress_ = 0;
    std::uint64_t acknowledged_bytes_ = 0;
};

}  // namespace gorsenotch::control
