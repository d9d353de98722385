// Decides whether an idle keep-alive connection is reused, based on how often reused connections broke. No
// I/O; the caller supplies the random draw. Times are ms.
//
// A request on a connection that breaks may have run and uses up an attempt; a new connection costs a
// handshake. Where endpoints or middleboxes close or reset idle connections, the handshake is cheaper.
//
// Ownership: one per connection pool, which asks before each reuse and reports the end of each request.
#pragma once

#include <array>
#include <cstddef>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// Compares how often new and reused connections break, by the time that they were idle.
class ConnectionReusePolicy {
public:
    // Whether to reuse a connection that has been idle for `idle`. Never right after its last response: if
    // the endpoint sends surplus bytes some ms later, they would be parsed as the next request's response.
    // `draw`: uniform from 0 to 1; a small fraction of connections is reused in any case, as a trial.
    bool should_reuse(Millis idle, double draw) const;
    // Records a request on a connection that had been idle for `idle`, or on a new connection (`idle` below
    // 0). `broke`: the connection ended before the first byte of a response.
    void on_request_ended(Millis idle, bool broke);

private:
    static constexpr std::size_t kIdleBuckets = 3;
    // Exponentially decaying counts.
    struct UseCount {
        double used = 0;
        double broken = 0;
        double broken_fraction() const;
    };
    static std::size_t idle_bucket(Millis idle);

    UseCount new_connections_;
    std::array<UseCount, kIdleBuckets> reused_connections_;  // by idle time
};

}  // namespace gorsenotch::control
