// The end of a request towards its client: one final answer or one end of its stream, its line in the access
// log, and the removal of its record once nothing refers to it any more.
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

namespace gorsenotch::platform {

// Ownership: the access log and the list of requests that may be removed. It alone sets RequestState::closed
// and RequestState::client (after arrival), and removes records. Every function may call into the client,
// which may call back into RequestLifecycle: a record has to be looked up again afterwards.
class RequestCompletion {
public:
    // An answer without a stream.
    struct FinalAnswer {
        int status = 0;
        Millis retry_after = 0;  // ms, 0 for no advice
        std::string_view text;
        EndCause cause;
    };

    // Both have to outlive it.
    RequestCompletion(LifecycleContext& context, LeaseKeeper& lease_keeper);

    // Closes the request with that answer, or by aborting its stream if one has begun; does nothing where it
    // is closed already.
    void send_final(RequestState& request, const FinalAnswer& answer);
    // The stream has ended with that result, which its client is told by the way its connection goes on.
    void finish_stream(RequestState& request, AttemptResult result);
    // The stream goes on elsewhere: its client is to repeat the request.
    void abort_migrated_stream(RequestState& request);
    void record_client_disconnect(RequestState& request);

    // The request is looked at by remove_ended() once the Router is idle.
    void revisit_when_idle(std::uint64_t handle) { to_revisit_.push_back(handle); }
    // To be called while the Router is idle: releases what may be held for requests without an attempt in
    // flight, and removes the closed ones among them.
    void remove_ended();

    const AccessLog& access_log() const { return access_log_; }

private:
    Client* close(RequestState& request);
    // `outcome`: nothing for a complete answer, whose times decide it.
    void log_request(const RequestState& request, std::optional<RequestOutcome> outcome,
                     std::optional<EndCause> cause = std::nullopt);
    void remove(RequestState& request);

    LifecycleContext& context_;
    LeaseKeeper& lease_keeper_;
    AccessLog access_log_;
    std::vector<std::uint64_t> to_revisit_;  // handles
};

}  // namespace gorsenotch::platform
