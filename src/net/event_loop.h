// The event loop, timers, TCP streams, listeners, signals and watched files: libuv, wrapped once.
//
// Times are milliseconds on the host's monotonic clock, the same in every process of one machine.
// Threading: one loop, one thread. Callbacks never run inside the call that caused them, except on_drain.
// Ownership: every object here may be destroyed at any time, also inside its own callback; the handle behind
// it is closed and freed by the loop. A Loop outlives all that was made on it: declare it first. ~Loop checks
// that, names on standard error the kinds of handle that are still open, and aborts; what is closing it
// frees. Errors: calls that can fail return 0 or a negative libuv code; text(code) names it.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsenotch::net {

using Millis = double;

std::string error_text(int code);
Millis now();  // monotonic, ms; no loop is needed

class EventLoop {
public:
    EventLoop();
    ~EventLoop();  // aborts if anything made on it is still open
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    void run();
    void stop();
    uv_loop_t* raw() { return &loop_; }
    // When the sockets were last looked at: all that had come to them by then has been handed on, or will be
    // before the next timer.
    Millis last_poll() const { return last_poll_; }
    // Called before the loop waits, with the time until which it will wait at most (far ahead where libuv
    // does not say: owners know their own timers), and after it has waited and handed on what came.
    std::function<void(Millis due)> before_poll;
    std::function<void()> after_poll;
    // Told of each turn that took `slow_turn` ms or longer, from the sockets' look to the next wait: its
    // length and what was done in it, as marked by Doing, in ms. The rest is the system's, or time without a
    // core.
    using Activities = std::vector<std::pair<const char*, Millis>>;
    std::function<void(Millis length, const Activities& parts)> on_slow_turn;
    Millis slow_turn = 5;
    // The kinds of those handles that are neither closed nor closing, e.g. "tcp", "timer", "process".
    std::vector<std::string> open_handles() const;

private:
    uv_loop_t loop_;
    friend class ActivityScope;
    uv_prepare_t prepare_;
    uv_check_t check_;
    bool has_polled();  // since the wait began that has just ended
    Millis last_poll_ = 0;
    // From then on the wait under way may end for an interruption, with nothing looked at.
    Millis interrupted_from_ = 0;
    Activities activities_;
    bool in_activity_ = false;
};

// Marks what the loop's thread does while this object lives, for on_slow_turn. `what` must be a literal. One
// within another counts as part of the outer one.
class ActivityScope {
public:
    ActivityScope(EventLoop& loop, const char* what);
    ~ActivityScope();
    ActivityScope(const ActivityScope&) = delete;
    ActivityScope& operator=(const ActivityScope&) = delete;

private:
    EventLoop* loop_ = nullptr;
    const char* what_;
    Millis began_ = 0;
};

// Makes room for so many descriptors at once, as far as the process's limit goes; returns the limit. Guards
// against stalls when the table grows: with more than one thread the kernel then waits for all cores (seen:
// accept4 took 10 to 16 ms at descriptors 64, 128, 256 ...). Costs 8 bytes each.
std::size_t reserve_descriptors(std::size_t most);

// Work off the loop: `job` runs on a thread of libuv's pool, `done` on the loop's thread after it. `job` may
// touch nothing that the loop's thread touches meanwhile. The loop waits for it when it is destroyed.
void run_on_thread_pool(EventLoop& loop, std::function<void()> job, std::function<void()> done);

class Timer {
public:
    Timer(EventLoop& loop, std::function<void()> fire);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void fire_after(Millis delay);  // once; replaces what was set. Fires not earlier, at most 1 ms later
    // As after(), but not before the loop has looked at its sockets since it was due. For time-outs: guards
    // against a peer cut off for this process's own delay, while its bytes wait here. May come late by the
    // time that one turn of the loop takes.
    void fire_after_poll(Millis delay);
    void stop();

private:
    struct Handle;
    Handle* handle_;
};

// Calls back once before the loop next sleeps, after it was asked to: to gather what several callbacks of one
// turn have to say. Asking costs nothing while one call is due.
class DeferredCall {
public:
    DeferredCall(EventLoop& loop, std::function<void()> end);
    ~DeferredCall();
    DeferredCall(const DeferredCall&) = delete;
    DeferredCall& operator=(const DeferredCall&) = delete;
    void schedule();

private:
    struct Handle;
    Handle* handle_;
};

// An address: "127.0.0.1:80" or "[::1]:80". False if it is neither.
bool parse_address(const std::string& address, sockaddr_storage& out);

class TcpStream {
public:
    std::function<void(std::string_view)> on_data;  // the view is gone after the call
    std::function<void(int)> on_end;                // once: 0 at the peer's FIN, else the error
    std::function<void()> on_drain;                 // all written bytes are in the kernel's hands

    explicit TcpStream(EventLoop& loop);
    ~TcpStream();  // closes at once; unread input makes the kernel send a reset
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // `done` gets 0 or the error. `from`: local address to send from, without a port; empty for any.
    int connect(const std::string& address, const std::string& from, std::function<void(int)> done);
    void set_reading(bool on);  // starts or stops on_data
    void write(std::string bytes);
    void shutdown_write();       // FIN after what was written
    void reset();                // closes with RST where the system can
    std::size_t queued() const;  // bytes written but not yet in the kernel's hands
    bool has_written() const;    // whether any byte was handed to the kernel
    bool peer_closed() const;    // its FIN or reset has come, read or not; also once the stream has ended
    bool has_unread_input()
        const;                 // bytes, an end or an error wait to be read; also once the stream has ended
    Millis age() const;        // ms since the kernel last took bytes from the peer; 0 if it can't tell
    std::string peer() const;  // numeric address without the port

private:
    friend class TcpListener;
    struct Handle;
    // Whether one of these, a hang-up or an error is there now; `unknown` where the system does not say.
    bool poll_now(short events, bool unknown) const;
    void break_off();
    Handle* handle_;
};

class TcpListener {
public:
    std::function<void(std::unique_ptr<TcpStream>)> on_stream;
    // Accepting failed for want of descriptors or memory. What waits stays where it is and accept is tried
    // again soon; the owner may make room.
    std::function<void(int)> on_error;

    explicit TcpListener(EventLoop& loop);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;
    int listen(const std::string& address, int backlog = 1024);
    // Hands on the connections that the system has accepted and nobody has taken yet: before it is destroyed,
    // as that would reset them. False: some may be left, as accepting failed for now.
    bool accept_all_pending();
    int port() const;

private:
    struct Handle;
    bool accept_pending(int most);  // whether none is left
    Handle* handle_;
};

class SignalWatcher {
public:
    SignalWatcher(EventLoop& loop, int number, std::function<void()> fire);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    struct Handle;
    Handle* handle_;
};

// Tells of each change of a file (its text replaced, the file renamed over, made or gone), by looking every
// `every` ms; once at the start if the file is there.
class FileWatcher {
public:
    FileWatcher(EventLoop& loop, std::string file, Millis every, std::function<void()> changed);
    void check_now();     // now, and again after `every`
    void report_again();  // the next look tells of the file as if it had changed

private:
    std::string file_, last_text_;
    Millis interval_;
    std::function<void()> changed_;
    Timer timer_;
};

}  // namespace gorsenotch::net
