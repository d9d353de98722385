// Completes requests: gives the client one final answer or ends its stream, writes the access log line, and
// removes the record once nothing refers to it any more.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/access_log.h"
#include "platform/lease_keeper.h"
#include "platform/lifecycle_context.h"
#include "platform/upstream_exchange.h"

namespace gorsenotch::platform {

// Ownership: the access log and the list of requests that may be removed. It alone sets RequestState::closed
// and RequestState::client (after arrival), and removes records. Every function may call into the client,
// which may call back into RequestLifecycle: a record has to be looked up again afterwards. Threading: one
// thread.
class RequestCompletion {
public:
    // An answer without a stream.
    struct FinalAnswer {
        int status = 0;
        Millis retry_after = 0;  // ms; 0: the answer has no retry-after header
        std::string_view text;
        EndCause cause;
    };

    // Both references have to outlive this object.
    RequestCompletion(LifecycleContext& context, LeaseManager& lease_keeper);

    // Closes the request with this answer, or aborts its stream if one has begun. Does nothing if the request
    // is closed already.
    void send_final(RequestState& request, const FinalAnswer& answer);
    // Closes the request after the attempt whose stream had begun ended with this outcome: completes the
    // client's stream if it was served, and aborts it otherwise.
    void finish_stream(RequestState& request, const AttemptOutcome& ended);
    // Closes the request by aborting its stream; the client repeats it at another gateway.
    void abort_migrated_stream(RequestState& request);
    // Closes the request because its client has disconnected.
    void record_client_disconnect(RequestState& request);

    // Marks the request to be processed by remove_ended() once the Router is idle.
    void revisit_when_idle(std::uint64_t handle) { to_revisit_.push_back(handle); }
    // To be called while the Router is idle: for each marked request without an attempt in flight, releases
    // what may be held for it, and removes the request if it is closed.
    void remove_ended();

    const AccessLog& access_log() const { return access_log_; }

private:
    Client* close(RequestState& request);
    // `outcome`: nothing for a complete answer, whose outcome depends on its times.
    void log_request(const RequestState& request, std::optional<RequestOutcome> outcome,
                     std::optional<EndCause> cause = std::nullopt,
                     std::optional<StreamRecord> stream = std::nullopt);
    void record_execution(const RequestState& request);
    void remove(RequestState& request);

    LifecycleContext& context_;
    LeaseManager& lease_keeper_;
    AccessLog access_log_;
    std::vector<std::uint64_t> to_revisit_;  // handles
};

}  // namespace gorsenotch::platform
