#include "net/event_loop.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "net/socket_error.h"

namespace gorsenotch::net {

std::string error_text(int code) { return code == 0 ? "closed by the peer" : uv_strerror(code); }
Millis now() { return static_cast<Millis>(uv_hrtime()) / 1e6; }

EventLoop::EventLoop() {
    // A write to a connection that its peer has closed is an error of that write, not the process's end.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop_);
    loop_.data = this;
    uv_prepare_init(&loop_, &prepare_);
    uv_check_init(&loop_, &check_);
    prepare_.data = check_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* handle) {
        auto* loop = static_cast<EventLoop*>(handle->data);
        // What the timers took is not to be slept through once more.
        uv_update_time(&loop->loop_);
        if (loop->on_slow_turn && loop->last_poll_ > 0) {
            if (const Millis length = now() - loop->last_poll_; length >= loop->slow_turn)
                loop->on_slow_turn(length, loop->activities_);
        }
        loop->activities_.clear();
        const int wait = uv_backend_timeout(&loop->loop_);
        const auto began = static_cast<Millis>(uv_now(&loop->loop_));
        // libuv also says 0 where sockets are still to be registered, whatever it will wait: that tells
        // nothing. One that takes no time is not interrupted.
        loop->interrupted_from_ = wait < 0 ? 1e300 : began + std::max(wait, 1);
        if (loop->before_poll) loop->before_poll(wait <= 0 ? 1e300 : began + wait);
    });
    uv_check_start(&check_, [](uv_check_t* c) {
        auto* loop = static_cast<EventLoop*>(c->data);
        if (!loop->has_polled()) return;
        // The loop's time is that of the system call's return: nothing here moves it before the next turn.
        loop->last_poll_ = static_cast<Millis>(uv_now(&loop->loop_));
        if (loop->after_poll) loop->after_poll();
    });
    uv_unref(reinterpret_cast<uv_handle_t*>(&prepare_));
    uv_unref(reinterpret_cast<uv_handle_t*>(&check_));
}

// Guards against time-outs that are judged over what lies unread in a socket: a wait that a signal interrupts
// (SIGCONT after a stop does) ends without a look where its time is over. One that ends sooner ended for what
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
    before_poll = nullptr, after_poll = nullptr;
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

ActivityScope::ActivityScope(EventLoop& loop, const char* what) : what_(what) {
    if (loop.in_activity_ || !loop.on_slow_turn) return;
    loop_ = &loop;
    loop.in_activity_ = true;
    began_ = now();
}

ActivityScope::~ActivityScope() {
    if (!loop_) return;
    loop_->in_activity_ = false;
    for (auto& [what, sum] : loop_->activities_) {
        if (what != what_) continue;
        sum += now() - began_;
        return;
    }
    loop_->activities_.emplace_back(what_, now() - began_);
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
    const int null = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    const int high =
        null < 0 ? -1 : ::fcntl(null, F_DUPFD_CLOEXEC, static_cast<int>(std::min(all, most)) - 1);
    if (high >= 0) ::close(high);
    if (null >= 0) ::close(null);
    return all;
}

void run_on_thread_pool(EventLoop& loop, std::function<void()> job, std::function<void()> done) {
    struct Request {
        uv_work_t uv{};
        std::function<void()> job, done;
    };
    auto* r = new Request{{}, std::move(job), std::move(done)};
    r->uv.data = r;
    const int e = uv_queue_work(
        loop.raw(), &r->uv, [](uv_work_t* handle) { static_cast<Request*>(handle->data)->job(); },
        [](uv_work_t* handle, int) {
            const std::unique_ptr<Request> own(static_cast<Request*>(handle->data));
            own->done();
        });
    if (e == 0) return;
    const std::unique_ptr<Request> own(r);  // no thread is to be had: here and now
    own->job();
    own->done();
}

void EventLoop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }
void EventLoop::stop() { uv_stop(&loop_); }

// ---- Timer ----------------------------------------------------------------------------------------------

