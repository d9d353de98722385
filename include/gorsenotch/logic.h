// gorsenotch: the interface of the decision module.
//
// A host (a gateway, or the drill adapter) makes one Router for each gateway process, feeds it every event in
// the order in which it happened and carries out the returned actions in the order given.
//
// Units: times are milliseconds on one monotonic clock of the host's choosing; lengths are tokens.
// Names (class, tenant, zone, kind) are indices into the settings, so the module cannot see them.
// Ownership: the Router copies what it needs; ids handed in come back unchanged.
// Threading: a Router has no locks and no global state; calls to one Router must not overlap.
// Errors: the constructor throws std::invalid_argument naming the setting that cannot be met. An event about
// a request, attempt, timer or server that is no longer known changes nothing. The caller guarantees: time
// never goes backwards, request ids never repeat within a Router's life, each Attempt gets exactly one
// Outcome, and each SetTimer gets one Due.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gorsenotch {

using Millis = double;
using RequestId = std::string;
using EndpointId = std::uint32_t;

enum class Idempotency { idempotent, with_key, unsafe };  // what a repeat of the request may do
enum class DedupScope { all, zone, cell };                // which servers drop a repeat of a with_key request
enum class Role { prefill, decode, mixed };               // reads prompts, writes answers, or does either
enum class EndpointStatus { healthy, draining, removed };  // as discovery lists a server
enum class Discovery { watch, poll };  // list changes come by themselves, or must be asked for

struct ClassSettings {
    Millis latency_objective = 0;                  // first token wanted within this ...
    Millis latency_objective_per_1000_tokens = 0;  // ... plus this for each 1,000 prompt tokens
    Millis deadline = 0;                           // how long a client waits over all its tries
    double priority_weight = 1;                    // of a request (or of a unit of its work)
    double late_value_fraction = 0;                // share of the worth for an answer after the aim
    Millis inter_token_objective = 0;              // wanted time between tokens of a stream
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;  // with_key only
    Millis dedup_window = 0;                   // with_key only: for how long repeats are dropped
};

struct TenantSettings {
    double quota_per_s = 0;  // requests a second over all gateways that earn full worth; 0: unlimited
};

struct KindSettings {
    Role role = Role::mixed;
    double memory_tokens = 0;  // what one server of this kind holds
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    int zones = 1;
    int own_zone = 0;
    int gateways = 1;
    Discovery discovery = Discovery::watch;
    Millis poll_interval = 0;  // `ask`: how old the last call may be
    // what the deployment permits
    int max_attempts = 1;
    bool cancellation = false;
    bool hedging = false;
    bool health_checks = false;
    bool slot_reservation = false;
    bool retry_after = false;
    bool local_prefill = false;     // a writer reads a prompt itself when there is no state to fetch
    bool stream_migration = false;  // a broken stream can go on elsewhere
    Millis max_retry_after = 0;
    Millis connect_timeout = 0;    // the host gives up a connection that has not come up by then
    double over_quota_weight = 1;  // worth of a request beyond its tenant's quota, as a share
    // guarantees
    Millis answer_slack = 0;
    Millis drain_grace = 0;
    Millis lease_release_timeout = 0;
    double overload_factor = 1;
    Millis overload_window = 0;
    double initial_capacity = 1;
    Millis slow_start_duration = 0;
    Millis event_interval = 1;  // events come at most this often
};

// ---- events ---------------------------------------------------------------------------------------------

// What a server says of its load. A value below 0 is absent.
struct LoadReport {
    double memory_utilization = -1;  // share of its memory held, 0 to 1
    double queued_kilotokens = -1;   // thousands of prompt tokens waiting to be read or fetched
    Millis latency = -1;             // recent time to the end of a read or to the first token
};

struct Arrival {  // a client's request; it gets exactly one final answer
    RequestId request;
    int cls = 0;
    int tenant = 0;
    std::uint64_t session = 0;
    std::uint64_t shared_prefix = 0;  // shared beginning of the prompt, 0 for none
    Millis deadline = 0;              // clock time at which the client leaves
    Millis length_hint = -1;          // guessed answer length as time at the class's token aim; below 0: none
    double prompt_tokens = 0;
    double shared_prefix_tokens = 0;
    double max_tokens = 0;
    bool client_retry = false;  // a client's repeat, where clients mark it
    bool resumed = false;       // came again after its stream broke
};

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

