// A TCP connection on an event loop, opened by connect() or accepted by a TcpListener.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/clock.h"

namespace gorsenotch::net {

class EventLoop;

// Callbacks never run inside the call that caused them. The object may be destroyed at any time, also inside
// its own callback. Errors are negative libuv codes; error_text() gives their text.
class TcpStream {
public:
    std::function<void(std::string_view)> on_data;  // the view is valid during the call only
    std::function<void(int)> on_end;                // called once: 0 at the peer's FIN, else the error
    std::function<void()> on_drain;                 // all written bytes have been handed to the kernel

    // Creates a stream that is not connected yet.
    explicit TcpStream(EventLoop& loop);
    // Closes the connection at once; if input is unread, the kernel sends a RST.
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Returns 0 and calls `done` later with 0 or an error, or returns an error and never calls `done`.
    // `from`: local address to connect from, without a port; empty: any.
    int connect(const std::string& address, const std::string& from, std::function<void(int)> done);
    // Starts or stops reading, and so calls of on_data. Initially stopped.
    void set_reading(bool on);
    // Sends `bytes`, then `shared`, after all bytes written before. `shared` is kept, not copied, until the
    // kernel has accepted it or the stream is closed; null: none.
    void write(std::string bytes, std::shared_ptr<const std::string> shared = nullptr);
    // Sends a FIN after all written bytes.
    void shutdown_write();
    // Closes the connection with a RST where the system can. Afterwards only queued(), has_written() and the
    // queries below may be called.
    void reset();
    // Number of written bytes that have not been handed to the kernel yet.
    std::size_t queued() const;
    // Number of written bytes whose arrival the peer's host has acknowledged. Where the kernel does not tell,
    // the number of bytes handed to the kernel.
    std::uint64_t acknowledged_bytes() const;
    // Whether any byte was handed to the kernel or is queued for it.
    bool has_written() const;
    // Whether the peer's FIN or RST has arrived, read or not; true once the stream has ended.
    bool peer_closed() const;
    // Whether bytes, an end of stream or an error wait to be read; true once the stream has ended.
    bool has_unread_input() const;
    // Milliseconds since the kernel last received bytes from the peer; 0 if unknown.
    Millis time_since_last_receive() const;
    // The peer's numeric address without the port; empty if unknown.
    std::string peer() const;

private:
    friend class TcpListener;
    struct Handle;
    // Of the socket; none before it is opened and after reset().
    std::optional<int> descriptor() const;
    // Whether one of `events` (those of poll(2)), a hang-up or an error is pending now; `if_unknown` if poll
    // keeps failing.
    bool poll_now(short events, bool if_unknown) const;
    struct WriteRequest;
    std::size_t try_write(const WriteRequest& request);
    void queue_write(std::unique_ptr<WriteRequest> request);
    void abort_connection();
    Handle* handle_;  // null after reset()
};

}  // namespace gorsenotch::net