struct Timer::Handle {
    uv_timer_t uv{};
    EventLoop* loop = nullptr;
    std::function<void()> fire;
    Millis due = 0;  // above 0: not before the sockets have been looked at since
    void start(Millis delay) {
        // Reckoned from the clock, not from the loop's time, which is that of its last look (see Loop).
        const Millis wait = now() + std::max(0.0, delay) - static_cast<Millis>(uv_now(uv.loop));
        uv_timer_start(
            &uv, [](uv_timer_t* handle) { static_cast<Handle*>(handle->data)->due_now(); },
            delay <= 0 ? 0 : static_cast<std::uint64_t>(wait + 0.999), 0);
    }
    void due_now() {
        if (due > loop->last_poll()) return start(1);  // 0 would fire again before the look
        fire();
    }
};

Timer::Timer(EventLoop& loop, std::function<void()> fire) : handle_(new Handle) {
    handle_->fire = std::move(fire);
    handle_->loop = &loop;
    uv_timer_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
}

Timer::~Timer() {
    uv_timer_stop(&handle_->uv);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::fire_after(Millis delay) {
    handle_->due = 0;
    handle_->start(delay);
}

void Timer::fire_after_poll(Millis delay) {
    handle_->due = std::floor(now() + std::max(0.0, delay));  // as coarse as the loop's time
    handle_->start(delay);
}

void Timer::stop() { uv_timer_stop(&handle_->uv); }

// ---- Turn -----------------------------------------------------------------------------------------------

struct DeferredCall::Handle {
    uv_check_t check{};      // after the sockets of this turn
    uv_prepare_t prepare{};  // after its timers, before it sleeps
    std::function<void()> end;
    bool due = false, owned = true;
    int open = 2;
    void call() {
        if (!due || !owned) return;
        due = false;
        uv_check_stop(&check);
        uv_prepare_stop(&prepare);
        end();
    }
};

DeferredCall::DeferredCall(EventLoop& loop, std::function<void()> end) : handle_(new Handle) {
    handle_->end = std::move(end);
    uv_check_init(loop.raw(), &handle_->check);
    uv_prepare_init(loop.raw(), &handle_->prepare);
    handle_->check.data = handle_->prepare.data = handle_;
}

DeferredCall::~DeferredCall() {
    handle_->owned = false;
    const auto closed = [](uv_handle_t* handle) {
        auto* h = static_cast<Handle*>(handle->data);
        if (--h->open == 0) delete h;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->check), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->prepare), closed);
}

void DeferredCall::schedule() {
    if (handle_->due) return;
    handle_->due = true;
    uv_check_start(&handle_->check, [](uv_check_t* handle) { static_cast<Handle*>(handle->data)->call(); });
    uv_prepare_start(&handle_->prepare, [](uv_prepare_t* p) { static_cast<Handle*>(p->data)->call(); });
}

// ---- addresses ------------------------------------------------------------------------------------------

bool parse_address(const std::string& address, sockaddr_storage& out) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) return false;
    std::string host = address.substr(0, colon);
    int port = -1;
    const char* end = address.data() + address.size();
    const auto [at, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || at != end || port < 0 || port > 65535) return false;
    std::memset(&out, 0, sizeof out);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return uv_ip6_addr(host.substr(1, host.size() - 2).c_str(), port,
                           reinterpret_cast<sockaddr_in6*>(&out)) == 0;
    }
    return uv_ip4_addr(host.c_str(), port, reinterpret_cast<sockaddr_in*>(&out)) == 0;
}

// ---- Stream ---------------------------------------------------------------------------------------------

struct TcpStream::Handle {
    uv_tcp_t uv{};
    TcpStream* owner = nullptr;
    bool closing = false, wrote = false, reading = false, ended = false;
    std::size_t in_flight = 0;
    std::function<void(int)> connected;
    uv_connect_t connect_req{};

    void close() {
        if (closing) return;
        closing = true;
        owner = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(&uv),
                 [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
    }
    void end(int code) {
        if (!owner || ended) return;
        ended = true;
        if (reading) uv_read_stop(stream());
        reading = false;
        // Moved out: the owner may be destroyed by its own callback.
        if (auto f = std::move(owner->on_end)) f(code);
    }
    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&uv); }
};

