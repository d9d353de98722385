// The event loop, which every object of this package belongs to, and work that runs on it.
//
// Times are milliseconds on net::now()'s clock. Threading: one loop, one thread; callbacks run there and
// never inside the call that caused them. Ownership: every object made on a loop may be destroyed at any
// time, also inside its own callback; the libuv handle behind it is closed and freed by the loop. Errors:
// calls that can fail return 0 or a negative libuv code; error_text() names it.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/clock.h"

namespace gorsenotch::net {

// A libuv code in words; 0 is an end by the peer's FIN.
std::string error_text(int code);

// Owns the handles of all objects made on it, which it must outlive: declare it first. Ignores SIGPIPE in the
// whole process.
class EventLoop {
public:
    EventLoop();
    // Frees what is closing. If anything made on it is still open, names the kinds of these handles on
    // standard error and aborts.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    // Runs until stop() is called or nothing is left to wait for.
    void run();
    void stop();
    uv_loop_t* raw() { return &loop_; }
    // When the sockets were last polled: all that had come to them by then has been handed on, or will be
    // before the next timer.
    Millis last_poll() const { return last_poll_; }
    // Called before the loop waits for its sockets. `until`: when the wait ends at the latest; 1e300 where
    // libuv does not say, as its owner knows its own timers.
    std::function<void(Millis until)> before_poll;
    // Called after the loop has waited, once all that had come by last_poll() has been handed on.
    std::function<void()> after_poll;
    // Called for each turn that took `slow_turn` ms or longer from a poll to the next wait: its length and
    // the time of each activity in it that an ActivityScope marked, in ms. The rest is the system's, or time
    // without a core.
    using Activities = std::vector<std::pair<const char*, Millis>>;
    std::function<void(Millis length, const Activities& parts)> on_slow_turn;
    Millis slow_turn = 5;
    // libuv's names of the handles that are neither closed nor closing, e.g. "tcp", "timer", "process".
    std::vector<std::string> open_handles() const;

private:
    uv_loop_t loop_;
    friend class ActivityScope;
    uv_prepare_t prepare_;
    uv_check_t check_;
    void on_before_poll();
    void on_after_poll();
    bool has_polled();  // in the wait that has just ended
    Millis last_poll_ = 0;
    // From then on the current wait may end for an interruption, with nothing polled.
    Millis interrupted_from_ = 0;
    Activities activities_;
    bool in_activity_ = false;
};

// Marks what the loop's thread does while this object lives, for on_slow_turn. `name` must be a literal. A
// scope within another counts as part of the outer one.
class ActivityScope {
public:
    ActivityScope(EventLoop& loop, const char* name);
    ~ActivityScope();
    ActivityScope(const ActivityScope&) = delete;
    ActivityScope& operator=(const ActivityScope&) = delete;

private:
    EventLoop* loop_ = nullptr;  // null: within another scope, or not measured
    const char* name_;
    Millis began_ = 0;
};

// Raises the process's limit of descriptors as far as it may and makes the kernel's table large enough for
// `most` of them at once; returns the limit. Guards against stalls when the table grows: with more than one
// thread the kernel then waits for all cores (measured: accept4 took 10 to 16 ms at descriptors 64, 128, 256
// ...). Costs 8 bytes each.
std::size_t reserve_descriptors(std::size_t most);

// Runs `job` on a thread of libuv's pool, then `done` on the loop's thread. `job` may touch nothing that the
// loop's thread touches meanwhile. The loop waits for it when it is destroyed.
void run_on_thread_pool(EventLoop& loop, std::function<void()> job, std::function<void()> done);

}  // namespace gorsenotch::net
