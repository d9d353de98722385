// Remembers which requests may have had their effect, so that a gateway does not send one again whose
// transaction id comes once more after the request has ended. No I/O; the clock is handed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// Bounds: the latest kMaxRequests ids, each for kRetention. Only their hashes are kept. Times are ms on one
// monotonic clock. Threading: one thread.
class ExecutedRequests {
public:
    static constexpr Millis kRetention = 60000;
    static constexpr std::size_t kMaxRequests = 8192;

    // The request with this id may have had its effect.
    void add(Millis now, std::string_view transaction);
    bool contains(Millis now, std::string_view transaction);
    std::size_t size() const { return by_age_.size(); }

private:
    struct Entry {
        std::uint64_t hash = 0;
        Millis added_at = 0;
    };
    void remove_expired(Millis now);
    void remove_oldest();

    std::deque<Entry> by_age_;
    std::unordered_set<std::uint64_t> hashes_;
};

}  // namespace gorsenotch::control
