// The record of each open request and of its attempts, shared by the parts of RequestLifecycle.
//
// Ownership: RequestTable owns the records. RequestLifecycle adds one when a request arrives;
// RequestCompletion closes and removes it. `attempts` is changed by AttemptRunner and, for a begun stream, by
// StreamForwarder; `lease`, `reservation`, `release` and `lease_check_at` by LeaseKeeper alone. Pointers to a
// record stay valid until it is removed, which happens only while the Router is idle: after any call that may
// feed an event to the Router the record has to be looked up again. Times are ms on the clock of
// Environment::now().
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "control/attempt_clock.h"
#include "control/kv_lease.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/client.h"
#include "platform/environment.h"
#include "platform/request.h"
#include "platform/upstream_exchange.h"
#include "proxy/router_driver.h"

namespace gorsenotch::platform {

// What a timer of the driver is for; `router` marks the Router's own timers.
enum class TimerKind { router, attempt_timeout, stream_idle, reservation, release, lease, health_check };

struct RequestState;
using Driver = proxy::RouterDriver<RequestState, TimerKind>;

// How far an attempt has come.
enum class AttemptPhase {
    awaiting_response,   // its connection is awaited, or its request was sent; no event has come
    streaming,           // its response is forwarded to the client
    ended,               // over before a stream began, or never started
    ended_after_stream,  // over once its stream had begun
};

// One attempt of a request at one endpoint.
struct AttemptState {
    // Shared with Environment until it is over; null for an attempt that was never started.
    std::shared_ptr<UpstreamExchange> exchange;
    EndpointId endpoint = 0;
    bool is_prefill = false;
    AttemptPhase phase = AttemptPhase::awaiting_response;
    Millis sent = 0;        // when the attempt was started
    Millis last_heard = 0;  // when its stream last brought an event, or was resumed
    Millis ended = 0;
    AttemptResult result = AttemptResult::served;  // once it has ended
    control::AttemptClock clock;

    bool in_flight() const {
        return phase == AttemptPhase::awaiting_response || phase == AttemptPhase::streaming;
    }
    bool stream_begun() const {
        return phase == AttemptPhase::streaming || phase == AttemptPhase::ended_after_stream;
    }
    void mark_ended();
};

// One client's request from its arrival until nothing of it is left. Owned by RequestTable; changed by the
// parts of the request's lifecycle alone.
struct RequestState {
    explicit RequestState(Millis lease_release_timeout) : lease(lease_release_timeout) {}

    Inbound inbound;           // its body is dropped once no attempt can need it
    std::uint64_t handle = 0;  // also its id towards the Router, in decimal
    Client* client = nullptr;  // not owned; null once it is owed nothing more
    Millis arrived = 0;        // when the request's first byte came
    Millis deadline = 0;
    std::optional<Millis> stream_begun_at;
    double completion_tokens = 0;          // of the answer, 0 where it did not say
    bool closed = false;                   // the client has its final answer, or has disconnected
    bool congested = false;                // the client reads more slowly than its stream comes
    control::KvLease lease;                // what endpoints may keep for it
    std::optional<Millis> lease_check_at;  // when the earliest lease timer fires
    std::deque<AttemptState> attempts;
    std::shared_ptr<UpstreamExchange> reservation;  // the latest call that reserved a slot
    std::uint64_t release = 0;                      // id of the latest release at LeaseReleaser, 0: none
    Driver::OwnedTimers timers, timeouts;

    AttemptState* find_attempt(int index);
    bool attempt_in_flight() const;
    // No further attempt follows one whose stream has begun, so the latest decides.
    bool stream_begun() const { return !attempts.empty() && attempts.back().stream_begun(); }
    bool stream_in_flight() const { return stream_begun() && attempts.back().in_flight(); }
    std::string router_id() const { return std::to_string(handle); }
};

// All open requests by handle, and the ids that their clients gave them.
class RequestTable {
public:
    explicit RequestTable(Millis lease_release_timeout) : lease_release_timeout_(lease_release_timeout) {}

    // Adds a record under a new handle; handles start at 1 and never repeat.
    RequestState& add(Inbound inbound);
    void remove(std::uint64_t handle);

    // Null where there is no such request or attempt.
    RequestState* find(std::uint64_t handle);
    RequestState* find(const RequestId& id);
    AttemptState* find_attempt(std::uint64_t handle, int index);

    bool contains_transaction(const std::string& txn) const { return open_transactions_.count(txn) > 0; }
    std::size_t size() const { return requests_.size(); }
    const std::unordered_map<std::uint64_t, RequestState>& all() const { return requests_; }

private:
    const Millis lease_release_timeout_;
    std::unordered_map<std::uint64_t, RequestState> requests_;
    std::unordered_set<std::string> open_transactions_;
    std::uint64_t last_handle_ = 0;
};

// Ends an attempt from this side. Its connection is closed first, so that nothing more comes on it; the
// exchange reports its end from within this call.
void abort_attempt(Environment& environment, const AttemptState& attempt, AttemptResult result);

}  // namespace gorsenotch::platform
