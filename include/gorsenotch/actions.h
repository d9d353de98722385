// The actions that a Router returns. The host executes them in the order given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch {

// Sends the request to an endpoint. The attempts of a request are numbered from 0.
struct StartAttempt {
    RequestId request;
    EndpointId endpoint = 0;
    Millis timeout = 0;  // of this attempt; 0: only the client's deadline applies
    // Clock time after which no byte of the request may be sent; the attempt then ends as not_sent. 0: none.
    Millis send_by = 0;
};
// Cancels an attempt in flight.
struct StopAttempt {
    RequestId request;
    int attempt = 0;
};
// Reserves a slot for the request at an endpoint.
struct ReserveSlot {
    RequestId request;
    EndpointId endpoint = 0;
};
// Releases every KV lease and reserved slot of the request that no attempt in flight needs.
struct ReleaseLease {
    RequestId request;
};
// Why a request was rejected or failed. Used in logs only.
enum class EndCause {
    deadline,            // the deadline of the request has passed
    shed_load,           // the expected wait is too long for the priority weight of the request
    no_decode_endpoint,  // no decode endpoint was reachable on arrival
    attempts_exhausted,  // Settings::max_attempts have been made
    may_have_run,        // an attempt may have run, and the class is Idempotency::unsafe
    retry_budget,        // the retry budget of this gateway is exhausted
    no_endpoint,  // no endpoint is eligible: down, full, in slow start, or outside the dedup scope or window
    decode_too_late,  // prefilled, but would miss its latency objective while other requests wait
    shutdown,         // the host is shutting down
};
// The number of values of EndCause.
constexpr std::size_t kEndCauses = 9;

// Final answer: the client may retry the request, as it did not run or may safely run again.
struct Reject {
    RequestId request;
    Millis retry_after = 0;  // value for Retry-After; 0: none
    EndCause cause = EndCause::deadline;
};
// Final answer: the request may have run, and running it again is not safe.
struct Fail {
    RequestId request;
    EndCause cause = EndCause::deadline;
};
// Ends a stream so that it is continued on another endpoint.
struct MigrateStream {
    RequestId request;
};
// Checks the health of an endpoint.
struct HealthCheck {
    EndpointId endpoint = 0;
};
// Requests a TimerFired event at the given clock time.
struct SetTimer {
    std::uint64_t timer = 0;
    Millis at = 0;
};
// Subscribes to the endpoint list.
struct WatchEndpoints {};
// Requests the complete endpoint list once.
struct PollEndpoints {};
// Writes a line to the log.
struct Log {
    std::string text;
};

// Any action of a Router.
using Action = std::variant<StartAttempt, StopAttempt, ReserveSlot, ReleaseLease, Reject, Fail, MigrateStream,
                            HealthCheck, SetTimer, WatchEndpoints, PollEndpoints, Log>;

}  // namespace gorsenotch
