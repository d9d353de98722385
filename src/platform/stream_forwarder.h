// Streams that have begun: events from the endpoint to the client, a limit on the endpoint's silence, pauses
// for a client that reads slowly, and streams ended early as the process stops.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gorsenotch/settings.h"
#include "platform/lease_keeper.h"
#include "platform/lifecycle_context.h"
#include "platform/request_completion.h"

namespace gorsenotch::platform {

// Ownership: no state of its own; it may change RequestState::congested, stream_begun_at and
// completion_tokens, and the phase and last_heard of the attempt whose stream has begun. Errors: an endpoint
// that stays silent for kStreamIdleTimeout has its attempt ended as reset. Times: ms.
class StreamForwarder {
public:
    // All have to outlive it.
    StreamForwarder(LifecycleContext& context, LeaseKeeper& lease_keeper, RequestCompletion& completion);

    // ---- from the exchange of an attempt ----
    void on_first_event(std::uint64_t handle, int attempt_index, std::string_view events);
    void on_more_events(std::uint64_t handle, int attempt_index, std::string_view events);

    // The timer `TimerKind::stream_idle` of an attempt in flight.
    void on_idle_timer(RequestState& request, int attempt_index);
    // Pauses and resumes reading from the endpoint; its silence is not counted meanwhile.
    void on_client_congested(std::uint64_t handle, bool congested);
    // Ends the attempt of a stream whose client is gone.
    void stop_reading(const RequestState& request);
    // Ends the client's side of the stream, whose client then repeats the request, and its attempt.
    void migrate(RequestState& request);

    // ---- while the process stops ----
    // Streams that have begun and not ended.
    std::size_t streams() const;
    // Migrates the `count` streams that began to be served last, which have the most ahead of them.
    void migrate_latest(std::size_t count);
    // Ends streams of requests that arrived at `arrived_since` or later and whose endpoint is silent.
    void end_silent(Millis arrived_since);

private:
    void set_idle_timer(RequestState& request, int attempt_index, Millis last_heard);

    LifecycleContext& context_;
    LeaseKeeper& lease_keeper_;
    RequestCompletion& completion_;
};

}  // namespace gorsenotch::platform