namespace {
struct WriteReq {
    uv_write_t req{};
    std::string bytes;
};
// One buffer serves all reads: data is handed on before the next read begins. Its size bounds what a stream
// may still gather after its reader has asked for a pause.
char read_buffer[16384];
}  // namespace

TcpStream::TcpStream(EventLoop& loop) : handle_(new Handle) {
    uv_tcp_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
    handle_->owner = this;
}

TcpStream::~TcpStream() {
    if (handle_) handle_->close();
}

int TcpStream::connect(const std::string& address, const std::string& from, std::function<void(int)> done) {
    sockaddr_storage to{}, local{};
    if (!parse_address(address, to)) return UV_EINVAL;
    if (!from.empty()) {
        if (!parse_address(from + ":0", local)) return UV_EINVAL;
        if (const int e = uv_tcp_bind(&handle_->uv, reinterpret_cast<sockaddr*>(&local), 0)) return e;
    }
    handle_->connected = std::move(done);
    handle_->connect_req.data = handle_;
    return uv_tcp_connect(&handle_->connect_req, &handle_->uv, reinterpret_cast<sockaddr*>(&to),
                          [](uv_connect_t* req, int status) {
                              auto* stream = static_cast<Handle*>(req->data);
                              if (!stream->owner) return;
                              if (status == 0) uv_tcp_nodelay(&stream->uv, 1);
                              if (auto f = std::move(stream->connected)) f(status);
                          });
}

void TcpStream::set_reading(bool on) {
    if (handle_->ended || on == handle_->reading) return;
    handle_->reading = on;
    if (!on) {
        uv_read_stop(handle_->stream());
        return;
    }
    const int e = uv_read_start(
        handle_->stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) { *buf = uv_buf_init(read_buffer, sizeof read_buffer); },
        [](uv_stream_t* handle, ssize_t n, const uv_buf_t* buf) {
            auto* stream = static_cast<Handle*>(handle->data);
            if (!stream->owner || n == 0) return;
            if (n < 0) return stream->end(n == UV_EOF ? 0 : static_cast<int>(n));
            // A copy of the callback lives through the call, whatever it does to its owner.
            const auto f = stream->owner->on_data;
            if (f) f(std::string_view(buf->base, static_cast<std::size_t>(n)));
        });
    if (e != 0) handle_->reading = false;
}

void TcpStream::write(std::string bytes) {
    if (handle_->closing || bytes.empty()) return;
    if (handle_->in_flight == 0) {
        uv_buf_t buf = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int n = uv_try_write(handle_->stream(), &buf, 1);
        if (n > 0) {
            handle_->wrote = true;
            if (static_cast<std::size_t>(n) == bytes.size()) return;
            bytes.erase(0, static_cast<std::size_t>(n));
        }
    }
    auto* w = new WriteReq;
    w->bytes = std::move(bytes);
    w->req.data = w;
    uv_buf_t buf = uv_buf_init(w->bytes.data(), static_cast<unsigned>(w->bytes.size()));
    handle_->in_flight += w->bytes.size();
    const int e = uv_write(&w->req, handle_->stream(), &buf, 1, [](uv_write_t* req, int status) {
        auto* done = static_cast<WriteReq*>(req->data);
        auto* stream = static_cast<Handle*>(req->handle->data);
        stream->in_flight -= done->bytes.size();
        delete done;
        if (!stream->owner) return;
        if (status < 0) return stream->end(status);
        stream->wrote = true;
        const auto f = stream->owner->on_drain;
        if (stream->in_flight == 0 && f) f();
    });
    if (e != 0) {
        handle_->in_flight -= w->bytes.size();
        delete w;
        break_off();
    }
}

void TcpStream::shutdown_write() {
    if (handle_->closing) return;
    auto* req = new uv_shutdown_t;
    if (uv_shutdown(req, handle_->stream(), [](uv_shutdown_t* handle, int) { delete handle; }) == 0) return;
    delete req;
    break_off();
}

