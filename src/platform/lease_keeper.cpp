#include "platform/lease_keeper.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace gorsenotch::platform {
namespace {

// How long a call that reserves a slot may take, in ms.
constexpr Millis kReservationTimeout = 1000;
constexpr int kStatusReserved = 200;
constexpr int kStatusSlotTaken = 409;

// Whether this process, and not the endpoint, ended the attempt.
bool ended_by_this_process(AttemptResult result) {
    return result == AttemptResult::timed_out || result == AttemptResult::cancelled;
}

}  // namespace

LeaseManager::LeaseManager(LifecycleContext& context)
    : context_(context),
      releaser_(context.named.settings.lease_release_timeout, context.endpoints, context.environment,
                [this](Millis at, std::uint64_t release_id, bool timeout) {
                    context_.driver.set_timer(TimerKind::release, at, nullptr, 0, release_id, timeout);
                }) {
    releaser_.on_call = [this](const LeaseReleaser::ReleaseRequest& release) {
        context_.invariant_checker.on_release_called(release.request);
    };
    releaser_.on_ended = [this](const LeaseReleaser::Result& result) { on_release_ended(result); };
}

// ---- evidence -------------------------------------------------------------------------------------------

void LeaseManager::on_attempt_begun(RequestState& request, const AttemptState& attempt) {
    request.leases.on_attempt_begun(attempt.started_at, attempt.endpoint, !attempt.is_prefill);
    // A release does not harm a new prefill attempt: it frees what an earlier attempt has left.
    if (!attempt.is_prefill) releaser_.withdraw(request.release_id);
    schedule_check(request);
}

void LeaseManager::on_request_written(RequestState& request, const AttemptState& attempt) {
    const double prompt_tokens = request.inbound.arrival.prompt_tokens;
    const Millis usual_duration = attempt.is_prefill ? prefill_times_.usual_duration(prompt_tokens) : 0;
    request.leases.on_request_written(context_.environment.now(),
                                      context_.environment.now() + usual_duration);
    schedule_check(request);
}

void LeaseManager::on_attempt_answered(RequestState& request) {
    request.leases.on_attempt_answered(context_.environment.now());
}

void LeaseManager::on_kv_cache_fetched(RequestState& request) { request.leases.on_resource_taken(); }

void LeaseManager::end_sending(const RequestState& request, const UpstreamExchange& exchange) {
    const int attempt_number = request.leases.latest_attempt();
    context_.environment.end_sending(
        exchange, request.leases.ending_timeout(),
        [this, handle = request.handle, attempt_number] { on_close_proved(handle, attempt_number); });
}

void LeaseManager::on_attempt_ended(RequestState& request, const AttemptState& attempt,
                                    const AttemptOutcome& outcome) {
    const Millis now = attempt.ended_at;
    // A prefill that was still deferred never began, so its end says nothing of the attempts before it.
    if (std::exchange(request.deferred_prefill, std::nullopt)) return schedule_check(request);
    const bool prefill_done = outcome.result == AttemptResult::prefill_done;
    const bool never_arrived = never_ran(outcome.result) || !attempt.exchange->request_written();
    request.leases.on_attempt_ended(now, never_arrived);
    if (prefill_done) {
        const double prompt_tokens = request.inbound.arrival.prompt_tokens;
        prefill_times_.add_prefill(now - attempt.started_at, prompt_tokens);
        overtaken_prefills_.on_prefill_answered(attempt.endpoint, attempt.started_at, prompt_tokens);
    }
    if (attempt.is_prefill && prefill_done)
        request.leases.on_acquired(now, control::LeaseOrigin::prefill_done, attempt.endpoint);
    else if (attempt.is_prefill && !never_arrived)
        request.leases.on_acquired(now, control::LeaseOrigin::prefill_lost, attempt.endpoint);
    if (!ended_by_this_process(outcome.result))
        request.leases.on_close_proved(now, request.leases.latest_attempt());
    schedule_check(request);
}

void LeaseManager::on_close_proved(std::uint64_t handle, int attempt_number) {
    releaser_.on_close_proved(handle);
    RequestState* request = context_.requests.find(handle);
    if (!request) return;
    request->leases.on_close_proved(context_.environment.now(), attempt_number);
    if (request->deferred_prefill && !request->deferred_prefill->release_begun)
        release_before_prefill(*request);
}

