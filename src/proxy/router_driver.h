// Runs a Router: feeds it events in order, carries out its actions through hooks, and keeps the timers of the
// Router and of the driver's owner. Also keeps the owner from blaming endpoints for stalls of this process.
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

// Owns the Router, the queue of events and both queues of timers; nobody else changes them. Does no I/O: the
// clock and all effects are hooks, which the owner sets before the first call. Times are milliseconds on the
// clock of `now`. Threading: one thread; hooks may call back into the driver.
//
// `Owner` is what a timer may belong to (a request); `Kind` names the owner's timers, and Kind::router is
// kept for the Router's own.
template <class Owner, class Kind>
class RouterDriver {
public:
    using Queue = TimerQueue<Owner, Kind>;
    using Timer = typename Queue::Timer;
    using OwnedTimers = typename Queue::OwnedTimers;

    std::function<Millis()> now;
    // Carries out one action of the Router; never gets a SetTimer.
    std::function<void(const Action&)> execute;
    // All events have been handled, and all actions that followed from them.
    std::function<void()> on_idle;
    // A timer of the owner's is due.
    std::function<void(const Timer&)> on_timer;
    // A stall of so many ms has been found. Called before timers and events that are due are handled. May be
    // empty.
    std::function<void(Millis)> on_stall;
    // A timer was set that is due before the time that tick() last returned. May be empty.
    std::function<void()> on_wake;
    // Each action before it is carried out, SetTimer included. May be empty.
    std::function<void(const Action&)> on_action;
    // Each event before the Router handles it. May be empty.
    std::function<void(Millis, const Event&)> on_event;

    // `timers` and `timeouts`: the members in which an Owner keeps its timers of either queue.
    RouterDriver(const Settings& settings, std::uint64_t seed, OwnedTimers Owner::*timers,
                 OwnedTimers Owner::*timeouts)
        : router_(settings, seed), timers_(timers), timeouts_(timeouts) {}

    // Handles an event at once, or after those before it if called while actions are carried out.
    void feed(Event event) {
        events_.push_back(std::move(event));
        if (!handling_events_) handle_queued_events();
    }

    // `timeout`: one that blames a peer, so it fires only after the sockets have been read since it was due.
    // Other timers fire at their time.
    void set_timer(Kind kind, Millis at, Owner* owner, int attempt, std::uint64_t label, bool timeout) {
        Queue& queue = timeout ? timeouts_ : timers_;
        queue.set(at, kind, owner, attempt, label);
        if (at < next_tick_ && on_wake) on_wake();
    }
    void cancel_timers(Owner& owner) {
        timers_.cancel_all(owner);
        timeouts_.cancel_all(owner);
    }
    std::size_t pending_timers() const { return timers_.size() + timeouts_.size(); }

    // The sum of this process's stalls so far, in ms.
    Millis stalled_for() const { return stall_detector_.stalled_for(); }

    // Looks for a stall since the last call. Guards against decisions on the state from before it: the owner
    // looks at its list of endpoints, and timers that fell due meanwhile fire before the events that waited
    // in the sockets.
    void catch_up() {
        if (catching_up_ || handling_events_) return;
        const Millis at = now();
        stall_detector_.on_activity(at);
        const Millis new_stall = stall_detector_.stalled_for() - stall_caught_up_;
        if (new_stall <= 0) return;
        catching_up_ = true;
        stall_caught_up_ += new_stall;
        if (on_stall) on_stall(new_stall);
        fire_due_timers(timers_.last_order(), at);
        catching_up_ = false;
    }

    // Does what is due; returns the time at which it is to be called next.
    Millis tick() {
        catch_up();
        const Millis at = now();
        // Only timers set before this call: one that is set while another fires waits for the next tick.
        const std::uint64_t last_timer = timers_.last_order();
        const std::uint64_t last_timeout = timeouts_.last_order();
        fire_due_timers(last_timer, at);
        fire_due_timeouts(last_timeout, at);
        next_tick_ = next_tick_after(at);
        return next_tick_;
    }

    // The event loop is about to wait for its sockets, until `until` at most.
    void before_poll(Millis until) {
        stall_detector_.before_poll(now(), next_tick_ > 0 ? std::min(until, next_tick_) : until);
    }
    // The event loop has waited, and handed on all that had come to its sockets by `at`.
    void after_poll(Millis at) {
        catch_up();
        stall_detector_.after_poll(at);
    }

    // The clock of an attempt that begins now. `timeout`: ms that it is given; `deadline`: its request's own.
    control::AttemptClock start_clock(Millis timeout, Millis deadline) {
        return {now(), timeout, deadline, stall_detector_.stalled_for(), stall_detector_.stalled_for()};
    }
    // The attempt's bytes are handed to the kernel. A stall in which its connection was opened is counted
    // now, but on_stall waits for the next catch_up(): the caller's connection must not be closed under it.
    void on_request_written(control::AttemptClock& clock) {
        stall_detector_.on_activity(now());
        if (clock.written) return;
        clock.written = true;
        clock.stalled_at_write = stall_detector_.stalled_for();
    }
    // Whether the attempt's time is up. If not, clock.due() may be later than when the timer was set.
    bool has_expired(control::AttemptClock& clock) {
        if (!clock.written) clock.stalled_at_write = stall_detector_.stalled_for();
        return clock.due() <= now();
    }

private:
    // How long tick() may wait where no timer is set.
    static constexpr Millis kMaxTickInterval = 1000;
    // Until a timeout is tried again that is due, but may not be judged before the sockets are read.
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
        while (const auto timer = timers_.take_due(at, last_order)) fire(*timer);
    }
    void fire_due_timeouts(std::uint64_t last_order, Millis at) {
        while (!timeouts_.empty() && stall_detector_.may_judge_timeout(timeouts_.next_due())) {
            const auto timeout = timeouts_.take_due(at, last_order);
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
    Millis stall_caught_up_ = 0;  // the part of stalled_for() that catch_up() has handled
    Queue timers_;
    Queue timeouts_;
    control::StallDetector stall_detector_;
    Millis next_tick_ = 0;  // what tick() last returned
};

}  // namespace gorsenotch::proxy
