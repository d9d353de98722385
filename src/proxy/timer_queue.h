// Pending timers in order of time, and of setting where the times are equal. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::proxy {

// A timer may belong to an owner, such as a request: the owner keeps references to its pending timers in a
// member of type OwnedTimers, which only this queue may change, so that all of them are cancelled with it. An
// owner must cancel its timers before it is destroyed, and its timers are all in one queue for each such
// member. `Kind` is the user's enumeration of what a timer is for. Times are milliseconds on one monotonic
// clock.
template <class Owner, class Kind>
class TimerQueue {
public:
    struct Timer {
        Millis at;            // when it is due
        std::uint64_t order;  // how many timers had been set by then, this one included
        std::uint64_t label;  // the user's own mark
        Kind kind;
        Owner* owner;  // null: nobody's
        int attempt;   // of the owner; the user's own mark as well
        bool operator<(const Timer& other) const {
            return at != other.at ? at < other.at : order < other.order;
        }
    };
    using Set = std::set<Timer>;
    using OwnedTimers = std::vector<typename Set::iterator>;

    // `owned`: the member in which an owner keeps its timers of this queue.
    explicit TimerQueue(OwnedTimers Owner::*owned) : owned_(owned) {}

    // Adds a timer. Timers that are set already stay as they are.
    void set(Millis at, Kind kind, Owner* owner, int attempt, std::uint64_t label) {
        ++last_order_;
        const auto timer = timers_.insert({at, last_order_, label, kind, owner, attempt}).first;
        if (owner) (owner->*owned_).push_back(timer);
    }
    // Removes and returns the first timer, if it is due at `now` and its order is `last_order` or below.
    std::optional<Timer> take_due(Millis now, std::uint64_t last_order) {
        const auto first = timers_.begin();
        if (first == timers_.end() || first->at > now || first->order > last_order) return std::nullopt;
        const Timer timer = *first;
        if (timer.owner) std::erase(timer.owner->*owned_, first);
        timers_.erase(first);
        return timer;
    }
    void cancel_all(Owner& owner) {
        for (const auto& timer : owner.*owned_) timers_.erase(timer);
        (owner.*owned_).clear();
    }
    bool empty() const { return timers_.empty(); }
    std::size_t size() const { return timers_.size(); }
    // When the first timer is due; only to be called if there is one.
    Millis next_due() const { return timers_.begin()->at; }
    // The order of the timer that was set last; 0 before any.
    std::uint64_t last_order() const { return last_order_; }

private:
    OwnedTimers Owner::*const owned_;
    Set timers_;
    std::uint64_t last_order_ = 0;
};

}  // namespace gorsenotch::proxy
