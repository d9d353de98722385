// The event loop, to which every object of this package belongs, and work that runs on it.
//
// Times are milliseconds on net::now()'s clock. Threading: one loop, one thread; callbacks run there and
// never inside the call that caused them. Ownership: every object created on a loop may be destroyed at any
// time, also inside its own callback; the loop closes and frees the libuv handle behind it. Errors: calls
// that can fail return 0 or a negative libuv code; error_text() gives its text.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/clock.h"

namespace gorsenotch::net {

// The text of a libuv code; 0 stands for the peer's FIN.
std::string error_text(int code);

// Owns the handles of all objects created on it and must outlive these objects: declare it first. Ignores
// SIGPIPE in the whole process.
class EventLoop {
public:
    EventLoop();
    // Frees all closing handles. If any other handle is open, writes the types of the open handles to
    // standard error and aborts.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    // Runs until stop() is called or no active handle is left.
    void run();
    void stop();
    uv_loop_t* raw() { return &loop_; }
    // When the sockets were last polled. Input that had arrived by then has been delivered, or will be before
    // the next timer fires.
    Millis last_poll() const { return last_poll_; }
    // Called before the loop polls its sockets. `until`: when the poll returns at the latest; 1e300 where
    // libuv does not report that; the owner knows when its own timers are due.
    std::function<void(Millis until)> before_poll;
    // Called after the poll, once all input that had arrived by last_poll() has been delivered.
    std::function<void()> after_poll;
    // Called for each loop iteration that took `slow_iteration_threshold` ms or longer from the end of one
    // poll to the start of the next: its duration, and the time in it that each activity marked by an
    // ActivityScope took, in ms. The remainder is time in the system, or time without a CPU core.
    using Activities = std::vector<std::pair<const char*, Millis>>;
    std::function<void(Millis duration, const Activities& activities)> on_slow_iteration;
    Millis slow_iteration_threshold = 5;
    // libuv's type names of the handles that are neither closed nor closing, e.g. "tcp", "timer", "process".
    std::vector<std::string> open_handles() const;

private:
    uv_loop_t loop_;
    friend class ActivityScope;
    uv_prepare_t prepare_;
    uv_check_t check_;
    void on_before_poll();
    void on_after_poll();
    // Whether the wait that has just ended polled the sockets.
    bool has_polled();
    Millis last_poll_ = 0;
    // From this time on, the current wait may end by an interruption, without a poll.
    Millis possibly_interrupted_from_ = 0;
    Activities activities_;
    bool in_activity_ = false;
};

// Attributes the time of the loop's thread during this object's lifetime to the activity `name`, for
// on_slow_iteration. `name` must be a string literal. A nested scope counts as part of the outer one.
class ActivityScope {
public:
    ActivityScope(EventLoop& loop, const char* name);
    ~ActivityScope();
    ActivityScope(const ActivityScope&) = delete;
    ActivityScope& operator=(const ActivityScope&) = delete;

private:
    EventLoop* loop_ = nullptr;  // null: a nested scope, or on_slow_iteration is not set
    const char* name_;
    Millis started_at_ = 0;
};

// Raises the process's descriptor limit to the hard limit and makes the kernel's descriptor table large
// enough for `count` open descriptors; returns the limit. Guards against stalls when the table grows: with
// more than one thread the kernel then waits for all cores (accept4 took 10 to 16 ms at descriptors 64, 128,
// 256 ...). Costs 8 bytes per descriptor.
std::size_t reserve_descriptors(std::size_t count);

// Runs `job` on a thread of libuv's pool, then `done` on the loop's thread. `job` must not access anything
// that the loop's thread accesses meanwhile. The loop's destructor waits for both.
void run_on_thread_pool(EventLoop& loop, std::function<void()> job, std::function<void()> done);

}  // namespace gorsenotch::net
