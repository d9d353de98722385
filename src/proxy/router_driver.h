// Drives a Router for a front of any kind: events one by one in order, timers, and the guard against blaming
// engines for this process's own standstills. No I/O; the clock is a hook. Threading: one thread; hooks may
// call back into the Driver.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>

#include "control/stall_detector.h"
#include "proxy/timer_queue.h"

namespace gorsenotch::proxy {

// `Kind` names the owner's alarms; Kind::router is kept for the Router's own timers.
template <class Owner, class Kind>
class RouterDriver {
public:
    using Queue = TimerQueue<Owner, Kind>;
    using Timer = typename Queue::Timer;
    using OwnedTimers = typename Queue::OwnedTimers;

    std::function<Millis()> now;
    std::function<void(const Action&)> execute;
    std::function<void()> on_idle;               // the Router is at rest: all events have been handled
    std::function<void(const Timer&)> on_timer;  // an alarm of the owner's
    std::function<void(Millis)> on_stall;        // a standstill of so long was found: look again first
    std::function<void()> on_wake;               // an alarm was set that is earlier than what tick() returned
    std::function<void(const Action&)> on_action;  // each action, before it is carried out; may be empty
    std::function<void(Millis, const Event&)> on_event;  // each event, before it is handled; may be empty

    RouterDriver(const Settings& settings, std::uint64_t seed, OwnedTimers Owner::*alarms,
                 OwnedTimers Owner::*timeouts)
        : router_(settings, seed), timers_(alarms), timeouts_(timeouts) {}

    // Events that come up while actions are carried out wait their turn.
    void feed(Event event) {
        events_.push_back(std::move(event));
        if (!handling_events_) handle_queued_events();
    }

    // `timeout`: judged only after a look at the sockets; the rest is on time.
    void set_timer(Kind kind, Millis at, Owner* owner, int attempt, std::uint64_t label, bool timeout) {
        (timeout ? timeouts_ : timers_).set(at, kind, owner, attempt, label);
        if (at < next_tick_ && on_wake) on_wake();
    }
    void cancel_timers(Owner& owner) {
        timers_.drop(owner);
        timeouts_.drop(owner);
    }
    // How long this process has stood still, in sum.
    Millis stalled_for() const { return stall_detector_.stalled_for(); }
    std::size_t pending_timers() const { return timers_.size() + timeouts_.size(); }

    // Guards against decisions on what was so before a standstill: the list is looked at, and what fell due
    // of deadlines and the Router's timers goes before the events that waited in the sockets.
    void catch_up() {
        if (catching_up_ || handling_events_) return;
        const Millis at = now();
        stall_detector_.on_activity(at);
        const Millis stood = stall_detector_.stalled_for() - stalls_handled_;
        if (stood <= 0) return;
        catching_up_ = true;
        stalls_handled_ += stood;
        if (on_stall) on_stall(stood);
        fire_due_timers(timers_.order(), at);
        catching_up_ = false;
    }

    // Does what is due; returns the time at which it wants to be called next.
    Millis tick() {
        catch_up();
        const Millis at = now();
        // Only what was set before this call: a timer set while one fires comes with the next turn.
        const std::uint64_t last = timers_.order(), last_timeout = timeouts_.order();
        fire_due_timers(last, at);
        Timer timer;
        while (!timeouts_.empty() && stall_detector_.may_judge_timeout(timeouts_.next()) &&
               timeouts_.take(at, last_timeout, timer))
            fire(timer);
        next_tick_ = timers_.empty() ? at + 1000 : std::max(timers_.next(), at);
        // One that could not be judged yet waits for the look between this turn and the next.
        if (!timeouts_.empty()) {
            const Millis next = timeouts_.next();
            next_tick_ = std::min(next_tick_, next > at ? next : at + 1);
        }
        return next_tick_;
    }
    // The host's loop is about to wait until `due` at most; it has looked at its sockets at `at`.
    void before_poll(Millis until) {
        stall_detector_.before_poll(now(), next_tick_ > 0 ? std::min(until, next_tick_) : until);
    }
    void after_poll(Millis at) {
        catch_up();
        stall_detector_.after_poll(at);
    }

    // The time of an attempt that begins now; `end`: the request's own deadline.
    control::AttemptClock start_clock(Millis limit, Millis end) {
        return {now(), limit, end, stall_detector_.stalled_for(), stall_detector_.stalled_for()};
    }
    // Its bytes are handed over. Where its connection opened in a standstill, that is found now and seen to
    // with the next event: the one who calls can't have its connection taken from under it.
    void on_request_written(control::AttemptClock& clock) {
        stall_detector_.on_activity(now());
        if (clock.written) return;
        clock.written = true, clock.stalled_at_write = stall_detector_.stalled_for();
    }
    // Whether it is up; if not, its end may have moved to a later due().
    bool has_expired(control::AttemptClock& clock) {
        if (!clock.written) clock.stalled_at_write = stall_detector_.stalled_for();
        return clock.due() <= now();
    }

private:
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
            for (const auto& reject : actions) {
                if (on_action) on_action(reject);
                if (const auto* timer = std::get_if<SetTimer>(&reject)) {
                    set_timer(Kind::router, timer->at, nullptr, 0, timer->timer, false);
                } else {
                    execute(reject);
                }
            }
        }
        handling_events_ = false;
        if (on_idle) on_idle();
    }
    void fire(const Timer& timer) {
        if (timer.kind == Kind::router) return feed(TimerFired{timer.label});
        on_timer(timer);
    }
    void fire_due_timers(std::uint64_t last, Millis until) {
        Timer timer;
        while (timers_.take(until, last, timer)) fire(timer);
    }

    Router router_;
    std::deque<Event> events_;
    bool handling_events_ = false, catching_up_ = false;
    Millis stalls_handled_ = 0;  // standstills, in sum, that catch_up has seen to
    Queue timers_, timeouts_;
    control::StallDetector stall_detector_;
    Millis next_tick_ = 0;
};

}  // namespace gorsenotch::proxy