// ---- deferred prefills ----------------------------------------------------------------------------------

bool LeaseManager::defer_prefill(RequestState& request, int attempt) {
    if (!request.leases.needs_release_before_prefill()) return false;
    request.deferred_prefill = DeferredPrefill{attempt, false, 0};
    const std::optional<Millis> proof_deadline = request.leases.close_proof_deadline();
    if (proof_deadline && *proof_deadline > context_.environment.now())
        set_deferred_prefill_timer(request, *proof_deadline);
    else
        release_before_prefill(request);
    return true;
}

void LeaseManager::release_before_prefill(RequestState& request) {
    request.deferred_prefill->release_begun = true;
    const Millis now = context_.environment.now();
    const bool needed = request.leases.needs_release_before_prefill();
    set_deferred_prefill_timer(request, needed ? request.leases.release_answer_deadline(now) : now);
    if (needed) release(request, ReleaseReason::before_prefill);
}

void LeaseManager::set_deferred_prefill_timer(RequestState& request, Millis due) {
    request.deferred_prefill->due = due;
    const bool is_timeout = due > context_.environment.now();
    context_.driver.set_timer(TimerKind::deferred_prefill, due, &request, 0, 0, is_timeout);
}

void LeaseManager::on_deferred_prefill_timer(RequestState& request) {
    if (!request.deferred_prefill || context_.environment.now() < request.deferred_prefill->due) return;
    if (!request.deferred_prefill->release_begun) return release_before_prefill(request);
    const int attempt = request.deferred_prefill->attempt;
    request.deferred_prefill.reset();
    on_prefill_ready(request.handle, attempt);
}

// ---- reservations ---------------------------------------------------------------------------------------

void LeaseManager::reserve_slot(const ReserveSlot& reserve) {
    RequestState* request = context_.requests.find(reserve.request);
    if (!request || request->closed) return;
    const EndpointId endpoint = reserve.endpoint;
    if (context_.endpoint_status(endpoint) != EndpointStatus::healthy) return;
    const std::uint64_t handle = request->handle;
    request->leases.on_acquired(context_.environment.now(), control::LeaseOrigin::slot_requested, endpoint);
    schedule_check(*request);
    const auto call = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    request->reservation = call;
    call->may_start_hook = [this, endpoint] {
        return context_.endpoint_status(endpoint) == EndpointStatus::healthy;
    };
    call->on_ended = [this, handle, endpoint](const AttemptOutcome& outcome) {
        const RequestState* current = context_.requests.find(handle);
        // Any other answer, or none, is inconclusive: a slot may be reserved all the same, and is released
        // when the request ends.
        const bool conclusive = outcome.status == kStatusReserved || outcome.status == kStatusSlotTaken;
        if (!current || !conclusive) return;
        context_.driver.feed(
            ReservationReply{std::to_string(handle), endpoint, outcome.status == kStatusReserved});
    };
    context_.driver.set_timer(TimerKind::reservation, context_.environment.now() + kReservationTimeout,
                              request, 0, 0, true);
    const std::string& address = context_.endpoints.find(endpoint)->dial_address;
    context_.environment.start_exchange(address, lease_call("POST", request->inbound.txn, address), call);
}

void LeaseManager::on_reservation_timeout(const RequestState& request) {
    if (!request.reservation || request.reservation->has_outcome()) return;
    const std::shared_ptr<UpstreamExchange> call = request.reservation;
    context_.environment.close(*call);
    call->abort(AttemptResult::timed_out);
}

void LeaseManager::abandon_reservation(const RequestState& request) {
    if (!request.reservation || request.reservation->has_outcome()) return;
    const std::shared_ptr<UpstreamExchange> call = request.reservation;
    call->on_ended = nullptr;
    context_.environment.close(*call);
}

// ---- releases -------------------------------------------------------------------------------------------

