// Forwards streams that have begun: passes events from the endpoint to the client, enforces the endpoint's
// idle timeout, pauses for slow clients, and ends streams early while the process is stopping.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gorsenotch/settings.h"
#include "platform/lease_keeper.h"
#include "platform/lifecycle_context.h"
#include "platform/request_completion.h"

namespace gorsenotch::platform {

// Ownership: no state of its own; it may change RequestState::paused, client_progress, stream_begun_at and
// completion_tokens, and the phase and last_event_at of the attempt whose stream has begun. Errors: if an
// endpoint sends nothing for kStreamIdleTimeout, its attempt ends as reset. Times: ms. Threading: one thread.
class StreamForwarder {
public:
    // All references have to outlive this object.
    StreamForwarder(LifecycleContext& context, LeaseManager& lease_keeper, RequestCompletion& completion);

    // ---- called by the exchange of an attempt ----
    // The first event of the attempt's stream was received: starts the client's stream.
    void on_first_event(std::uint64_t handle, int attempt_index, std::string_view events);
    // Further events were received; they are forwarded unchanged.
    void on_more_events(std::uint64_t handle, int attempt_index, std::string_view events);

    // The timer `TimerKind::stream_idle` of an attempt in flight has fired.
    void on_idle_timer(RequestState& request, int attempt_index);
    // Output was handed to the kernel for the client of the request. The endpoint is not read while
    // Client::is_congested(). Meanwhile its idle timeout does not run; instead the stream ends if the client
    // acknowledges nothing for control::ClientProgress::kStallTimeout.
    void on_client_output_sent(std::uint64_t handle);
    // Cancels the attempt of a stream whose client has disconnected.
    void cancel_stream(const RequestState& request);
    // Aborts the stream towards its client, which then repeats the request, and cancels its attempt.
    void migrate(RequestState& request);

    // Streams whose endpoint is not being read now.
    std::size_t paused_streams() const;

    // ---- while the process is stopping ----
    // Streams that have begun and not ended.
    std::size_t open_streams() const;
    // Migrates the `count` streams of the requests that arrived last, which have the most left to generate.
    void migrate_latest(std::size_t count);

private:
    std::size_t count_requests(bool (*matches)(const RequestState&)) const;
    void update_pause(RequestState& request);
    void set_idle_timer(RequestState& request, int attempt_index, Millis at);
    void check_client_progress(RequestState& request, int attempt_index);

    LifecycleContext& context_;
    LeaseManager& lease_keeper_;
    RequestCompletion& completion_;
};

}  // namespace gorsenotch::platform
