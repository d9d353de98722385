// Requests whose responses nobody waits for, such as the release of a KV lease.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/clock.h"
#include "net/event_loop.h"
#include "net/timer.h"

namespace gorsenotch::proxy {

// Owns the connections of these requests, one for each attempt to connect. Requests must be idempotent.
// Times are ms. Threading: the loop's thread. Must be destroyed before the loop.
class DetachedCalls {
public:
    // `source`: local address to connect from; empty: any.
    DetachedCalls(net::EventLoop& loop, std::string source, net::Millis connect_timeout);
    ~DetachedCalls();

    // Connects to `address` and writes the bytes of `request`. Connecting is retried until it succeeds or
    // `timeout` has passed; the response is read and discarded.
    void send(const std::string& address, std::string request, net::Millis timeout);

private:
    struct Call;
    using Calls = std::list<std::unique_ptr<Call>>;
    void connect(Call& call);
    static void write_request(Call& call);
    void end(Call& call);

    net::EventLoop& loop_;
    const std::string source_;
    const net::Millis connect_timeout_;
    Calls calls_;
    Calls ended_calls_;  // freed in a later loop iteration, as their callbacks may be running
    net::Timer cleanup_timer_;
};

}  // namespace gorsenotch::proxy