void LeaseManager::release(RequestState& request, ReleaseReason reason) {
    if (!request.leases.is_held()) return;
    // The endpoint may have answered the release in progress before the lease was last acquired.
    if (releaser_.in_progress(request.release_id)) {
        request.leases.on_release_begun(context_.environment.now());
        return releaser_.restart(request.release_id, request.closed);
    }
    request.leases.on_release_begun(context_.environment.now());
    LeaseReleaser::ReleaseRequest release;
    release.txn = request.inbound.txn;
    release.request = request.handle;
    release.holder = request.leases.timeline().holder;
    // While the request goes on, its leases make the second release due by themselves.
    release.needs_second_release = request.closed && request.leases.needs_second_release();
    if (request.attempt_in_flight()) release.unresponsive = request.leases.timeline().attempt_endpoint;
    release.reason = reason;
    ++context_.counters.release_reasons[static_cast<std::size_t>(reason)];
    release.lease_description = describe(request);
    request.release_id = releaser_.start(std::move(release));
}

bool LeaseManager::release_in_progress(const RequestState& request) const {
    return releaser_.in_progress(request.release_id);
}

void LeaseManager::on_release_ended(const LeaseReleaser::Result& result) {
    ++context_.counters.release_ends[static_cast<std::size_t>(result.end)];
    if (result.end == ReleaseEnd::answered) {
        context_.invariant_checker.on_endpoint_answered(context_.environment.now());
        context_.invariant_checker.on_release_answered(result.release.request, result.call_sent_at);
    }
    update_lease(result);
    log_release(result);
}

void LeaseManager::update_lease(const LeaseReleaser::Result& result) {
    RequestState* request = context_.requests.find(result.release.request);
    if (!request) return;
    if (result.end == ReleaseEnd::answered) {
        record_lease_ages(request->leases);
        request->leases.on_release_answered(context_.environment.now(), result.call_sent_at);
    } else {
        request->leases.on_release_failed();
    }
    schedule_check(*request);
    const bool prefill_ready = result.end == ReleaseEnd::answered && request->deferred_prefill &&
                               request->deferred_prefill->release_begun &&
                               !request->leases.needs_release_before_prefill();
    if (prefill_ready) set_deferred_prefill_timer(*request, context_.environment.now());
}

void LeaseManager::record_lease_ages(const control::LeaseLedger& leases) {
    for (const control::Lease& lease : leases.leases()) {
        if (lease.origin == control::LeaseOrigin::prefill_unanswered) continue;
        Millis& longest = context_.counters.longest_leases[static_cast<std::size_t>(lease.origin)];
        longest = std::max(longest, context_.environment.now() - lease.acquired);
    }
}

void LeaseManager::log_release(const LeaseReleaser::Result& result) {
    const bool failed = result.end == ReleaseEnd::unanswered;
    const bool notable =
        failed || result.release.reason == ReleaseReason::lease_expiring || result.calls_made > 1;
    if (!notable || !log_rate_limiter_.allow(context_.environment.now())) return;
    std::string text = result.release.txn;
    text.append(" ").append(kReleaseEnds[static_cast<std::size_t>(result.end)]);
    if (result.end == ReleaseEnd::answered)
        text.append(" by ").append(context_.endpoint_name(result.answered_by));
    text.append(" after ").append(std::to_string(std::lround(result.duration)));
    text.append(" calls ").append(std::to_string(result.calls_made));
    text.append(" reason ").append(kReleaseReasons[static_cast<std::size_t>(result.release.reason)]);
    text.append("; ").append(result.release.lease_description);
    context_.environment.log(failed ? "warn" : "info", failed ? "release_failed" : "release", text);
}

// ---- expiry ---------------------------------------------------------------------------------------------

void LeaseManager::schedule_check(RequestState& request) {
    const std::optional<Millis> health_check_at = request.leases.health_check_at();
    std::optional<Millis> at = request.leases.release_at();
    if (health_check_at && (!at || *health_check_at < *at)) at = health_check_at;
    if (!at || (request.lease_check_at && *request.lease_check_at <= *at)) return;
    request.lease_check_at = *at;
    context_.driver.set_timer(TimerKind::lease, *at, &request, 0, 0, true);
}

