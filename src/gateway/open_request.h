// The state of one request from its arrival until its last attempt has ended.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/chat.h"
#include "control/attempt_clock.h"
#include "control/kv_lease.h"
#include "gateway/environment.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "proxy/router_driver.h"

namespace gorsenotch::gateway {

// A request as it comes from a client.
struct NewRequest {
    std::string id;
    api::ChatRequest chat;
    int cls = 0;
    int tenant = 0;
    Millis patience = 0;  // how long the client waits, in ms from when it asked; 0: unknown
    Millis age = 0;       // ms since its last byte came to this host
    std::string key;      // idempotency key, within the tenant's namespace; empty: none
    bool client_retry = false;
    Client* client = nullptr;  // not owned
    std::unique_ptr<api::ResponseWriter> answer;
};

// One attempt of a request at an engine.
struct AttemptState {
    enum class Phase { not_written, written, streaming, ended };

    std::shared_ptr<UpstreamExchange> exchange;  // null if nothing was sent
    EndpointId endpoint = 0;
    std::string id;
    std::string address;
    bool is_prefill = false;
    Phase phase = Phase::not_written;
    Millis sent = 0;
    Millis last_heard = 0;
    control::AttemptClock clock;

    bool in_flight() const { return phase != Phase::ended; }
    bool streaming() const { return phase == Phase::streaming; }
};

// The KV-cache state that a prefill attempt left for the decode request.
struct KvState {
    int attempt = 0;         // that left it
    std::string parameters;  // as the prefill engine gave them
};

// Why nothing more is owed to a client.
enum class EndReason { none, served, broken, too_long, refused, failed, client_gone };

// For the log.
const char* name(EndReason reason);
const char* name(AttemptResult result);

// What a timer of a request is for. `router` is RouterDriver's own.
enum class TimerKind { router, attempt_timeout, stream_idle, complete_answer, keepalive, lease };

struct OpenRequest;
using Driver = proxy::RouterDriver<OpenRequest, TimerKind>;

// Owned and changed by RequestLifecycle alone. Times are ms on Environment::now()'s clock.
struct OpenRequest {
    explicit OpenRequest(Millis release_within) : lease(release_within) {}

    NewRequest request;
    Millis arrived = 0;
    Millis deadline = 0;
    Millis last_sent_at = 0;  // to the client
    Millis closed_at = 0;
    bool closed = false;  // its client has its final answer, or is gone
    bool congested = false;
    std::deque<AttemptState> attempts;
    std::vector<int> prefill_attempts;  // those that may have left a state at their engine
    std::optional<KvState> kv_state;    // for the next decode attempt
    control::KvLease lease;             // on the states of all prefill attempts
    int status = 0;                     // of the answer
    api::Usage usage;
    EndReason end_reason = EndReason::none;
    Driver::OwnedTimers timers;
    Driver::OwnedTimers timeouts;

    bool has_attempt_in_flight() const;
    // A decode attempt that has yet to fetch the state.
    bool has_decode_pending() const;
    // The state is gone, or its decode engine has it: there is nothing to release.
    void forget_kv_state();
};

// Null if there is no such request or attempt.
AttemptState* find_attempt(OpenRequest* request, int attempt);

}  // namespace gorsenotch::gateway
