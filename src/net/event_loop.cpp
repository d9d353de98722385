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

// Later than any time of the clock.
constexpr Millis kNever = 1e300;
// A higher descriptor limit, or none, counts as this one.
constexpr rlim_t kMaxDescriptors = 1000000;
// Assumed where the system does not report its limit.
constexpr std::size_t kDefaultDescriptors = 1024;

}  // namespace

std::string error_text(int code) { return code == 0 ? "closed by the peer" : uv_strerror(code); }

EventLoop::EventLoop() {
    // A write to a connection that the peer has closed must fail, not end the process.
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
    // Without this, the time that timer callbacks took would be added to the wait.
    uv_update_time(&loop_);
    if (on_slow_iteration && last_poll_ > 0) {
        if (const Millis duration = now() - last_poll_; duration >= slow_iteration_threshold)
            on_slow_iteration(duration, activities_);
    }
    activities_.clear();
    const int wait_ms = uv_backend_timeout(&loop_);
    const auto wait_start = static_cast<Millis>(uv_now(&loop_));
    // libuv also returns 0 where sockets are still to be registered, however long it will wait, so 0 is no
    // bound for before_poll. A wait of 0 ms is not interrupted.
    possibly_interrupted_from_ = wait_ms < 0 ? kNever : wait_start + std::max(wait_ms, 1);
    if (before_poll) before_poll(wait_ms <= 0 ? kNever : wait_start + wait_ms);
}

void EventLoop::on_after_poll() {
    if (!has_polled()) return;
    // The loop's time is still that at which the system call returned: it is not updated before the next
    // iteration.
    last_poll_ = static_cast<Millis>(uv_now(&loop_));
    if (after_poll) after_poll();
}

// Guards against timeouts that are judged while input lies unread in a socket: a wait that a signal
// interrupts (SIGCONT after a stop does) ends without a poll if its time is over. A wait that ends earlier
// has found events. Costs one system call in iterations that end for a timer; at worst, a timeout is judged
// one iteration later.
bool EventLoop::has_polled() {
    if (static_cast<Millis>(uv_now(&loop_)) < possibly_interrupted_from_) return true;
    epoll_event event{};
    // An event found here is reported again to libuv, whose descriptors are level-triggered.
    return ::epoll_wait(uv_backend_fd(&loop_), &event, 1, 0) == 0;
}

EventLoop::~EventLoop() {
    // Guards against objects that outlive their loop: closing them later would access the memory of a
    // destroyed loop. Also detects leaked handles. Aborts only a program that has such a fault.
    const auto open = open_handles();
    if (!open.empty()) {
        std::string text = "net::EventLoop destroyed while handles are open:";
        for (const auto& name : open) text += " " + name;
        std::fprintf(stderr, "%s\n", text.c_str());
        std::abort();
    }
    // All handles are closing; their close callbacks free them.
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
    if (loop.in_activity_ || !loop.on_slow_iteration) return;
    loop_ = &loop;
    loop.in_activity_ = true;
    started_at_ = now();
}

ActivityScope::~ActivityScope() {
    if (!loop_) return;
    loop_->in_activity_ = false;
    for (auto& [name, duration] : loop_->activities_) {
        if (name != name_) continue;
        duration += now() - started_at_;
        return;
    }
    loop_->activities_.emplace_back(name_, now() - started_at_);
}

std::size_t reserve_descriptors(std::size_t count) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kDefaultDescriptors;
    if (limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        getrlimit(RLIMIT_NOFILE, &limit);
    }
    const auto descriptors = static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, kMaxDescriptors));
    // The table keeps its size after the highest descriptor is closed.
    const int null_device = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    const int highest = null_device < 0 ? -1
                                        : ::fcntl(null_device, F_DUPFD_CLOEXEC,
                                                  static_cast<int>(std::min(descriptors, count)) - 1);
    if (highest >= 0) ::close(highest);
    if (null_device >= 0) ::close(null_device);
    return descriptors;
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
            const std::unique_ptr<Request> finished(static_cast<Request*>(handle->data));
            finished->done();
        });
    if (error == 0) return;
    // No thread can be started: runs the job here.
    const std::unique_ptr<Request> unqueued(request);
    unqueued->job();
    unqueued->done();
}

void EventLoop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }
void EventLoop::stop() { uv_stop(&loop_); }

}  // namespace gorsenotch::net
