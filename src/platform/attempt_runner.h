// Runs the attempts of requests: checks whether an attempt may be sent, composes its request, enforces its
// timeout and reports its end to the Router.
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

// Ownership: no state of its own; it adds to RequestState::attempts and changes its entries, except for what
// StreamForwarder changes once a stream has begun. Errors: none are returned; an attempt that may not be
// sent ends as not_sent, and the Router decides what follows. Times: ms. Threading: one thread.
class AttemptRunner {
public:
    // All references have to outlive this object.
    AttemptRunner(LifecycleContext& context, LeaseManager& lease_keeper, RequestCompletion& completion,
                  StreamForwarder& streams);

    // Starts the attempt, or ends it as not_sent if it may not be sent any more.
    void start(const StartAttempt& start);
    // Cancels an attempt whose stream has not begun.
    void stop(const StopAttempt& stop);
    // The timer `TimerKind::attempt_timeout` of an attempt in flight has fired.
    void on_timeout(RequestState& request, int attempt_index);

private:
    // Identifies the attempt of an exchange to its hooks. No pointer, as the request may be removed
    // meanwhile.
    struct AttemptKey {
        std::uint64_t handle = 0;
        int index = 0;
    };
    // The conditions for sending an attempt, checked right before its first byte.
    struct SendConditions {
        std::uint64_t handle = 0;
        EndpointId endpoint = 0;
        Millis send_by = 0;           // 0: no limit
        Millis decided_at = 0;        // when the Router decided to start the attempt
        bool reads_kv_cache = false;  // it fetches the KV cache of a prefill
    };

    // Called when the Router starts an attempt, and again before its first byte. Records a client disconnect
    // that it detects.
    bool may_send(const SendConditions& conditions);
    // Starts the exchange of an attempt that is in the request's list.
    void send(RequestState& request, AttemptKey key, SendConditions conditions);
    // Starts an attempt that LeaseManager had deferred.
    void send_deferred(AttemptKey key);
    // Ends an attempt whose stream has not begun.
    void give_up(RequestState& request, int attempt_index, AttemptResult result);
    void end_unsent(RequestState& request, AttemptState attempt);
    void attach_hooks(UpstreamExchange& exchange, AttemptKey key, const Endpoint& endpoint, Millis sent);
    proxy::OutboundRequest compose_request(const RequestState& request, const std::string& address) const;
    void insert_remaining_time(AttemptKey key, std::size_t position, std::string& head);
    void on_request_written(AttemptKey key);
    void on_first_byte(AttemptKey key, EndpointId endpoint, Millis sent);
    void on_ended(AttemptKey key, const AttemptOutcome& outcome);
    void report_to_invariant_checker(AttemptKey key, const AttemptState& attempt,
                                     const AttemptOutcome& outcome);
    void record_endpoint_evidence(const AttemptState& attempt, const AttemptOutcome& outcome);
    Role role_of(const Endpoint& endpoint) const;

    LifecycleContext& context_;
    LeaseManager& lease_keeper_;
    RequestCompletion& completion_;
    StreamForwarder& streams_;
};

}  // namespace gorsenotch::platform