// It proves that the attempt never ran: it was turned away, or not one whole request reached the server.
constexpr bool never_ran(AttemptResult result) {
    return result == AttemptResult::rejected || result == AttemptResult::unreachable ||
           result == AttemptResult::not_sent;
}

struct AttemptEnded {  // how an attempt ended; exactly one for each attempt
    RequestId request;
    int attempt = 0;
    EndpointId endpoint = 0;
    AttemptResult result = AttemptResult::served;
    Millis took = 0;
    bool request_closed = false;  // nothing more is owed for the request
    double detail = 0;  // prefill_done: prompt tokens found kept; full: 1 if there was no state to fetch
    LoadReport report;
};

struct FirstToken {  // the stream has begun; the client's deadline stops running
    RequestId request;
    int attempt = 0;
    EndpointId endpoint = 0;
    Millis took = 0;
};

struct ReservationReply {  // answer to ReserveSlot
    RequestId request;
    EndpointId endpoint = 0;
    bool reserved = false;
};

struct ClientDisconnected {
    RequestId request;
};

struct Endpoint {
    EndpointId id = 0;
    int zone = 0;
    int kind = 0;
    std::uint64_t cell = 0;
    EndpointStatus status = EndpointStatus::healthy;
    double weight = 1;
    Millis started_at = 0;  // 0: long ago
};

struct EndpointUpdate {
    enum class Kind {
        incremental,
        full,
        cached,
        failed
    } kind = Kind::full;  // saved: as last held, maybe stale
    std::vector<Endpoint> endpoints;
};

struct HealthCheckResult {
    EndpointId endpoint = 0;
    bool healthy = false;
    Millis took = 0;
    LoadReport report;
};

struct TimerFired {
    std::uint64_t timer = 0;
};

// The host has let go of what is held for the request: the time in which it must be taken would have been
// over before an attempt is proved to have reached its server. One that is out may go on.
struct LeaseReleased {
    RequestId request;
};

struct Shutdown {};  // the host is about to end: every request without an answer gets its final one at once

using Event = std::variant<Arrival, AttemptEnded, FirstToken, ReservationReply, ClientDisconnected,
                           EndpointUpdate, HealthCheckResult, TimerFired, LeaseReleased, Shutdown>;

// ---- actions --------------------------------------------------------------------------------------------

struct StartAttempt {  // send the request; attempts of a request count from 0
    RequestId request;
    EndpointId endpoint = 0;
    Millis timeout = 0;  // time-out of this attempt; 0: until the client leaves
    Millis send_by =
        0;  // clock time after which no byte of it may go out (its Outcome: on_not_sent); 0: none
};
struct StopAttempt {
    RequestId request;
    int attempt = 0;
};
struct ReserveSlot {
    RequestId request;
    EndpointId endpoint = 0;
};
struct ReleaseLease {  // let go of every state and place held that no attempt waits for
    RequestId request;
};
// Why a request got its final answer unserved. Told for logs alone; it changes nothing that is done.
enum class EndCause {
    deadline,            // its time is over
    shed_load,           // shed, as the wait foreseen is too long for its worth
    no_decode_endpoint,  // on arrival: every writer is down
    attempts_exhausted,  // as many as the settings allow
    may_have_run,        // and its class may not be repeated
    retry_budget,        // this gateway's retries are used up
    no_endpoint,      // none may get it now: down, full, cold, or outside the group or window of its repeats
    decode_too_late,  // read, but the aim is out of reach and others wait for the writer
    shutdown,
};
constexpr std::size_t kEndCauses = 9;

struct Reject {  // final: did not run, may come again
    RequestId request;
    Millis retry_after = 0;  // advice when to come again; 0: none
    EndCause cause = EndCause::deadline;
};
struct Fail {  // final: may have run
    RequestId request;
    EndCause cause = EndCause::deadline;
};
struct MigrateStream {  // hand a begun stream back to its client, which comes again
    RequestId request;
};
struct HealthCheck {
    EndpointId endpoint = 0;
};
struct SetTimer {
    std::uint64_t timer = 0;
    Millis at = 0;
};
struct WatchEndpoints {};  // ask for a standing list subscription
struct PollEndpoints {};   // ask once for the whole list
struct Log {
    std::string text;
};

using Action = std::variant<StartAttempt, StopAttempt, ReserveSlot, ReleaseLease, Reject, Fail, MigrateStream,
                            HealthCheck, SetTimer, WatchEndpoints, PollEndpoints, Log>;

class Router {
public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Takes one event that happened at `now`; appends the actions to carry out at once to `actions`.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gorsenotch
