// The actions that a Router returns and its host carries out, in the order given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch {

// Send the request to an endpoint. The attempts of a request are numbered from 0.
struct StartAttempt {
    RequestId request;
    EndpointId endpoint = 0;
    Millis timeout = 0;  // of this attempt; 0: the client's deadline
    // Clock time after which no byte may be sent (the attempt then ends as not_sent); 0: none.
    Millis send_by = 0;
};
// Cancel an attempt in flight.
struct StopAttempt {
    RequestId request;
    int attempt = 0;
};
// Reserve a slot for the request at an endpoint.
struct ReserveSlot {
    RequestId request;
    EndpointId endpoint = 0;
};
// Release every KV-cache lease and slot of the request that no attempt needs.
struct ReleaseLease {
    RequestId request;
};
// Why a request was rejected or failed. For logs only.
enum class EndCause {
    deadline,            // its deadline has passed
    shed_load,           // the expected wait is too long for its priority weight
    no_decode_endpoint,  // on arrival: every decode endpoint is down
    attempts_exhausted,  // as many as the settings allow
    may_have_run,        // and its class is not idempotent
    retry_budget,        // this gateway's retry budget is exhausted
    no_endpoint,         // none is eligible: down, full, warming, or outside its dedup scope or window
    decode_too_late,     // prefilled, but it would miss its latency objective while others wait
    shutdown,
};
// The number of values of EndCause.
constexpr std::size_t kEndCauses = 9;

// Final answer: the request did not run and may be retried.
struct Reject {
    RequestId request;
    Millis retry_after = 0;  // advice to the client; 0: none
    EndCause cause = EndCause::deadline;
};
// Final answer: the request may have run.
struct Fail {
    RequestId request;
    EndCause cause = EndCause::deadline;
};
// End a stream so that its client continues it on another endpoint.
struct MigrateStream {
    RequestId request;
};
// Check the health of an endpoint.
struct HealthCheck {
    EndpointId endpoint = 0;
};
// Fire TimerFired at the given clock time.
struct SetTimer {
    std::uint64_t timer = 0;
    Millis at = 0;
};
// Subscribe to the endpoint list.
struct WatchEndpoints {};
// Request the complete endpoint list once.
struct PollEndpoints {};
// Write a line to the log.
struct Log {
    std::string text;
};

// What a Router asks its host to do, in the order given.
using Action = std::variant<StartAttempt, StopAttempt, ReserveSlot, ReleaseLease, Reject, Fail, MigrateStream,
                            HealthCheck, SetTimer, WatchEndpoints, PollEndpoints, Log>;

}  // namespace gorsenotch
