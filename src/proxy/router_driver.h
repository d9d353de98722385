// Runs a Router: feeds it events in order, executes its actions through hooks, and keeps the timers of the
// Router and of the driver's owner. Also prevents endpoints from being blamed for stalls of this process.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "control/attempt_clock.h"
#include "control/stall_detector.h"
#include "gorsenotch/router.h"
#include "proxy/timer_queue.h"

namespace gorsenotch::proxy {

// Owns the Router, the event queue and both timer queues; nothing else modifies them. Does no I/O: the
// clock and all effects are hooks, which the owner sets before the first call. Times are milliseconds on the
// clock of `now`. Threading: one thread; hooks may call back into the driver.
//
// `Owner` is the type of object that a timer may belong to (a request). `Kind` is the owner's enumeration of
// timer kinds; Kind::router is reserved for the Router's own timers.
template <class Owner, class Kind>
class RouterDriver {
public:
    using Queue = TimerQueue<Owner, Kind>;
    using Timer = typename Queue::Timer;
    using OwnedTimers = typename Queue::OwnedTimers;

    std::function<Millis()> now;
    // Executes one action of the Router; never called with a SetTimer.
    std::function<void(const Action&)> execute;
    // Called when all events, and all actions that followed from them, have been handled.
    std::function<void()> on_idle;
    // Called when a timer of the owner is due.
    std::function<void(const Timer&)> on_timer;
    // Called with the duration of a newly detected stall in ms, before due timers and events are handled. May
    // be empty.
    std::function<void(Millis)> on_stall;
    // Called when a timer is set that is due before the time that tick() last returned. May be empty.
    std::function<void()> on_wake;
    // Called with each action before it is executed, SetTimer included. May be empty.
    std::function<void(const Action&)> on_action;
    // Called with each event before the Router handles it. May be empty.
    std::function<void(Millis, const Event&)> on_event;

    // `timers` and `timeouts`: the members in which an Owner keeps its timers of the respective queue.
    RouterDriver(const Settings& settings, std::uint64_t seed, OwnedTimers Owner::*timers,
                 OwnedTimers Owner::*timeouts)
        : router_(settings, seed), timers_(timers), timeouts_(timeouts) {}

    // Handles an event at once, or after the queued ones if called while events are being handled.
    void feed(Event event) {
        events_.push_back(std::move(event));
        if (!handling_events_) handle_queued_events();
    }

    // `is_timeout`: the timer is a timeout of a peer, which fires only after the sockets have been read since
    // it was due. Other timers fire when they are due.
    void set_timer(Kind kind, Millis at, Owner* owner, int attempt, std::uint64_t label, bool is_timeout) {
        Queue& queue = is_timeout ? timeouts_ : timers_;
        queue.set(at, kind, owner, attempt, label);
        if (at < next_tick_ && on_wake) on_wake();
    }
    void cancel_timers(Owner& owner) {
        timers_.cancel_all(owner);
        timeouts_.cancel_all(owner);
    }
    std::size_t pending_timers() const { return timers_.size() + timeouts_.size(); }

    // The total duration of this process's stalls so far, in ms.
    Millis stalled_for() const { return stall_detector_.stalled_for(); }

    // Checks for a stall since the last call. Guards against decisions on state from before the stall:
    // on_stall lets the owner check its endpoint list, and timers that fell due during the stall fire before
    // the events that wait in the sockets.
    void handle_stalls() {
        if (catching_up_ || handling_events_) return;
        const Millis at = now();
        stall_detector_.on_activity(at);
        const Millis new_stall = stall_detector_.stalled_for() - handled_stall_;
        if (new_stall <= 0) return;
        catching_up_ = true;
        handled_stall_ += new_stall;
        if (on_stall) on_stall(new_stall);
        fire_due_timers(timers_.last_order(), at);
        catching_up_ = false;
    }

