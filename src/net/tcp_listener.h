// A listening TCP socket on an event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/tcp_stream.h"

namespace gorsenotch::net {

class EventLoop;

// Hands each accepted connection to its owner. May be destroyed at any time, also inside its own callback.
// Errors are negative libuv codes.
class TcpListener {
public:
    std::function<void(std::unique_ptr<TcpStream>)> on_stream;
    // Accepting failed for want of descriptors or memory. Connections stay in the system's queue and accept
    // is tried again soon; the owner may make room.
    std::function<void(int)> on_error;

    // Does not listen yet.
    explicit TcpListener(EventLoop& loop);
    // The system resets connections that nobody has accepted yet.
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;
    // 0 or an error. Port 0: any free one.
    int listen(const std::string& address, int backlog = 1024);
    // Hands on the connections that wait in the system's queue, before the listener is destroyed. False: some
    // may be left, as accepting failed for now.
    bool accept_all_pending();
    // The port that it listens on; 0 before listen().
    int port() const;

private:
    struct Handle;
    // Accepts up to `most` connections; returns whether none is left.
    bool accept_pending(int most);
    Handle* handle_;  // freed by the loop after ~TcpListener has closed it
};

}  // namespace gorsenotch::net
