// Decides whether an idle kept-alive connection is used again, by how often reused ones broke. No I/O; the
// random draw is handed in. Times are ms.
//
// A request on a connection that breaks may have run and costs an attempt; a new connection costs a
// handshake. Where endpoints, or something between, close or reset idle connections, the handshake is the
// cheaper.
//
// Ownership: one for each connection pool, which asks before each reuse and reports each request's end.
#pragma once

#include <array>
#include <cstddef>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

class ConnectionReusePolicy {
public:
    // Whether to use a connection that has been idle for `idle`. Never right after its last response: what an
    // endpoint sends behind that, some ms late, would be taken for the next request's response.
    // `draw`: uniform from 0 to 1; a few are reused in any case, as a trial.
    bool should_reuse(Millis idle, double draw) const;
    // A request went out on a connection that had been idle for `idle`, or on a new one (`idle` below 0).
    // `broke`: it ended before any byte of a response.
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
    std::array<UseCount, kIdleBuckets> reused_connections_;  // by how long they had been idle
};

}  // namespace gorsenotch::control
