#include "net/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/tcp_stream_handle.h"

namespace gorsenotch::net {

namespace {
// One buffer serves all reads: data is delivered before the next read begins. Its size bounds what a stream
// may still deliver after its reader has requested a pause.
constexpr std::size_t kReadBufferBytes = 16384;
char read_buffer[kReadBufferBytes];

// On Linux, poll() on a single valid descriptor has no persistent failure: it does not happen that more calls
// than this are interrupted in a row.
constexpr int kMaxPollAttempts = 100;

}  // namespace

// A write whose bytes the kernel has not accepted yet, or not all of them.
struct TcpStream::WriteRequest {
    // The bytes that are left, as buffers of libuv.
    struct Buffers {
        std::array<uv_buf_t, 2> list{};
        unsigned count = 0;
    };

    uv_write_t uv{};
    std::string bytes;
    std::shared_ptr<const std::string> shared;  // sent after `bytes`; null: none
    std::size_t accepted = 0;                   // by the kernel

    std::size_t size() const { return bytes.size() + (shared ? shared->size() : 0); }
    std::size_t left() const { return size() - accepted; }
    Buffers buffers() const {
        Buffers buffers;
        std::size_t skipped = accepted;
        for (const std::string* part : {&bytes, shared.get()}) {
            if (!part) continue;
            const std::size_t skip = std::min(skipped, part->size());
            skipped -= skip;
            if (skip == part->size()) continue;
            // libuv's buffers are not const, but are only read from when they are written.
            char* begin = const_cast<char*>(part->data()) + skip;
            buffers.list[buffers.count++] = uv_buf_init(begin, static_cast<unsigned>(part->size() - skip));
        }
        return buffers;
    }
};

TcpStream::TcpStream(EventLoop& loop) : handle_(new Handle) {
    uv_tcp_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
    handle_->owner = this;
}

TcpStream::~TcpStream() {
    if (handle_) handle_->close();
}

int TcpStream::connect(const std::string& address, const std::string& from, std::function<void(int)> done) {
    sockaddr_storage to{};
    sockaddr_storage local{};
    if (!parse_address(address, to)) return UV_EINVAL;
    if (!from.empty()) {
        if (!parse_address(from + ":0", local)) return UV_EINVAL;
        const int error = uv_tcp_bind(&handle_->uv, reinterpret_cast<sockaddr*>(&local), 0);
        if (error != 0) return error;
    }
    handle_->on_connected = std::move(done);
    handle_->connect_request.data = handle_;
    return uv_tcp_connect(&handle_->connect_request, &handle_->uv, reinterpret_cast<sockaddr*>(&to),
                          [](uv_connect_t* req, int status) {
                              auto* stream = static_cast<Handle*>(req->data);
                              if (!stream->owner) return;
                              if (status == 0) uv_tcp_nodelay(&stream->uv, 1);
                              if (const auto on_connected = std::move(stream->on_connected))
                                  on_connected(status);
                          });
}

void TcpStream::set_reading(bool on) {
    if (handle_->ended || on == handle_->reading) return;
    handle_->reading = on;
    if (!on) {
        uv_read_stop(handle_->stream());
        return;
    }
    const int error = uv_read_start(
        handle_->stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) { *buf = uv_buf_init(read_buffer, sizeof read_buffer); },
        [](uv_stream_t* handle, ssize_t size, const uv_buf_t* buf) {
            auto* stream = static_cast<Handle*>(handle->data);
            if (!stream->owner || size == 0) return;
            if (size < 0) return stream->end(size == UV_EOF ? 0 : static_cast<int>(size));
            // A copy: the callback may destroy the stream that holds it.
            const auto callback = stream->owner->on_data;
            if (callback) callback(std::string_view(buf->base, static_cast<std::size_t>(size)));
        });
    if (error != 0) handle_->reading = false;
}

