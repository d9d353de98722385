// Whether a kept connection is worth using again, by how often those that were used again broke. No I/O; the
// random draw is handed in. Fed by whoever carries requests; times are ms.
//
// A request on a connection that breaks may have run and costs an attempt; opening a new one costs a
// handshake. Where servers, or something between, close or reset kept connections, the handshake is the
// cheaper.
#pragma once

#include <array>
#include <cstddef>

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

class ConnectionReusePolicy {
public:
    // Whether to use one that has been idle for `idle`. Never right after its last answer: what a server
    // sends behind that, some ms late, would be taken for the next request's answer. `draw`: uniform from 0
    // to 1; a few are tried in any case.
    bool should_reuse(Millis idle, double draw) const;
    // A request went out on a connection, kept for `idle` or new (`idle` below 0); `broke`: it ended before
    // any byte of an answer.
    void on_request_ended(Millis idle, bool broke);

private:
    struct UseCount {
        double used = 0, broken = 0;  // fading
        double broken_fraction() const;
    };
    static std::size_t idle_bucket(Millis idle);
    UseCount new_connections_;
    std::array<UseCount, 3> reused_connections_;  // by how long they had been idle
};

}  // namespace gorsenotch::control