    // Fires the due timers; returns the time at which it is to be called next.
    Millis tick() {
        handle_stalls();
        const Millis at = now();
        // Only timers set before this call: a timer set while another fires waits for the next tick.
        const std::uint64_t last_timer = timers_.last_order();
        const std::uint64_t last_timeout = timeouts_.last_order();
        fire_due_timers(last_timer, at);
        fire_due_timeouts(last_timeout, at);
        next_tick_ = next_tick_after(at);
        return next_tick_;
    }

    // To be called before the event loop polls its sockets. `until`: when the poll returns at the latest.
    void before_poll(Millis until) {
        stall_detector_.before_poll(now(), next_tick_ > 0 ? std::min(until, next_tick_) : until);
    }
    // To be called after the event loop has polled, and delivered all input that had arrived by `at`.
    void after_poll(Millis at) {
        handle_stalls();
        stall_detector_.after_poll(at);
    }

    // Returns the clock of an attempt that starts now. `timeout`: the attempt's, in ms; `deadline`: the
    // request's.
    control::AttemptClock start_clock(Millis timeout, Millis deadline) {
        return {now(), timeout, deadline, stall_detector_.stalled_for(), stall_detector_.stalled_for()};
    }
    // To be called when the attempt's bytes have been handed to the kernel. A stall in which its connection
    // was opened is counted now, but on_stall is deferred to the next handle_stalls(): it must not close the
    // connection that the caller is using.
    void on_request_written(control::AttemptClock& clock) {
        stall_detector_.on_activity(now());
        if (clock.written) return;
        clock.written = true;
        clock.stalled_at_write = stall_detector_.stalled_for();
    }
    // Whether the attempt has timed out. If not, clock.timeout_at() may be later than when the timer was set.
    bool has_expired(control::AttemptClock& clock) {
        if (!clock.written) clock.stalled_at_write = stall_detector_.stalled_for();
        return clock.timeout_at() <= now();
    }

private:
    // Time until the next tick if no timer is set.
    static constexpr Millis kMaxTickInterval = 1000;
    // Until a due timeout that may not be judged before the sockets are read is checked again.
    static constexpr Millis kTimeoutRetryInterval = 1;

    void handle_queued_events() {
        handling_events_ = true;
        std::vector<Action> actions;
        while (!events_.empty()) {
            const Event event = std::move(events_.front());
            events_.pop_front();
            actions.clear();
            const Millis at = now();
            if (on_event) on_event(at, event);
            router_.handle(at, event, actions);
            for (const auto& action : actions) handle_action(action);
        }
        handling_events_ = false;
        if (on_idle) on_idle();
    }
    void handle_action(const Action& action) {
        if (on_action) on_action(action);
        if (const auto* timer = std::get_if<SetTimer>(&action)) {
            set_timer(Kind::router, timer->at, nullptr, 0, timer->timer, false);
        } else {
            execute(action);
        }
    }
    void fire(const Timer& timer) {
        if (timer.kind == Kind::router) return feed(TimerFired{timer.label});
        on_timer(timer);
    }
    void fire_due_timers(std::uint64_t last_order, Millis at) {
        while (const auto timer = timers_.pop_due(at, last_order)) fire(*timer);
    }
    void fire_due_timeouts(std::uint64_t last_order, Millis at) {
        while (!timeouts_.empty() && stall_detector_.may_evaluate_timeout(timeouts_.next_due())) {
            const auto timeout = timeouts_.pop_due(at, last_order);
            if (!timeout) return;
            fire(*timeout);
        }
    }
    Millis next_tick_after(Millis at) const {
        const Millis next = timers_.empty() ? at + kMaxTickInterval : std::max(timers_.next_due(), at);
        if (timeouts_.empty()) return next;
        const Millis due = timeouts_.next_due();
        return std::min(next, due > at ? due : at + kTimeoutRetryInterval);
    }

    Router router_;
    std::deque<Event> events_;
    bool handling_events_ = false;
    bool catching_up_ = false;
    Millis handled_stall_ = 0;  // the part of stalled_for() that handle_stalls() has handled
    Queue timers_;
    Queue timeouts_;
    control::StallDetector stall_detector_;
    Millis next_tick_ = 0;  // last returned by tick()
};

}  // namespace gorsenotch::proxy
