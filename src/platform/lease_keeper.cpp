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
    request.lease.on_attempt_begun(attempt.started_at, attempt.endpoint, !attempt.is_prefill);
    // A release does not harm a new prefill attempt: it frees what an earlier attempt has left.
    if (!attempt.is_prefill) releaser_.withdraw(request.release_id);
    schedule_check(request);
}

void LeaseManager::on_request_written(RequestState& request, const AttemptState& attempt) {
    const double prompt_tokens = request.inbound.arrival.prompt_tokens;
    const Millis usual_duration = attempt.is_prefill ? prefill_times_.usual_duration(prompt_tokens) : 0;
    request.lease.on_request_written(context_.environment.now(), context_.environment.now() + usual_duration);
    schedule_check(request);
}

void LeaseManager::on_attempt_answered(RequestState& request) {
    request.lease.on_attempt_answered(context_.environment.now());
}

void LeaseManager::on_kv_cache_fetched(RequestState& request) { request.lease.on_resource_taken(); }

void LeaseManager::on_attempt_ended(RequestState& request, const AttemptState& attempt,
                                    const AttemptOutcome& outcome) {
    const Millis now = attempt.ended_at;
    const bool prefill_done = outcome.result == AttemptResult::prefill_done;
    request.lease.on_attempt_ended(now, never_ran(outcome.result));
    if (prefill_done)
        prefill_times_.add_prefill(now - attempt.started_at, request.inbound.arrival.prompt_tokens);
    if (attempt.is_prefill && prefill_done)
        request.lease.on_acquired(now, control::LeaseOrigin::prefill_done, attempt.endpoint);
    else if (attempt.is_prefill && !never_ran(outcome.result))
        request.lease.on_acquired(now, control::LeaseOrigin::prefill_lost, attempt.endpoint);
    schedule_check(request);
}

// ---- reservations ---------------------------------------------------------------------------------------

void LeaseManager::reserve_slot(const ReserveSlot& reserve) {
    RequestState* request = context_.requests.find(reserve.request);
    if (!request || request->closed) return;
    const EndpointId endpoint = reserve.endpoint;
    if (context_.endpoint_status(endpoint) != EndpointStatus::healthy) return;
    const std::uint64_t handle = request->handle;
    request->lease.on_acquired(context_.environment.now(), control::LeaseOrigin::slot_requested, endpoint);
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
    if (!request.lease.is_held()) return;
    // The endpoint may have answered the release in progress before the lease was last acquired.
    if (releaser_.in_progress(request.release_id)) return releaser_.restart(request.release_id);
    request.lease.on_release_begun(context_.environment.now());
    LeaseReleaser::ReleaseRequest release;
    release.txn = request.inbound.txn;
    release.request = request.handle;
    release.holder = request.lease.timeline().holder;
    release.needs_second_release = request.lease.needs_second_release();
    if (request.attempt_in_flight()) release.unresponsive = request.lease.timeline().attempt_endpoint;
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
        const Millis age = context_.environment.now() - request->lease.timeline().acquired;
        Millis& longest = context_.counters.longest_lease;
        if (!request->lease.only_prefill_in_flight()) longest = std::max(longest, age);
        request->lease.on_release_answered(context_.environment.now());
    } else {
        request->lease.on_release_failed();
    }
    schedule_check(*request);
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
    const std::optional<Millis> health_check_at = request.lease.health_check_at();
    const std::optional<Millis> at = health_check_at ? health_check_at : request.lease.release_at();
    if (!at || (request.lease_check_at && *request.lease_check_at <= *at)) return;
    request.lease_check_at = *at;
    context_.driver.set_timer(TimerKind::lease, *at, &request, 0, 0, true);
}

void LeaseManager::on_lease_timer(RequestState& request) {
    request.lease_check_at.reset();
    if (request.lease.prefill_in_flight()) check_prefill_endpoint(request);
    const std::optional<Millis> at = request.lease.release_at();
    if (!at) return;
    if (*at > context_.environment.now()) return schedule_check(request);
    release_expiring(request);
}

// Extends the lease if the prefill's endpoint has answered anything sent after the prefill. Sends a health
// check if such an answer is due and none has been received.
void LeaseManager::check_prefill_endpoint(RequestState& request) {
    const EndpointId endpoint = request.lease.timeline().attempt_endpoint;
    const Millis sent = request.lease.prefill_written_at();
    const bool unusual =
        prefill_times_.is_unusual(context_.environment.now() - sent, request.inbound.arrival.prompt_tokens);
    // No health check can be sent before a request of this process has ended; until then an answer to
    // anything sent earlier counts as well.
    const Millis since = context_.health_checker.can_check() ? sent : 0;
    const auto answered_at = context_.health_checker.answered_since(endpoint, since);
    if (answered_at && !unusual)
        request.lease.on_endpoint_answered(since > 0 ? *answered_at : context_.environment.now());
    const std::optional<Millis> check_at = request.lease.health_check_at();
    if (!check_at || *check_at > context_.environment.now()) return;
    request.lease.on_health_check_sent();
    context_.health_checker.check(endpoint);
}

void LeaseManager::release_expiring(RequestState& request) {
    if (request.lease.only_prefill_in_flight()) return release(request, ReleaseReason::prefill_unanswered);
    request.lease.on_expiring(context_.environment.now());
    if (request.attempt_in_flight()) {
        DiscoveredEndpoint* unresponsive = context_.endpoints.find(request.lease.timeline().attempt_endpoint);
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

std::string LeaseManager::describe(const RequestState& request) {
    const control::KvLease::Timeline& timeline = request.lease.timeline();
    return describe_timeline(timeline, request.arrived, context_.environment.now(),
                             context_.endpoint_name(timeline.holder),
                             context_.endpoint_name(timeline.attempt_endpoint));
}

}  // namespace gorsenotch::platform
