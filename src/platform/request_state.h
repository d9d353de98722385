// The state of each open request and of its attempts, shared by the parts of RequestLifecycle.
//
// Ownership: RequestTable owns the records. RequestLifecycle adds a record when a request arrives;
// RequestCompletion closes and removes it. `attempts` is changed by AttemptRunner and, for a begun stream, by
// StreamForwarder; `leases`, `reservation`, `release_id`, `lease_check_at` and `deferred_prefill` by
// LeaseManager alone. Pointers to a record stay valid until it is removed, which happens only while the
// Router is idle: after any call that may feed an event to the Router the record has to be looked up again.
// Times are ms on the clock of Environment::now(). Threading: one thread.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "control/attempt_clock.h"
#include "control/client_progress.h"
#include "control/lease_ledger.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/client.h"
#include "platform/environment.h"
#include "platform/request.h"
#include "platform/upstream_exchange.h"
#include "proxy/router_driver.h"

namespace gorsenotch::platform {

// The purpose of a timer of the driver; `router` marks the Router's own timers.
enum class TimerKind {
    router,
    attempt_timeout,
    stream_idle,
    reservation,
    release,
    lease,
    health_check,
    deferred_prefill
};

struct RequestState;
using Driver = proxy::RouterDriver<RequestState, TimerKind>;

// The phase of an attempt.
enum class AttemptPhase {
    awaiting_response,   // connecting, or request sent; no event received yet
    streaming,           // its response is being forwarded to the client
    ended,               // ended before its stream began, or never started
    ended_after_stream,  // ended after its stream had begun
};

// One attempt of a request at one endpoint.
struct AttemptState {
    // Shared with Environment until it has ended; null for an attempt that was never started.
    std::shared_ptr<UpstreamExchange> exchange;
    EndpointId endpoint = 0;
    bool is_prefill = false;
    AttemptPhase phase = AttemptPhase::awaiting_response;
    Millis send_by = 0;        // as StartAttempt::send_by
    Millis started_at = 0;     // when the attempt was started
    Millis last_event_at = 0;  // when its stream last delivered an event, or was resumed
    Millis ended_at = 0;
    AttemptResult result = AttemptResult::served;  // valid once it has ended
    control::AttemptClock clock;

    bool in_flight() const {
        return phase == AttemptPhase::awaiting_response || phase == AttemptPhase::streaming;
    }
    bool stream_begun() const {
        return phase == AttemptPhase::streaming || phase == AttemptPhase::ended_after_stream;
    }
    // Moves to the ended phase that corresponds to the current one.
    void mark_ended();
};

// A prefill attempt that waits until the resources of earlier attempts are released.
struct DeferredPrefill {
    int attempt = 0;
    bool release_begun = false;  // before: waits for proof that the last attempt's end was seen
    Millis due = 0;              // when the wait ends without an answer
};

// A client's request, from its arrival until it is closed and has no attempt in flight. Owned by
// RequestTable; changed only by the parts of RequestLifecycle.
struct RequestState {
    explicit RequestState(Millis lease_release_timeout) : leases(lease_release_timeout) {}

    Inbound inbound;                          // without its body
    std::shared_ptr<const RequestBody> body;  // null once no attempt can need it
    std::uint64_t handle = 0;                 // in decimal also the Router's id of the request
    Client* client = nullptr;                 // not owned; null once the request is closed
    Millis arrived = 0;                       // when the request's first byte was received
    Millis deadline = 0;
    std::optional<Millis> stream_begun_at;
    double completion_tokens = 0;             // of the answer; 0: not given
    bool closed = false;                      // the client has its final answer, or has disconnected
    bool paused = false;                      // its endpoint is not read, as the client lags behind
    control::ClientProgress client_progress;  // while paused
    control::LeaseLedger leases;              // on what endpoints may hold for it
    std::optional<Millis> lease_check_at;     // when the earliest lease timer fires
    std::optional<DeferredPrefill> deferred_prefill;
    std::deque<AttemptState> attempts;
    std::shared_ptr<UpstreamExchange> reservation;  // the latest call to reserve a slot
    std::uint64_t release_id = 0;                   // id of the latest release at LeaseReleaser; 0: none
    Driver::OwnedTimers timers, timeouts;

    // Null if there is no attempt with this index.
    AttemptState* find_attempt(int index);
    bool attempt_in_flight() const;
    // No attempt is started after one whose stream has begun, so only the latest needs checking.
    bool stream_begun() const { return !attempts.empty() && attempts.back().stream_begun(); }
    bool stream_in_flight() const { return stream_begun() && attempts.back().in_flight(); }
    std::string router_id() const { return std::to_string(handle); }
};

// All open requests by handle, and the transaction ids chosen by their clients.
class RequestTable {
public:
    explicit RequestTable(Millis lease_release_timeout) : lease_release_timeout_(lease_release_timeout) {}

    // Adds a record under a new handle; handles start at 1 and never repeat.
    RequestState& add(Inbound inbound);
    // Removes the record; an unknown handle has no effect.
    void remove(std::uint64_t handle);

    // Null if there is no such request or attempt.
    RequestState* find(std::uint64_t handle);
    RequestState* find(const RequestId& id);
    AttemptState* find_attempt(std::uint64_t handle, int index);

    // A request with this transaction id is open.
    bool contains_transaction(const std::string& txn) const { return open_transactions_.count(txn) > 0; }
    std::size_t size() const { return requests_.size(); }
    const std::unordered_map<std::uint64_t, RequestState>& all() const { return requests_; }

private:
    const Millis lease_release_timeout_;
    std::unordered_map<std::uint64_t, RequestState> requests_;
    std::unordered_set<std::string> open_transactions_;
    std::uint64_t last_handle_ = 0;
};

// Aborts an attempt. Its connection is closed first, so that no more data arrives on it; the exchange reports
// its end from within this call.
void abort_attempt(Environment& environment, const AttemptState& attempt, AttemptResult result);

}  // namespace gorsenotch::platform
