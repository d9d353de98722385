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
class Driver {
public:
    using Timers = Alarms<Owner, Kind>;
    using Alarm = typename Timers::Alarm;
    using Mine = typename Timers::Mine;

    std::function<Millis()> now;
    std::function<void(const Action&)> carry;
    std::function<void()> rest;               // the Router is at rest: all events have been handled
    std::function<void(const Alarm&)> due;    // an alarm of the owner's
    std::function<void(Millis)> stood_still;  // a standstill of so long was found: look again first
    std::function<void()> on_wake;            // an alarm was set that is earlier than what tick() returned
    std::function<void(const Action&)> done;  // each action, before it is carried out; may be empty
    std::function<void(Millis, const Event&)> seen;  // each event, before it is handled; may be empty

    Driver(const Settings& settings, std::uint64_t seed, Mine Owner::*alarms, Mine Owner::*timeouts)
        : router_(settings, seed), alarms_(alarms), timeouts_(timeouts) {}

    // Events that come up while actions are carried out wait their turn.
    void feed(Event e) {
        events_.push_back(std::move(e));
        if (!pumping_) pump();
    }

    // `timeout`: judged only after a look at the sockets; the rest is on time.
    void alarm(Kind kind, Millis at, Owner* owner, int attempt, std::uint64_t label, bool timeout) {
        (timeout ? timeouts_ : alarms_).set(at, kind, owner, attempt, label);
        if (at < next_ && on_wake) on_wake();
    }
    void drop(Owner& owner) {
        alarms_.drop(owner);
        timeouts_.drop(owner);
    }
    // How long this process has stood still, in sum.
    Millis stood() const { return lateness_.stalled_for(); }
    std::size_t alarms() const { return alarms_.size() + timeouts_.size(); }

    // Guards against decisions on what was so before a standstill: the list is looked at, and what fell due
    // of deadlines and the Router's timers goes before the events that waited in the sockets.
    void catch_up() {
        if (catching_up_ || pumping_) return;
        const Millis at = now();
        lateness_.on_activity(at);
        const Millis stood = lateness_.stalled_for() - caught_up_;
        if (stood <= 0) return;
        catching_up_ = true;
        caught_up_ += stood;
        if (stood_still) stood_still(stood);
        run(alarms_.order(), at);
        catching_up_ = false;
    }

    // Does what is due; returns the time at which it wants to be called next.
    Millis tick() {
        catch_up();
        const Millis at = now();
        // Only what was set before this call: a timer set while one fires comes with the next turn.
        const std::uint64_t last = alarms_.order(), last_timeout = timeouts_.order();
        run(last, at);
        Alarm a;
        while (!timeouts_.empty() && lateness_.may_judge_timeout(timeouts_.next()) &&
               timeouts_.take(at, last_timeout, a))
            fire(a);
        next_ = alarms_.empty() ? at + 1000 : std::max(alarms_.next(), at);
        // One that could not be judged yet waits for the look between this turn and the next.
        if (!timeouts_.empty()) {
            const Millis next = timeouts_.next();
            next_ = std::min(next_, next > at ? next : at + 1);
        }
        return next_;
    }
    // The host's loop is about to wait until `due` at most; it has looked at its sockets at `at`.
    void sleeps(Millis until) { lateness_.before_poll(now(), next_ > 0 ? std::min(until, next_) : until); }
    void looked(Millis at) {
        catch_up();
        lateness_.after_poll(at);
    }

    // The time of an attempt that begins now; `end`: the request's own deadline.
    control::AttemptClock begin(Millis limit, Millis end) {
        return {now(), limit, end, lateness_.stalled_for(), lateness_.stalled_for()};
    }
    // Its bytes are handed over. Where its connection opened in a standstill, that is found now and seen to
    // with the next event: the one who calls can't have its connection taken from under it.
    void handed(control::AttemptClock& t) {
        lateness_.on_activity(now());
        if (t.written) return;
        t.written = true, t.stalled_at_write = lateness_.stalled_for();
    }
    // Whether it is up; if not, its end may have moved to a later due().
    bool up(control::AttemptClock& t) {
        if (!t.written) t.stalled_at_write = lateness_.stalled_for();
        return t.due() <= now();
    }

private:
    void pump() {
        pumping_ = true;
        std::vector<Action> actions;
        while (!events_.empty()) {
            const Event e = std::move(events_.front());
            events_.pop_front();
            actions.clear();
            const Millis at = now();
            if (seen) seen(at, e);
            router_.handle(at, e, actions);
            for (const auto& a : actions) {
                if (done) done(a);
                if (const auto* timer = std::get_if<SetTimer>(&a)) {
                    alarm(Kind::router, timer->at, nullptr, 0, timer->timer, false);
                } else {
                    carry(a);
                }
            }
        }
        pumping_ = false;
        if (rest) rest();
    }
    void fire(const Alarm& a) {
        if (a.kind == Kind::router) return feed(TimerFired{a.label});
        due(a);
    }
    void run(std::uint64_t last, Millis until) {
        Alarm a;
        while (alarms_.take(until, last, a)) fire(a);
    }

    Router router_;
    std::deque<Event> events_;
    bool pumping_ = false, catching_up_ = false;
    Millis caught_up_ = 0;  // standstills, in sum, that catch_up has seen to
    Timers alarms_, timeouts_;
    control::StallDetector lateness_;
    Millis next_ = 0;
};

}  // namespace gorsenotch::proxy