void LeaseManager::on_lease_timer(RequestState& request) {
    request.lease_check_at.reset();
    if (request.leases.prefill_in_flight()) check_prefill_endpoint(request);
    const std::optional<Millis> at = request.leases.release_at();
    if (!at) return;
    if (*at > context_.environment.now()) return schedule_check(request);
    release_expiring(request);
}

// Extends the lease if the prefill's endpoint has answered anything sent after the prefill, unless the
// prefill's own response was probably lost. Sends a health check if such an answer is due and none has been
// received.
void LeaseManager::check_prefill_endpoint(RequestState& request) {
    const EndpointId endpoint = request.leases.timeline().attempt_endpoint;
    const Millis sent = request.leases.prefill_written_at();
    const double prompt_tokens = request.inbound.arrival.prompt_tokens;
    const bool probably_lost = prefill_times_.is_unusual(context_.environment.now() - sent, prompt_tokens) ||
                               overtaken_prefills_.is_overtaken(endpoint, sent, prompt_tokens);
    // No health check can be sent before a request of this process has ended; until then an answer to
    // anything sent earlier counts as well.
    const Millis since = context_.health_checker.can_check() ? sent : 0;
    const auto answered_at = context_.health_checker.answered_since(endpoint, since);
    if (answered_at && !probably_lost)
        request.leases.on_endpoint_answered(since > 0 ? *answered_at : context_.environment.now());
    const std::optional<Millis> check_at = request.leases.health_check_at();
    if (!check_at || *check_at > context_.environment.now()) return;
    request.leases.on_health_check_sent();
    context_.health_checker.check(endpoint);
}

void LeaseManager::release_expiring(RequestState& request) {
    if (request.leases.only_prefill_in_flight()) return release(request, ReleaseReason::prefill_unanswered);
    request.leases.on_expiring(context_.environment.now());
    // A prefill in flight that is only slow is no reason for an earlier attempt's lease to expire.
    if (request.attempt_in_flight() && !request.attempts.back().is_prefill) {
        DiscoveredEndpoint* unresponsive =
            context_.endpoints.find(request.leases.timeline().attempt_endpoint);
        if (unresponsive) unresponsive->last_failure = context_.environment.now();
    }
    release(request, ReleaseReason::lease_expiring);
    const std::uint64_t handle = request.handle;
    context_.driver.feed(LeaseReleased{std::to_string(handle)});
    RequestState* current = context_.requests.find(handle);
    if (!current || current->attempts.empty()) return;
    // A decode attempt that still waits for its connection would find no KV cache to fetch. Cancelling it
    // leaves its time for another prefill.
    const AttemptState& latest = current->attempts.back();
    if (latest.in_flight() && !latest.is_prefill && !latest.exchange->request_written())
        abort_attempt(context_.environment, latest, AttemptResult::cancelled);
}

void LeaseManager::forget_unlisted() {
    overtaken_prefills_.forget_endpoints(
        [this](EndpointId endpoint) { return context_.endpoints.find(endpoint) == nullptr; });
}

std::string LeaseManager::describe(const RequestState& request) {
    const control::LeaseLedger::Timeline timeline = request.leases.timeline();
    std::string text = describe_timeline(timeline, request.arrived, context_.environment.now(),
                                         context_.endpoint_name(timeline.holder),
                                         context_.endpoint_name(timeline.attempt_endpoint));
    for (const control::Lease& lease : request.leases.leases())
        text.append("; ").append(describe(lease, request));
    return text;
}

// One lease: "prefill_lost at r1 acquired 33 since 812 released_unproved"; times are ms since the request
// arrived.
std::string LeaseManager::describe(const control::Lease& lease, const RequestState& request) {
    std::string text(control::kLeaseOriginNames[static_cast<std::size_t>(lease.origin)]);
    text.append(" at ").append(context_.endpoint_name(lease.holder));
    text.append(" acquired ").append(std::to_string(std::lround(lease.acquired - request.arrived)));
    text.append(" since ").append(std::to_string(std::lround(lease.running_since - request.arrived)));
    if (lease.kept_for_decode) text.append(" kept_for_decode");
    if (lease.released_unproved) text.append(" released_unproved");
    if (!lease.unproved_ends.empty()) text.append(" end_unproved");
    return text;
}

}  // namespace gorsenotch::platform
