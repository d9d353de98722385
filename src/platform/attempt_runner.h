// Attempts of requests: whether one may be sent, its request on the wire, its timeout and its end.
#pragma once

#include <memory>
#include <string>

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/lease_keeper.h"
#include "platform/lifecycle_context.h"
#include "platform/request_completion.h"
#include "platform/stream_forwarder.h"

namespace gorsenotch::platform {

// Ownership: no state of its own; it adds to RequestState::attempts and changes what it added, except for
// what StreamForwarder changes once a stream has begun. Errors: none are returned; an attempt that may not be
// sent ends as not_sent, and the Router decides what follows. Times: ms.
class AttemptRunner {
public:
    // All have to outlive it.
    AttemptRunner(LifecycleContext& context, LeaseKeeper& lease_keeper, RequestCompletion& completion,
                  StreamForwarder& streams);

    void start(const StartAttempt& start);
    // Cancels an attempt whose stream has not begun.
    void stop(const StopAttempt& stop);
    // The timer `TimerKind::attempt_timeout` of an attempt in flight.
    void on_timeout(RequestState& request, int attempt_index);

private:
    // What the hooks of an exchange know of their attempt.
    struct AttemptKey {
        std::uint64_t handle = 0;
        int index = 0;
    };
    // What is asked of an attempt right before its first byte.
    struct SendConditions {
        std::uint64_t handle = 0;
        EndpointId endpoint = 0;
        Millis send_by = 0;        // 0: no limit
        Millis decided_at = 0;     // when the Router decided it
        bool reads_state = false;  // it is to read the state that a prefill left
    };

    // Asked as an attempt is decided and again before its first byte. Records a disconnect that it finds.
    bool may_send(const SendConditions& conditions);
    void end_unsent(RequestState& request, AttemptState attempt);
    void attach_hooks(UpstreamExchange& exchange, AttemptKey key, const Endpoint& endpoint, Millis sent);
    std::string compose_request(const RequestState& request, const std::string& address) const;
    void insert_remaining_time(AttemptKey key, std::size_t position, std::string& request_text);
    void on_request_written(AttemptKey key);
    void on_first_byte(AttemptKey key, EndpointId endpoint, Millis sent);
    void on_ended(AttemptKey key, const AttemptOutcome& outcome);
    void report_to_invariant_checker(AttemptKey key, const AttemptState& attempt,
                                     const AttemptOutcome& outcome);
    void record_endpoint_evidence(const AttemptState& attempt, const AttemptOutcome& outcome);
    Role role_of(const Endpoint& endpoint) const;

    LifecycleContext& context_;
    LeaseKeeper& lease_keeper_;
    RequestCompletion& completion_;
    StreamForwarder& streams_;
};

}  // namespace gorsenotch::platform
