// A listening TCP socket on an event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/tcp_stream.h"

namespace gorsenotch::net {

class EventLoop;

// Passes each accepted connection to its owner. May be destroyed at any time, also inside its own callback.
// Errors are negative libuv codes.
class TcpListener {
public:
    std::function<void(std::unique_ptr<TcpStream>)> on_stream;
    // Accepting failed for lack of descriptors or memory. Connections stay in the kernel's backlog and accept
    // is retried soon; the owner may close connections to make room.
    std::function<void(int)> on_error;

    // Creates a listener that does not listen yet.
    explicit TcpListener(EventLoop& loop);
    // The kernel resets connections that have not been accepted yet.
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;
    // Returns 0 or an error. Port 0: any free port.
    int listen(const std::string& address, int backlog = 1024);
    // Accepts the connections in the kernel's backlog, to be called before the listener is destroyed. False:
    // some may be left, as accepting failed for now.
    bool accept_all_pending();
    // The port that it listens on; 0 before listen().
    int port() const;

private:
    struct Handle;
    // Calls accept up to `max_calls` times; returns whether no connection is left in the backlog.
    bool accept_pending(int max_calls);
    Handle* handle_;  // freed by the loop after ~TcpListener has closed it
};

}  // namespace gorsenotch::net
