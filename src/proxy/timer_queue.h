// Pending timers, ordered by due time and, where that is equal, by when they were set. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::proxy {

// A timer may belong to an owner, such as a request. The owner keeps references to its pending timers in a
// member of type OwnedTimers, through which they are all cancelled together; only this queue may modify that
// member. An owner must cancel its timers before it is destroyed, and each such member refers to timers of
// one queue only. `Kind` is the user's enumeration of what a timer is for. Times are milliseconds on one
// monotonic clock.
template <class Owner, class Kind>
class TimerQueue {
public:
    struct Timer {
        Millis at;            // when it is due
        std::uint64_t order;  // sequence number of the timer in this queue, from 1
        std::uint64_t label;  // chosen by the user; not interpreted by the queue
        Kind kind;
        Owner* owner;  // null: none
        int attempt;   // of the owner; likewise
        bool operator<(const Timer& other) const {
            return at != other.at ? at < other.at : order < other.order;
        }
    };
    using Set = std::set<Timer>;
    using OwnedTimers = std::vector<typename Set::iterator>;

    // `owned`: the member in which an owner keeps references to its timers of this queue.
    explicit TimerQueue(OwnedTimers Owner::*owned) : owned_(owned) {}

    // Adds a timer. Timers that are already set are not changed.
    void set(Millis at, Kind kind, Owner* owner, int attempt, std::uint64_t label) {
        ++last_order_;
        const auto timer = timers_.insert({at, last_order_, label, kind, owner, attempt}).first;
        if (owner) (owner->*owned_).push_back(timer);
    }
    // Removes and returns the first timer, if it is due at `now` and its order is `last_order` or below.
    std::optional<Timer> pop_due(Millis now, std::uint64_t last_order) {
        const auto first = timers_.begin();
        if (first == timers_.end() || first->at > now || first->order > last_order) return std::nullopt;
        const Timer timer = *first;
        if (timer.owner) std::erase(timer.owner->*owned_, first);
        timers_.erase(first);
        return timer;
    }
    // Removes all timers of `owner`.
    void cancel_all(Owner& owner) {
        for (const auto& timer : owner.*owned_) timers_.erase(timer);
        (owner.*owned_).clear();
    }
    bool empty() const { return timers_.empty(); }
    std::size_t size() const { return timers_.size(); }
    // When the first timer is due. The queue must not be empty.
    Millis next_due() const { return timers_.begin()->at; }
    // The order of the timer that was set last; 0 if none has been set.
    std::uint64_t last_order() const { return last_order_; }

private:
    OwnedTimers Owner::*const owned_;
    Set timers_;
    std::uint64_t last_order_ = 0;
};

}  // namespace gorsenotch::proxy
