#include "net/tcp_listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>
#include <optional>
#include <utility>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/socket_error.h"
#include "net/tcp_stream_handle.h"

namespace gorsenotch::net {

// Calls accept itself: where accept fails for lack of a descriptor, libuv's listener frees a spare one, then
// accepts and closes the pending connections unread.
struct TcpListener::Handle {
    uv_tcp_t uv{};  // holds the socket
    uv_poll_t poll{};
    uv_timer_t retry_timer{};
    TcpListener* owner = nullptr;
    EventLoop* loop = nullptr;
    std::optional<int> fd;  // of the listening socket; none before listen()
    int open_handles = 1;

    void start_accepting() {
        uv_poll_start(&poll, UV_READABLE, [](uv_poll_t* handle, int, int) {
            auto* listener = static_cast<Handle*>(handle->data);
            if (listener->owner) listener->owner->accept_pending(kMaxAcceptsPerIteration);
        });
    }
    // Stops accepting for kAcceptPauseMs; connections wait in the kernel's backlog meanwhile.
    void pause_accepting() {
        uv_poll_stop(&poll);
        uv_timer_start(
            &retry_timer, [](uv_timer_t* handle) { static_cast<Handle*>(handle->data)->start_accepting(); },
            kAcceptPauseMs, 0);
    }
    static void on_closed(uv_handle_t* handle) {
        auto* listener = static_cast<Handle*>(handle->data);
        if (--listener->open_handles == 0) delete listener;
    }
    void close() {
        owner = nullptr;
        if (open_handles > 1) {
            uv_close(reinterpret_cast<uv_handle_t*>(&retry_timer), on_closed);
            uv_close(reinterpret_cast<uv_handle_t*>(&poll), on_closed);
        }
        // Last: the loop must not poll a descriptor that is closed and may be in use again.
        uv_close(reinterpret_cast<uv_handle_t*>(&uv), on_closed);
    }

    // Calls of accept in one loop iteration.
    static constexpr int kMaxAcceptsPerIteration = 64;
    // Until accept is retried after a failure.
    static constexpr std::uint64_t kAcceptPauseMs = 10;
};

TcpListener::TcpListener(EventLoop& loop) : handle_(new Handle) {
    uv_tcp_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
    handle_->poll.data = handle_;
    handle_->retry_timer.data = handle_;
    handle_->owner = this;
    handle_->loop = &loop;
}

TcpListener::~TcpListener() { handle_->close(); }

int TcpListener::listen(const std::string& address, int backlog) {
    sockaddr_storage storage{};
    if (!parse_address(address, storage)) return UV_EINVAL;
    if (handle_->fd) return UV_EALREADY;
    const int fd = ::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -errno;
    const int enabled = 1;
    const socklen_t size = storage.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    int code = 0;
    if (::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        ::bind(fd, reinterpret_cast<sockaddr*>(&storage), size) != 0 || ::listen(fd, backlog) != 0) {
        code = -errno;
    } else {
        code = uv_tcp_open(&handle_->uv, fd);
    }
    if (code != 0) {
        ::close(fd);
        return code;
    }
    code = uv_poll_init(handle_->loop->raw(), &handle_->poll, fd);
    if (code != 0) return code;
    uv_timer_init(handle_->loop->raw(), &handle_->retry_timer);
    handle_->open_handles = 3;
    handle_->fd = fd;
    handle_->start_accepting();
    return 0;
}

bool TcpListener::accept_pending(int max_calls) {
    Handle* handle = handle_;
    for (int calls = 0; calls < max_calls; ++calls) {
        const int fd = ::accept4(*handle->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        const int code = fd < 0 ? -errno : 0;
        switch (classify_accept_error(code)) {
            case ErrorClass::none:
                break;
            case ErrorClass::retry_now:
                continue;
            case ErrorClass::retry_later:
                return true;
            default:
                handle->pause_accepting();
                if (on_error) on_error(code);
                return false;
        }
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
    constexpr int kMaxAccepts = 4096;
    return !handle_->fd || accept_pending(kMaxAccepts);
}

int TcpListener::port() const {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    if (!handle_->fd || ::getsockname(*handle_->fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
        return 0;
    return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                               : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace gorsenotch::net
