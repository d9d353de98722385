// Settings of a Router. Times are in milliseconds, lengths in tokens. Classes, tenants, zones and kinds are
// identified by their index.
#pragma once

#include <vector>

namespace gorsenotch {

// A time or duration in milliseconds, with fractions. A plain number rather than std::chrono, as simulator
// events and records carry it in this form and the estimators calculate with it.
using Millis = double;

enum class Idempotency { idempotent, with_key, unsafe };  // whether a request may be sent more than once
enum class DedupScope { all, zone, cell };   // endpoints that recognize a duplicate of a with_key request
enum class Role { prefill, decode, mixed };  // prefills prompts, decodes answers, or both
enum class EndpointStatus { healthy, draining, removed };  // status in service discovery
enum class Discovery { watch, poll };  // whether list changes are pushed or must be polled

// A class of requests with common service objectives.
struct ClassSettings {
    Millis latency_objective = 0;                  // time to first token for an empty prompt
    Millis latency_objective_per_1000_tokens = 0;  // added to it for each 1,000 prompt tokens
    Millis deadline = 0;                           // time that a client waits, over all attempts
    double priority_weight = 1;                    // value of a request, or of one unit of its work
    double late_value_fraction = 0;                // fraction of that value left after the latency objective
    Millis inter_token_objective = 0;              // time between two tokens of a stream
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;  // with_key only
    Millis dedup_window = 0;                   // with_key only: how long duplicates are recognized
};

// A tenant. Tenants share the endpoints.
struct TenantSettings {
    double quota_per_s = 0;  // requests per second at full value, over all gateways; 0: unlimited
};

// A kind of endpoint (hardware and role).
struct KindSettings {
    Role role = Role::mixed;
    double memory_tokens = 0;  // KV cache size of one endpoint of this kind, in tokens
};

// Configuration of a Router. Constant during its lifetime.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    int zones = 1;
    int own_zone = 0;
    int gateways = 1;
    Discovery discovery = Discovery::watch;
    Millis poll_interval = 0;  // poll only: the maximum time between polls
    // Features and limits of the deployment.
    int max_attempts = 1;           // attempts of one request, prefills included
    bool cancellation = false;      // attempts in flight can be cancelled
    bool hedging = false;           // a request may have two attempts in flight
    bool health_checks = false;     // endpoints answer health checks
    bool slot_reservation = false;  // slots can be reserved at endpoints
    bool retry_after = false;       // rejections may carry a Retry-After value
    bool local_prefill = false;     // a decode endpoint prefills locally if it has no KV cache to fetch
    bool stream_migration = false;  // an interrupted stream can be continued on another endpoint
    Millis max_retry_after = 0;     // upper bound of Retry-After
    Millis connect_timeout = 0;     // after this time the host abandons a connection attempt
    double over_quota_weight = 1;   // factor for the value of a request beyond its tenant's quota
    // Service guarantees.
    Millis answer_slack = 0;           // how long after the deadline a final answer is still in time
    Millis drain_grace = 0;            // how long a draining or removed endpoint may still get attempts
    Millis lease_release_timeout = 0;  // maximum time that an unused KV lease or slot is kept
    double overload_factor = 1;        // multiple of its capacity that an endpoint in slow start may get ...
    Millis overload_window = 0;        // ... within this time
    double initial_capacity = 1;     // capacity at the start of the slow start, as a fraction of the full one
    Millis slow_start_duration = 0;  // time until a started endpoint has its full capacity
    Millis event_interval = 1;       // resolution of the host's timers
};

}  // namespace gorsenotch
