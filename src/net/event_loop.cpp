#include "net/event_loop.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace gorsenotch::net {

namespace {

// A time that does not come.
constexpr Millis kNever = 1e300;

}  // namespace

std::string error_text(int code) { return code == 0 ? "closed by the peer" : uv_strerror(code); }

EventLoop::EventLoop() {
    // A write to a connection that its peer has closed is an error of that write, not the process's end.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop_);
    loop_.data = this;
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    prepare_.data = this;
    check_.data = this;
    uv_prepare_start(&prepare_,
                     [](uv_prepare_t* handle) { static_cast<EventLoop*>(handle->data)->on_before_poll(); });
    uv_check_start(&check_,
                   [](uv_check_t* handle) { static_cast<EventLoop*>(handle->data)->on_after_poll(); });
    uv_unref(reinterpret_cast<uv_handle_t*>(&prepare_));
    uv_unref(reinterpret_cast<uv_handle_t*>(&check_));
}

void EventLoop::on_before_poll() {
    // The time that the timers took must not be added to the wait.
    uv_update_time(&loop_);
    if (on_slow_turn && last_poll_ > 0) {
        if (const Millis length = now() - last_poll_; length >= slow_turn) on_slow_turn(length, activities_);
    }
    activities_.clear();
    const int wait = uv_backend_timeout(&loop_);
    const auto began = static_cast<Millis>(uv_now(&loop_));
    // libuv also says 0 where sockets are still to be registered, however long it will wait, so 0 means
    // nothing for before_poll. A wait that takes no time is not interrupted.
    interrupted_from_ = wait < 0 ? kNever : began + std::max(wait, 1);
    if (before_poll) before_poll(wait <= 0 ? kNever : began + wait);
}

void EventLoop::on_after_poll() {
    if (!has_polled()) return;
    // The loop's time is that of the system call's return: nothing here moves it before the next turn.
    last_poll_ = static_cast<Millis>(uv_now(&loop_));
    if (after_poll) after_poll();
}

// Guards against time-outs that are judged over what lies unread in a socket: a wait that a signal interrupts
// (SIGCONT after a stop does) ends without a poll where its time is over. One that ends sooner ended for what
// it found. Costs a system call in turns that end for a timer; may do harm by a time-out judged a turn later.
bool EventLoop::has_polled() {
    if (static_cast<Millis>(uv_now(&loop_)) < interrupted_from_) return true;
    epoll_event found{};
    // What is found stays found: libuv's descriptors are level-triggered.
    return ::epoll_wait(uv_backend_fd(&loop_), &found, 1, 0) == 0;
}

EventLoop::~EventLoop() {
    // Guards against owners that outlive their loop: what they close later would be memory of a loop that is
    // gone. Also catches a handle that nobody owns any more. Does harm only to a program that is wrong.
    const auto left = open_handles();
    if (!left.empty()) {
        std::string text = "net::Loop destroyed before what was made on it:";
        for (const auto& name : left) text += " " + name;
        std::fprintf(stderr, "%s\n", text.c_str());
        std::abort();
    }
    // All are closing: their last callbacks free them.
    before_poll = nullptr;
    after_poll = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    if (uv_loop_close(&loop_) != 0) std::abort();
}

std::vector<std::string> EventLoop::open_handles() const {
    std::vector<std::string> names;
    uv_walk(
        const_cast<uv_loop_t*>(&loop_),
        [](uv_handle_t* handle, void* out) {
            const auto* loop = static_cast<const EventLoop*>(handle->loop->data);
            if (uv_is_closing(handle) || handle == reinterpret_cast<const uv_handle_t*>(&loop->prepare_) ||
                handle == reinterpret_cast<const uv_handle_t*>(&loop->check_))
                return;
            const char* name = uv_handle_type_name(uv_handle_get_type(handle));
            static_cast<std::vector<std::string>*>(out)->push_back(name ? name : "unknown");
        },
        &names);
    return names;
}

ActivityScope::ActivityScope(EventLoop& loop, const char* name) : name_(name) {
    if (loop.in_activity_ || !loop.on_slow_turn) return;
    loop_ = &loop;
    loop.in_activity_ = true;
    began_ = now();
}

ActivityScope::~ActivityScope() {
    if (!loop_) return;
    loop_->in_activity_ = false;
    for (auto& [name, duration] : loop_->activities_) {
        if (name != name_) continue;
        duration += now() - began_;
        return;
    }
    loop_->activities_.emplace_back(name_, now() - began_);
}

std::size_t reserve_descriptors(std::size_t most) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
    if (limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        getrlimit(RLIMIT_NOFILE, &limit);
    }
    const auto all = static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, 1000000));
    // The highest one is taken and given back: the table keeps its size.
    const int null_device = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    const int highest =
        null_device < 0 ? -1
                        : ::fcntl(null_device, F_DUPFD_CLOEXEC, static_cast<int>(std::min(all, most)) - 1);
    if (highest >= 0) ::close(highest);
    if (null_device >= 0) ::close(null_device);
    return all;
}

void run_on_thread_pool(EventLoop& loop, std::function<void()> job, std::function<void()> done) {
    struct Request {
        uv_work_t uv{};
        std::function<void()> job;
        std::function<void()> done;
    };
    auto* request = new Request{{}, std::move(job), std::move(done)};
    request->uv.data = request;
    const int error = uv_queue_work(
        loop.raw(), &request->uv, [](uv_work_t* handle) { static_cast<Request*>(handle->data)->job(); },
        [](uv_work_t* handle, int) {
            const std::unique_ptr<Request> own(static_cast<Request*>(handle->data));
            own->done();
        });
    if (error == 0) return;
    const std::unique_ptr<Request> own(request);  // no thread can be started: run it here
    own->job();
    own->done();
}

void EventLoop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }
void EventLoop::stop() { uv_stop(&loop_); }

}  // namespace gorsenotch::net
