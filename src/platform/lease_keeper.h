// KV-cache leases of requests: tracks what endpoints may hold for a request, and releases it in time.
//
// Feeds evidence from attempts to each request's control::LeaseLedger, sets the timer at which the lease
// expires or a prefill endpoint is due a health check, and starts releases. A release is sent whenever
// something may be held, even if that is not certain: otherwise a KV cache that no decode attempt fetches
// would occupy the endpoint's memory until the endpoint's own limit.
#pragma once

#include <functional>
#include <string>

#include "control/lease_ledger.h"
#include "control/overtaken_prefills.h"
#include "control/prefill_times.h"
#include "gorsenotch/actions.h"
#include "platform/access_log.h"
#include "platform/lease_releaser.h"
#include "platform/lifecycle_context.h"

namespace gorsenotch::platform {

// Ownership: the releases in progress, the statistics of prefill durations, and the lease fields of every
// RequestState (see request_state.h). Errors: none are returned; a release that no endpoint answered is
// logged and counted. Times: ms. Threading: one thread.
class LeaseManager {
public:
    // `context` has to outlive this object.
    explicit LeaseManager(LifecycleContext& context);

    // ---- evidence, from AttemptRunner and StreamForwarder ----
    // A decode attempt withdraws a release in progress, which would free the KV cache that the attempt is to
    // read.
    void on_attempt_begun(RequestState& request, const AttemptState& attempt);
    // The last byte of the attempt's request was passed to the kernel.
    void on_request_written(RequestState& request, const AttemptState& attempt);
    // The first byte of a response to the attempt in flight was received.
    void on_attempt_answered(RequestState& request);
    // The decode endpoint has fetched the KV cache.
    void on_kv_cache_fetched(RequestState& request);
    // Gives up the exchange of the attempt in flight. Its endpoint's end of the connection later proves that
    // the endpoint has noticed.
    void end_sending(const RequestState& request, const UpstreamExchange& exchange);
    // The attempt has ended. A prefill that may have run acquires the lease.
    void on_attempt_ended(RequestState& request, const AttemptState& attempt, const AttemptOutcome& outcome);

    // Whether the prefill attempt has to wait until the resources of earlier attempts are released: a later
    // release would free its result as well. Then on_prefill_ready is called when it may start. The wait is
    // bounded, see control/lease_ledger.
    bool defer_prefill(RequestState& request, int attempt);
    std::function<void(std::uint64_t handle, int attempt)> on_prefill_ready;
    // The timer `TimerKind::deferred_prefill` of the request has fired.
    void on_deferred_prefill_timer(RequestState& request);

    // Asks a decode endpoint to reserve a slot for the request. The Router is informed only if the slot was
    // reserved or is taken.
    void reserve_slot(const ReserveSlot& reserve);
    // The timer `TimerKind::reservation` of the request has fired: closes a reservation call that is still
    // unanswered.
    void on_reservation_timeout(const RequestState& request);
    // Closes a reservation call that is still unanswered, without informing the Router.
    void abandon_reservation(const RequestState& request);

    // Releases everything that may be held for the request, or restarts a release in progress. Does not wait
    // for an attempt in flight: a release does not affect a decode that has arrived, but it frees the KV
    // cache that a prefill in flight stores, see control/lease_ledger.
    void release(RequestState& request, ReleaseReason reason);
    // The latest release of the request has neither ended nor been withdrawn.
    bool release_in_progress(const RequestState& request) const;
    // The timer `TimerKind::release` of the release with that id has fired.
    void retry_release(std::uint64_t release_id) { releaser_.retry(release_id); }
    // The timer `TimerKind::lease` of the request has fired.
    void on_lease_timer(RequestState& request);

    // Drops what is known of endpoints that are no longer listed.
    void forget_unlisted();

    // The history of the request's lease, for log lines.
    std::string describe(const RequestState& request);
    std::size_t releases_in_progress() const { return releaser_.size(); }
    const LeaseReleaser::Counts& release_counts() const { return releaser_.counts(); }

private:
    void on_close_proved(std::uint64_t handle, int attempt_number);
    void release_before_prefill(RequestState& request);
    void set_deferred_prefill_timer(RequestState& request, Millis due);
    void schedule_check(RequestState& request);
    void check_prefill_endpoint(RequestState& request);
    void release_expiring(RequestState& request);
    void on_release_ended(const LeaseReleaser::Result& result);
    void update_lease(const LeaseReleaser::Result& result);
    void record_lease_ages(const control::LeaseLedger& leases);
    std::string describe(const control::Lease& lease, const RequestState& request);
    void log_release(const LeaseReleaser::Result& result);

    LifecycleContext& context_;
    LeaseReleaser releaser_;
    control::PrefillTimes prefill_times_;
    control::OvertakenPrefills overtaken_prefills_;
    LogRateLimiter log_rate_limiter_{AccessLog::kLinesPerSecond};
};

}  // namespace gorsenotch::platform