// Guards against bytes or a FIN that the system refused at once and nobody is told of: the connection is over
// for both sides, and its reader hears of that in the loop's next turn. Does nothing where it is over
// already.
void TcpStream::break_off() {
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) == 0) ::shutdown(fd, SHUT_RDWR);
}

void TcpStream::reset() {
    if (handle_->closing) return;
    handle_->ended = true;
    Handle* stream = handle_;
    stream->closing = true;
    stream->owner = nullptr;
    const auto freed = [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); };
    if (uv_tcp_close_reset(&stream->uv, freed) != 0)
        uv_close(reinterpret_cast<uv_handle_t*>(&stream->uv), freed);
    handle_ = nullptr;
}

std::size_t TcpStream::queued() const { return handle_ ? handle_->in_flight : 0; }
bool TcpStream::has_written() const { return handle_ && (handle_->wrote || handle_->in_flight > 0); }

bool TcpStream::poll_now(short events, bool unknown) const {
    uv_os_fd_t fd = -1;
    if (!handle_ || handle_->ended || uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) != 0)
        return true;
    // Guards against a poll that is interrupted and taken for "nothing there": a request would go out for a
    // client that has left, or an unread one would be closed over. Linux documents no lasting failure of it
    // for one good descriptor; `unknown` is what the caller can do no harm by.
    constexpr int kTries = 100;
    for (int i = 0; i < kTries; ++i) {
        pollfd p{fd, events, 0};
        const int ready = ::poll(&p, 1, 0);
        if (ready >= 0) return ready > 0 && p.revents != 0;
    }
    return unknown;
}

bool TcpStream::peer_closed() const { return poll_now(POLLRDHUP, false); }
bool TcpStream::has_unread_input() const { return poll_now(POLLIN | POLLRDHUP, true); }

Millis TcpStream::age() const {
    uv_os_fd_t fd = -1;
    if (!handle_ || uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) != 0) return 0;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return info.tcpi_last_data_recv;
}

std::string TcpStream::peer() const {
    sockaddr_storage storage{};
    int size = sizeof storage;
    char name[64] = "";
    if (!handle_ || uv_tcp_getpeername(&handle_->uv, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
        return "";
    if (storage.ss_family == AF_INET)
        uv_ip4_name(reinterpret_cast<sockaddr_in*>(&storage), name, sizeof name);
    if (storage.ss_family == AF_INET6)
        uv_ip6_name(reinterpret_cast<sockaddr_in6*>(&storage), name, sizeof name);
    return name;
}

// ---- Listener -------------------------------------------------------------------------------------------

// Accepts by itself: libuv's listener closes a spare descriptor and then what waits, unread, where accept
// fails for want of one.
struct TcpListener::Handle {
    uv_tcp_t uv{};  // holds the socket
    uv_poll_t poll{};
    uv_timer_t retry{};
    TcpListener* owner = nullptr;
    EventLoop* loop = nullptr;
    int fd = -1;  // of the socket, once it listens
    int open_handles = 1;

    void watch() {
        uv_poll_start(&poll, UV_READABLE, [](uv_poll_t* p, int, int) {
            auto* handle = static_cast<Handle*>(p->data);
            if (handle->owner) handle->owner->accept_pending(kMostAtOnce);
        });
    }
    // What waits stays in the system's queue meanwhile.
    void rest() {
        uv_poll_stop(&poll);
        uv_timer_start(
            &retry, [](uv_timer_t* handle) { static_cast<Handle*>(handle->data)->watch(); }, kAcceptPause, 0);
    }
    static void closed(uv_handle_t* h) {
        auto* handle = static_cast<Handle*>(h->data);
        if (--handle->open_handles == 0) delete handle;
    }
    void close() {
        owner = nullptr;
        if (open_handles > 1) {
            uv_close(reinterpret_cast<uv_handle_t*>(&retry), closed);
            uv_close(reinterpret_cast<uv_handle_t*>(&poll), closed);
        }
        // Last, as the loop must not watch a descriptor that is another's by then.
        uv_close(reinterpret_cast<uv_handle_t*>(&uv), closed);
    }

    static constexpr int kMostAtOnce = 64;             // connections accepted in one turn of the loop
    static constexpr std::uint64_t kAcceptPause = 10;  // ms until accept is tried again
};

TcpListener::TcpListener(EventLoop& loop) : handle_(new Handle) {
    uv_tcp_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_->poll.data = handle_->retry.data = handle_;
    handle_->owner = this;
    handle_->loop = &loop;
}

TcpListener::~TcpListener() { handle_->close(); }

int TcpListener::listen(const std::string& address, int backlog) {
    sockaddr_storage storage{};
    if (!parse_address(address, storage)) return UV_EINVAL;
    if (handle_->fd >= 0) return UV_EALREADY;
    const int fd = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -errno;
    const int on = 1;
    const socklen_t size = storage.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    int code = 0;
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd, reinterpret_cast<sockaddr*>(&storage), size) != 0 || ::listen(fd, backlog) != 0) {
        code = -errno;
    } else {
        code = uv_tcp_open(&handle_->uv, fd);
    }
    if (code != 0) {
        ::close(fd);
        return code;
    }
    if (const int e = uv_poll_init(handle_->loop->raw(), &handle_->poll, fd)) return e;
    uv_timer_init(handle_->loop->raw(), &handle_->retry);
    handle_->open_handles = 3;
    handle_->fd = fd;
    handle_->watch();
    return 0;
}

