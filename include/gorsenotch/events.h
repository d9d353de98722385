// The events that a host reports to a Router. Times are milliseconds on the host's monotonic clock, lengths
// are tokens; classes, tenants, zones and kinds are indices into Settings.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch {

// The host's id of a request; unique within a Router's life.
using RequestId = std::string;
// Names an endpoint; the same at every gateway.
using EndpointId = std::uint32_t;

// Load as an endpoint reports it. A value below 0 is absent.
struct LoadReport {
    double memory_utilization = -1;  // share of its KV cache in use, 0 to 1
    double queued_kilotokens = -1;   // thousands of prompt tokens that wait for prefill or transfer
    Millis latency = -1;             // recent time to the end of a prefill or to the first token
};

// A request of a client. It gets exactly one final answer.
struct Arrival {
    RequestId request;
    int cls = 0;
    int tenant = 0;
    std::uint64_t session = 0;
    std::uint64_t shared_prefix = 0;  // identifies the prefix shared with other prompts; 0: none
    Millis deadline = 0;              // clock time at which the client stops waiting
    Millis length_hint =
        -1;  // predicted duration of the answer at the class's inter-token objective; below 0: none
    double prompt_tokens = 0;
    double shared_prefix_tokens = 0;
    double max_tokens = 0;
    bool client_retry = false;  // a retry by the client, where clients mark retries
    bool resumed = false;       // continues a stream that broke
};

// How an attempt ended.
enum class AttemptResult {
    served,
    error,
    rejected,
    timed_out,
    unreachable,
    reset,
    cancelled,
    not_sent,
    prefill_done
};

// Whether the result proves that the attempt never ran: it was rejected, or no complete request reached the
// endpoint.
constexpr bool never_ran(AttemptResult result) {
    return result == AttemptResult::rejected || result == AttemptResult::unreachable ||
           result == AttemptResult::not_sent;
}

// The end of an attempt. Exactly one for each StartAttempt.
struct AttemptEnded {
    RequestId request;
    int attempt = 0;
    EndpointId endpoint = 0;
    AttemptResult result = AttemptResult::served;
    Millis took = 0;
    bool request_closed = false;  // the request has its final answer
    // prefill_done: prompt tokens found in the KV cache; rejected: 1 if there was no KV cache to fetch.
    double detail = 0;
    LoadReport report;
};

// A stream has begun. The client's deadline no longer applies.
struct FirstToken {
    RequestId request;
    int attempt = 0;
    EndpointId endpoint = 0;
    Millis took = 0;
};

// The answer to ReserveSlot.
struct ReservationReply {
    RequestId request;
    EndpointId endpoint = 0;
    bool reserved = false;
};

// The client closed its connection before the final answer.
struct ClientDisconnected {
    RequestId request;
};

// An endpoint as service discovery lists it.
struct Endpoint {
    EndpointId id = 0;
    int zone = 0;
    int kind = 0;
    std::uint64_t cell = 0;
    EndpointStatus status = EndpointStatus::healthy;
    double weight = 1;
    Millis started_at = 0;  // 0: long ago
};

// A change of the endpoint list.
struct EndpointUpdate {
    enum class Kind {
        incremental,
        full,
        cached,
        failed
    } kind = Kind::full;  // cached: as last stored, possibly stale
    std::vector<Endpoint> endpoints;
};

// The result of a HealthCheck.
struct HealthCheckResult {
    EndpointId endpoint = 0;
    bool healthy = false;
    Millis took = 0;
    LoadReport report;
};

// A timer of SetTimer has expired.
struct TimerFired {
    std::uint64_t timer = 0;
};

// The host has released the KV-cache lease of the request, as it would have expired before an attempt is
// known to have reached its endpoint. An attempt in flight may continue.
struct LeaseReleased {
    RequestId request;
};

// The host is about to exit: each request without an answer gets its final one at once.
struct Shutdown {};

// All that a Router is told.
using Event = std::variant<Arrival, AttemptEnded, FirstToken, ReservationReply, ClientDisconnected,
                           EndpointUpdate, HealthCheckResult, TimerFired, LeaseReleased, Shutdown>;

}  // namespace gorsenotch
