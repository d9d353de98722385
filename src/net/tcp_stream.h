// A TCP connection on an event loop, opened by connect() or handed out by a TcpListener.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "net/clock.h"

namespace gorsenotch::net {

class EventLoop;

// Callbacks never run inside the call that caused them. The object may be destroyed at any time, also inside
// its own callback. Errors are negative libuv codes; error_text() names them.
class TcpStream {
public:
    std::function<void(std::string_view)> on_data;  // the view is valid during the call alone
    std::function<void(int)> on_end;                // once: 0 at the peer's FIN, else the error
    std::function<void()> on_drain;                 // all written bytes have been handed to the kernel

    // Not connected yet.
    explicit TcpStream(EventLoop& loop);
    // Closes at once; if input is unread, the kernel sends a reset.
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Returns 0, and `done` gets 0 or an error later, or returns an error and never calls `done`. `from`:
    // local address to connect from, without a port; empty for any.
    int connect(const std::string& address, const std::string& from, std::function<void(int)> done);
    // Starts or stops on_data. Off at first.
    void set_reading(bool on);
    void write(std::string bytes);
    // Sends a FIN after what was written.
    void shutdown_write();
    // Closes with a RST where the system can. No other member may be called after it but queued(),
    // has_written() and the questions below.
    void reset();
    // Bytes written that the kernel has not taken yet.
    std::size_t queued() const;
    // Whether any byte was handed to the kernel, or waits for it.
    bool has_written() const;
    // Whether the peer's FIN or reset has come, read or not; true once the stream has ended.
    bool peer_closed() const;
    // Whether bytes, an end or an error wait to be read; true once the stream has ended.
    bool has_unread_input() const;
    // Milliseconds since the kernel last received bytes from the peer; 0 if it cannot say.
    Millis age() const;
    // The peer's numeric address without the port; empty if unknown.
    std::string peer() const;

private:
    friend class TcpListener;
    struct Handle;
    // Whether one of `events` (poll(2)'s), a hang-up or an error is there now; `if_unknown` where the system
    // does not say.
    bool poll_now(short events, bool if_unknown) const;
    std::size_t try_write(std::string& bytes);
    void queue_write(std::string bytes);
    void break_off();
    Handle* handle_;  // null after reset()
};

}  // namespace gorsenotch::net
