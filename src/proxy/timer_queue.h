// What is to happen at a time, in order of time and then of setting. Pure. An alarm that belongs to a request
// goes with it: nothing stays queued for one that has ended.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "gorsenotch/logic.h"

namespace gorsenotch::proxy {

template <class Owner, class Kind>
class TimerQueue {
public:
    struct Timer {
        Millis at;
        std::uint64_t order, label;
        Kind kind;
        Owner* owner;  // null: nobody's
        int attempt;
        bool operator<(const Timer& o) const { return at != o.at ? at < o.at : order < o.order; }
    };
    using Set = std::set<Timer>;
    using OwnedTimers = std::vector<typename Set::iterator>;  // kept by the owner, for this object alone

    explicit TimerQueue(OwnedTimers Owner::*mine) : mine_(mine) {}

    void set(Millis at, Kind kind, Owner* owner, int attempt, std::uint64_t label) {
        const auto it = all_.insert({at, ++order_, label, kind, owner, attempt}).first;
        if (owner) (owner->*mine_).push_back(it);
    }
    // Takes out the first, if it is due at `now` and was not set after `last`.
    bool take(Millis now, std::uint64_t last, Timer& out) {
        const auto it = all_.begin();
        if (it == all_.end() || it->at > now || it->order > last) return false;
        out = *it;
        if (out.owner) std::erase(out.owner->*mine_, it);
        all_.erase(it);
        return true;
    }
    void drop(Owner& owner) {
        for (const auto& it : owner.*mine_) all_.erase(it);
        (owner.*mine_).clear();
    }
    bool empty() const { return all_.empty(); }
    std::size_t size() const { return all_.size(); }
    Millis next() const { return all_.begin()->at; }
    std::uint64_t order() const { return order_; }  // of the last that was set

private:
    OwnedTimers Owner::*const mine_;
    Set all_;
    std::uint64_t order_ = 0;
};

}  // namespace gorsenotch::proxy