bool TcpListener::accept_pending(int most) {
    Handle* handle = handle_;
    for (int taken = 0, failed = 0; taken + failed < most;) {
        const int fd = ::accept4(handle->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        const int code = fd < 0 ? -errno : 0;
        switch (classify_accept_error(code)) {
            case ErrorClass::none:
                break;
            case ErrorClass::retry_now:
                ++failed;
                continue;
            case ErrorClass::retry_later:
                return true;
            default:
                handle->rest();
                if (on_error) on_error(code);
                return false;
        }
        ++taken;
        auto stream = std::make_unique<TcpStream>(*handle->loop);
        if (uv_tcp_open(&stream->handle_->uv, fd) != 0) {
            ::close(fd);
            continue;
        }
        uv_tcp_nodelay(&stream->handle_->uv, 1);
        if (on_stream) on_stream(std::move(stream));
        if (!handle->owner) return true;  // destroyed in the callback
    }
    return false;
}

bool TcpListener::accept_all_pending() {
    constexpr int kMostPending = 4096;
    return handle_->fd < 0 || accept_pending(kMostPending);
}

int TcpListener::port() const {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (handle_->fd < 0 || ::getsockname(handle_->fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
        return 0;
    return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                               : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

// ---- Signal ---------------------------------------------------------------------------------------------

struct SignalWatcher::Handle {
    uv_signal_t uv{};
    std::function<void()> fire;
};

SignalWatcher::SignalWatcher(EventLoop& loop, int number, std::function<void()> fire) : handle_(new Handle) {
    handle_->fire = std::move(fire);
    uv_signal_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
    uv_signal_start(
        &handle_->uv, [](uv_signal_t* handle, int) { static_cast<Handle*>(handle->data)->fire(); }, number);
    uv_unref(reinterpret_cast<uv_handle_t*>(&handle_->uv));
}

SignalWatcher::~SignalWatcher() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

// ---- FileWatcher ------------------------------------------------------------------------------------------

FileWatcher::FileWatcher(EventLoop& loop, std::string file, Millis every, std::function<void()> changed)
    : file_(std::move(file)),
      interval_(every),
      changed_(std::move(changed)),
      timer_(loop, [this] { check_now(); }) {
    timer_.fire_after(0);
}

void FileWatcher::report_again() { last_text_.clear(); }

void FileWatcher::check_now() {
    struct stat s {};
    std::string mark;
    if (::stat(file_.c_str(), &s) == 0) {
        mark = std::to_string(s.st_ino) + ":" + std::to_string(s.st_size) + ":" +
               std::to_string(s.st_mtim.tv_sec) + ":" + std::to_string(s.st_mtim.tv_nsec);
    }
    timer_.fire_after(interval_);
    if (mark == last_text_) return;
    last_text_ = mark;
    if (!mark.empty()) changed_();
}

}  // namespace gorsenotch::net