void TcpStream::write(std::string bytes, std::shared_ptr<const std::string> shared) {
    auto request = std::make_unique<WriteRequest>();
    request->bytes = std::move(bytes);
    request->shared = std::move(shared);
    if (handle_->closing || request->size() == 0) return;
    handle_->written += request->size();
    if (handle_->in_flight == 0) request->accepted = try_write(*request);
    if (request->left() > 0) queue_write(std::move(request));
}

// Hands the kernel as many bytes as it accepts at once; returns their number.
std::size_t TcpStream::try_write(const WriteRequest& request) {
    const WriteRequest::Buffers buffers = request.buffers();
    const int written = uv_try_write(handle_->stream(), buffers.list.data(), buffers.count);
    if (written <= 0) return 0;
    handle_->wrote = true;
    return static_cast<std::size_t>(written);
}

// Leaves the request to libuv until its callback.
void TcpStream::queue_write(std::unique_ptr<WriteRequest> request) {
    WriteRequest* const pending = request.release();
    pending->uv.data = pending;
    const WriteRequest::Buffers buffers = pending->buffers();
    handle_->in_flight += pending->left();
    const int error =
        uv_write(&pending->uv, handle_->stream(), buffers.list.data(), buffers.count,
                 [](uv_write_t* written, int status) {
                     const std::unique_ptr<WriteRequest> finished(static_cast<WriteRequest*>(written->data));
                     auto* stream = static_cast<Handle*>(written->handle->data);
                     stream->in_flight -= finished->left();
                     stream->on_written(status);
                 });
    if (error == 0) return;
    handle_->in_flight -= pending->left();
    delete pending;
    abort_connection();
}

void TcpStream::shutdown_write() {
    if (handle_->closing) return;
    auto* request = new uv_shutdown_t;
    const auto free_request = [](uv_shutdown_t* done, int) { delete done; };
    if (uv_shutdown(request, handle_->stream(), free_request) == 0) return;
    delete request;
    abort_connection();
}

// Guards against bytes or a FIN that the system rejected at once, which no callback reports: shuts down both
// directions of the connection, so that on_end follows in the next loop iteration. No effect on a connection
// that has already ended.
void TcpStream::abort_connection() {
    if (const auto fd = descriptor()) ::shutdown(*fd, SHUT_RDWR);
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

std::optional<int> TcpStream::descriptor() const {
    uv_os_fd_t fd = -1;
    if (!handle_ || uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->uv), &fd) != 0)
        return std::nullopt;
    return fd;
}

std::size_t TcpStream::queued() const { return handle_ ? handle_->in_flight : 0; }
bool TcpStream::has_written() const { return handle_ && (handle_->wrote || handle_->in_flight > 0); }

std::uint64_t TcpStream::acknowledged_bytes() const {
    const auto fd = descriptor();
    if (!fd) return 0;
    int unacknowledged = 0;  // of the bytes that the kernel has accepted
    if (::ioctl(*fd, SIOCOUTQ, &unacknowledged) != 0) unacknowledged = 0;
    const std::uint64_t accepted = handle_->written - uv_stream_get_write_queue_size(handle_->stream());
    return accepted - std::min(accepted, static_cast<std::uint64_t>(std::max(0, unacknowledged)));
}

bool TcpStream::poll_now(short events, bool if_unknown) const {
    const auto fd = descriptor();
    if (!fd || handle_->ended) return true;
    // Guards against an interrupted poll that is taken for "nothing pending": a request would be sent for a
    // client that has disconnected, or a connection with an unread request would be closed.
    for (int i = 0; i < kMaxPollAttempts; ++i) {
        pollfd polled{*fd, events, 0};
        const int ready = ::poll(&polled, 1, 0);
        if (ready >= 0) return ready > 0 && polled.revents != 0;
    }
    return if_unknown;
}

bool TcpStream::peer_closed() const { return poll_now(POLLRDHUP, false); }
bool TcpStream::has_unread_input() const { return poll_now(POLLIN | POLLRDHUP, true); }

Millis TcpStream::time_since_last_receive() const {
    const auto fd = descriptor();
    if (!fd) return 0;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(*fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
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

}  // namespace gorsenotch::net
