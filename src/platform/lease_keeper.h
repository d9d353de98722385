// KV-cache leases of requests: what endpoints may keep for a request, and its release in time.
//
// Feeds the evidence of attempts to each request's control::KvLease, sets the timer at which the lease
// expires or a prefill endpoint has to be checked, and starts releases. A release goes out whenever something
// may be held, whether or not that is certain; what a prefill left and nobody took would otherwise occupy the
// endpoint's memory until its own limit.
#pragma once

#include <string>

#include "control/kv_lease.h"
#include "control/prefill_times.h"
#include "gorsenotch/actions.h"
#include "platform/access_log.h"
#include "platform/lease_releaser.h"
#include "platform/lifecycle_context.h"

namespace gorsenotch::platform {

// Ownership: the releases under way, the record of prefill durations, and the lease fields of every
// RequestState (see request_state.h). Errors: none are returned; a release that no endpoint answered is
// logged and counted.
class LeaseKeeper {
public:
    // `context` has to outlive it.
    explicit LeaseKeeper(LifecycleContext& context);

    // ---- evidence, from AttemptRunner and StreamForwarder ----
    // A decode attempt withdraws a release under way, which would take the state that the attempt is to read.
    void on_attempt_begun(RequestState& request, const AttemptState& attempt);
    void on_request_written(RequestState& request, const AttemptState& attempt);
    // A byte of the answer to the attempt in flight has come.
    void on_attempt_answered(RequestState& request);
    // The decode endpoint has read the state.
    void on_taken(RequestState& request);
    void on_attempt_ended(RequestState& request, const AttemptState& attempt, const AttemptOutcome& outcome);

    // Asks a decode endpoint to keep a slot for the request; the Router hears a definite answer.
    void reserve_slot(const ReserveSlot& reserve);
    void on_reservation_timeout(const RequestState& request);
    // Closes a reservation that is still unanswered, without telling the Router.
    void abandon_reservation(const RequestState& request);

    // Releases all that may be held for the request, or repeats a release that is under way. Does not wait
    // for an attempt in flight, which keeps what it has reached: see control/kv_lease.
    void release(RequestState& request, ReleaseReason reason);
    bool release_in_progress(const RequestState& request) const;
    // The timer `TimerKind::release` of the release with that id.
    void retry_release(std::uint64_t release_id) { releaser_.retry(release_id); }
    // The timer `TimerKind::lease` of the request.
    void on_lease_timer(RequestState& request);

    // The state of the request's lease, for log lines.
    std::string describe(const RequestState& request);
    std::size_t releases_in_progress() const { return releaser_.size(); }
    const LeaseReleaser::Counts& release_counts() const { return releaser_.counts(); }

private:
    void schedule_check(RequestState& request);
    void check_prefill_endpoint(RequestState& request);
    void release_expiring(RequestState& request);
    void on_release_ended(const LeaseReleaser::Ended& ended);
    void update_lease(const LeaseReleaser::Ended& ended);
    void log_release(const LeaseReleaser::Ended& ended);

    LifecycleContext& context_;
    LeaseReleaser releaser_;
    control::PrefillTimes prefill_times_;
    LineBudget log_budget_{AccessLog::kLinesPerSecond};
};

}  // namespace gorsenotch::platform
