// Settings of a Router. Times are milliseconds, lengths are tokens. Classes, tenants, zones and kinds are
// referred to by their index.
#pragma once

#include <vector>

namespace gorsenotch {

// A time or a duration in milliseconds, with fractions: a bare number, as the events of the simulator and the
// records carry it and the estimators calculate with it.
using Millis = double;

enum class Idempotency { idempotent, with_key, unsafe };  // whether a request may be sent again
enum class DedupScope { all, zone, cell };   // endpoints that drop a duplicate of a with_key request
enum class Role { prefill, decode, mixed };  // prefills prompts, decodes answers, or does both
enum class EndpointStatus { healthy, draining, removed };  // as service discovery lists an endpoint
enum class Discovery { watch, poll };                      // list changes are pushed, or must be polled

// A class of requests with common service objectives.
struct ClassSettings {
    Millis latency_objective = 0;                  // time to first token: this ...
    Millis latency_objective_per_1000_tokens = 0;  // ... plus this for each 1,000 prompt tokens
    Millis deadline = 0;                           // how long a client waits, over all attempts
    double priority_weight = 1;                    // value of a request (or of a unit of its work)
    double late_value_fraction = 0;                // share of that value left after the objective
    Millis inter_token_objective = 0;              // time between tokens of a stream
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;  // with_key only
    Millis dedup_window = 0;                   // with_key only: how long duplicates are dropped
};

// A tenant, which shares the endpoints with others.
struct TenantSettings {
    double quota_per_s = 0;  // requests a second, over all gateways, at full value; 0: unlimited
};

// A kind of endpoint (hardware and role).
struct KindSettings {
    Role role = Role::mixed;
    double memory_tokens = 0;  // tokens of KV cache in one endpoint of this kind
};

// Configuration of a Router. Fixed for its lifetime.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    int zones = 1;
    int own_zone = 0;
    int gateways = 1;
    Discovery discovery = Discovery::watch;
    Millis poll_interval = 0;  // poll only: the longest time between polls
    // What the deployment permits.
    int max_attempts = 1;
    bool cancellation = false;
    bool hedging = false;
    bool health_checks = false;
    bool slot_reservation = false;
    bool retry_after = false;
    bool local_prefill = false;     // a decode endpoint prefills by itself if it has no KV cache to fetch
    bool stream_migration = false;  // a broken stream can continue on another endpoint
    Millis max_retry_after = 0;
    Millis connect_timeout = 0;    // the host abandons a connection not established by then
    double over_quota_weight = 1;  // share of its value that a request beyond its tenant's quota has
    // Service guarantees.
    Millis answer_slack = 0;
    Millis drain_grace = 0;
    Millis lease_release_timeout = 0;
    double overload_factor = 1;
    Millis overload_window = 0;
    double initial_capacity = 1;
    Millis slow_start_duration = 0;
    Millis event_interval = 1;  // resolution of the host's timers
};

}  // namespace gorsenotch
