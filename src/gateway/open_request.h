// The state of one request, kept from its arrival until its last attempt has ended.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/chat.h"
#include "control/attempt_clock.h"
#include "control/lease_ledger.h"
#include "control/memory_budget.h"
#include "gateway/environment.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "proxy/router_driver.h"

namespace gorsenotch::gateway {

// A request that a client has sent and the intake has accepted.
struct NewRequest {
    // The memory of a request besides its texts: its record, those of the Router, a response of usual length,
    // and what its answer may take while its client lags behind, whatever the memory that is left.
    static constexpr std::size_t kOverheadBytes = std::size_t{32} * 1024;

    std::string id;
    api::ChatRequest chat;
    int cls = 0;
    int tenant = 0;
    Millis patience = 0;        // the client's own timeout, in ms from when it sent the request; 0: unknown
    Millis age = 0;             // ms since this host received the request's last byte
    std::string key;            // idempotency key, prefixed with the tenant's name; empty: none
    bool client_retry = false;  // the client says that it has sent this request before
    Client* client = nullptr;   // not owned
    std::unique_ptr<api::ResponseWriter> answer;
    control::MemoryCharge memory;         // for the record, and for what attempts render from it
    control::MemoryCharge answer_memory;  // for an answer that is collected

    std::size_t memory_of_record() const { return kOverheadBytes + chat.memory(); }
};

// One attempt to run a request on an engine.
struct AttemptState {
    enum class Phase { not_written, written, streaming, ended };

    std::shared_ptr<UpstreamExchange> exchange;  // null if the attempt was not sent
    EndpointId endpoint = 0;
    std::string id;
    std::string address;
    bool is_prefill = false;
    Phase phase = Phase::not_written;
    Millis started_at = 0;
    Millis last_data_at = 0;  // start of the attempt, or when its stream last made progress
    control::AttemptClock clock;

    bool in_flight() const { return phase != Phase::ended; }
    bool streaming() const { return phase == Phase::streaming; }
};

// The KV cache that a prefill attempt has left at its engine for the decode request.
struct KvState {
    int attempt = 0;         // number of the prefill attempt
    std::string parameters;  // transfer parameters, as the prefill engine returned them
};

// Why the response to a client has ended.
enum class EndReason { none, served, broken, too_long, refused, failed, client_gone };

// Names for the log; they are part of the log's format.
const char* name(EndReason reason);
const char* name(AttemptResult result);

// The purpose of a request's timer. `router` is reserved for RouterDriver.
enum class TimerKind { router, attempt_timeout, stream_idle, complete_answer, keepalive, lease };

struct OpenRequest;
using Driver = proxy::RouterDriver<OpenRequest, TimerKind>;

// One request and its attempts; owned and changed only by RequestLifecycle. Times are ms on the clock of
// Environment::now().
struct OpenRequest {
    explicit OpenRequest(Millis lease_release_timeout) : leases(lease_release_timeout) {}

    NewRequest request;
    Millis arrived_at = 0;
    Millis deadline = 0;
    Millis last_sent_at = 0;  // when data was last sent to the client
    Millis closed_at = 0;
    bool closed = false;     // the client has its final answer, or has disconnected
    bool congested = false;  // the client reads more slowly than the engine writes
    std::deque<AttemptState> attempts;
    std::vector<int> prefill_attempts;  // those that may have left a KV cache at their engine
    std::optional<KvState> kv_state;    // what the next decode attempt fetches
    control::LeaseLedger leases;        // on the KV caches of all prefill attempts
    int status = 0;                     // HTTP status of the final answer
    api::Usage usage;
    EndReason end_reason = EndReason::none;
    Driver::OwnedTimers timers;
    Driver::OwnedTimers timeouts;

    bool has_attempt_in_flight() const;
    // Whether a decode attempt is in flight whose engine may not have fetched the KV cache yet.
    bool has_decode_pending() const;
    // Called when the KV cache is lost or the decode engine has fetched it: there is nothing to release.
    void clear_kv_state();
};

// The request's attempt of that number; null if the request is null or has no such attempt.
AttemptState* find_attempt(OpenRequest* request, int attempt);

}  // namespace gorsenotch::gateway
