// The events that a host reports to a Router. Times are in milliseconds on the host's monotonic clock,
// lengths in tokens except Arrival::length_hint, which is a time; classes, tenants, zones and kinds are
// indices into Settings.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch {

// Id of a request, assigned by the host; unique within the lifetime of a Router.
using RequestId = std::string;
// Id of an endpoint; the same at every gateway.
using EndpointId = std::uint32_t;

// Load reported by an endpoint. A negative value means not reported.
struct LoadReport {
    double memory_utilization = -1;  // fraction of the KV cache in use, 0 to 1
    double queued_kilotokens = -1;   // thousands of prompt tokens waiting for prefill or transfer
    Millis latency = -1;             // recent time to the end of a prefill, or to the first token
};

// A client's request has arrived. It gets exactly one final answer.
struct Arrival {
    RequestId request;
    int cls = 0;
    int tenant = 0;
    std::uint64_t session = 0;
    std::uint64_t shared_prefix = 0;  // id of the prefix shared with other prompts; 0: none
    Millis deadline = 0;              // clock time at which the client stops waiting
    Millis length_hint =
        -1;  // predicted duration of the answer at the class's inter-token objective; below 0: none
    double prompt_tokens = 0;
    double shared_prefix_tokens = 0;
    double max_tokens = 0;
    bool client_retry = false;  // marked as a retry by the client
    bool resumed = false;       // continues an interrupted stream
};

// How an attempt ended. A successful prefill ends as prefill_done, a successful decode as served.
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

// Whether the result proves that the attempt did not run: the endpoint rejected it, or received no complete
// request.
constexpr bool never_ran(AttemptResult result) {
    return result == AttemptResult::rejected || result == AttemptResult::unreachable ||
           result == AttemptResult::not_sent;
}

// An attempt has ended. Reported exactly once for each StartAttempt.
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

// An attempt has produced its first token. The client's deadline no longer applies.
struct FirstToken {
    RequestId request;
    int attempt = 0;
    EndpointId endpoint = 0;
    Millis took = 0;
};

// The result of a ReserveSlot action.
struct ReservationReply {
    RequestId request;
    EndpointId endpoint = 0;
    bool reserved = false;
};

// The client closed its connection before the final answer.
struct ClientDisconnected {
    RequestId request;
};

// An endpoint as listed by service discovery.
struct Endpoint {
    EndpointId id = 0;
    int zone = 0;
    int kind = 0;
    std::uint64_t cell = 0;
    EndpointStatus status = EndpointStatus::healthy;
    double weight = 1;
    Millis started_at = 0;  // 0: long ago, no slow start
};

// A change of the endpoint list.
struct EndpointUpdate {
    enum class Kind {
        incremental,
        full,
        cached,
        failed
    } kind = Kind::full;  // cached: the host's stored copy of the list, which may be stale
    std::vector<Endpoint> endpoints;
};

// The result of a HealthCheck action.
struct HealthCheckResult {
    EndpointId endpoint = 0;
    bool healthy = false;
    Millis took = 0;
    LoadReport report;
};

// A timer set by SetTimer has expired.
struct TimerFired {
    std::uint64_t timer = 0;
};

// The host has released the KV lease of the request, because the lease would have expired before the host
// knew that an attempt had reached its endpoint. An attempt in flight may continue.
struct LeaseReleased {
    RequestId request;
};

// The host is about to exit. Every request without a final answer gets one immediately.
struct Shutdown {};

// Any event that a Router handles.
using Event = std::variant<Arrival, AttemptEnded, FirstToken, ReservationReply, ClientDisconnected,
                           EndpointUpdate, HealthCheckResult, TimerFired, LeaseReleased, Shutdown>;

}  // namespace gorsenotch
