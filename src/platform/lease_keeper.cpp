#include "platform/lease_keeper.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace gorsenotch::platform {
namespace {

// How long a call that reserves a slot may take, ms.
constexpr Millis kReservationTimeout = 1000;
constexpr int kStatusReserved = 200;
constexpr int kStatusSlotTaken = 409;

}  // namespace

LeaseKeeper::LeaseKeeper(LifecycleContext& context)
    : context_(context),
      releaser_(context.named.settings.lease_release_timeout, context.endpoints, context.environment,
                [this](Millis at, std::uint64_t release_id, bool timeout) {
                    context_.driver.set_timer(TimerKind::release, at, nullptr, 0, release_id, timeout);
                }) {
    releaser_.on_call = [this](const LeaseReleaser::Order& order) {
        context_.invariant_checker.on_release_called(order.request);
    };
    releaser_.on_ended = [this](const LeaseReleaser::Ended& ended) { on_release_ended(ended); };
}

// ---- evidence -------------------------------------------------------------------------------------------

void LeaseKeeper::on_attempt_begun(RequestState& request, const AttemptState& attempt) {
    request.lease.on_attempt_begun(attempt.sent, attempt.endpoint, !attempt.is_prefill);
    // A prefill loses nothing by a release: what an earlier attempt left is released meanwhile.
    if (!attempt.is_prefill) releaser_.withdraw(request.release);
    schedule_check(request);
}

void LeaseKeeper::on_request_written(RequestState& request, const AttemptState& attempt) {
    const double prompt_tokens = request.inbound.arrival.prompt_tokens;
    const Millis usual = attempt.is_prefill ? prefill_times_.usual_duration(prompt_tokens) : 0;
    request.lease.on_request_written(context_.environment.now(), context_.environment.now() + usual);
    schedule_check(request);
}

void LeaseKeeper::on_attempt_answered(RequestState& request) {
    request.lease.on_attempt_answered(context_.environment.now());
}

void LeaseKeeper::on_taken(RequestState& request) { request.lease.on_taken(); }

void LeaseKeeper::on_attempt_ended(RequestState& request, const AttemptState& attempt,
                                   const AttemptOutcome& outcome) {
    const Millis now = attempt.ended;
    const bool prefill_done = outcome.result == AttemptResult::prefill_done;
    request.lease.on_attempt_ended(now, never_ran(outcome.result));
    if (prefill_done) prefill_times_.add_prefill(now - attempt.sent, request.inbound.arrival.prompt_tokens);
    if (attempt.is_prefill && prefill_done)
        request.lease.on_acquired(now, control::LeaseOrigin::prefill_done, attempt.endpoint);
    else if (attempt.is_prefill && !never_ran(outcome.result))
        request.lease.on_acquired(now, control::LeaseOrigin::prefill_lost, attempt.endpoint);
    schedule_check(request);
}

// ---- reservations ---------------------------------------------------------------------------------------

void LeaseKeeper::reserve_slot(const ReserveSlot& reserve) {
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
        const RequestState* own = context_.requests.find(handle);
        // Any other answer, and none, leave it open: a slot may be kept all the same, and is released in the
        // end.
        const bool definite = outcome.status == kStatusReserved || outcome.status == kStatusSlotTaken;
        if (!own || !definite) return;
        context_.driver.feed(
            ReservationReply{std::to_string(handle), endpoint, outcome.status == kStatusReserved});
    };
    context_.driver.set_timer(TimerKind::reservation, context_.environment.now() + kReservationTimeout,
                              request, 0, 0, true);
    const std::string& address = context_.endpoints.find(endpoint)->dial_address;
    context_.environment.start_exchange(address, lease_call("POST", request->inbound.txn, address), call);
}

void LeaseKeeper::on_reservation_timeout(const RequestState& request) {
    if (!request.reservation || request.reservation->is_over()) return;
    const std::shared_ptr<UpstreamExchange> call = request.reservation;
    context_.environment.close(*call);
    call->abort(AttemptResult::timed_out);
}

void LeaseKeeper::abandon_reservation(const RequestState& request) {
    if (!request.reservation || request.reservation->is_over()) return;
    const std::shared_ptr<UpstreamExchange> call = request.reservation;
    call->on_ended = nullptr;
    context_.environment.close(*call);
}

// ---- releases -------------------------------------------------------------------------------------------

void LeaseKeeper::release(RequestState& request, ReleaseReason reason) {
    if (!request.lease.held()) return;
    // A release under way may have been answered before the latest state came to be held.
    if (releaser_.in_progress(request.release)) return releaser_.repeat(request.release);
    request.lease.on_release_begun(context_.environment.now());
    LeaseReleaser::Order order;
    order.txn = request.inbound.txn;
    order.request = request.handle;
    order.holder = request.lease.timeline().holder;
    order.uncertain = request.lease.uncertain();
    if (request.attempt_in_flight()) order.silent = request.lease.timeline().awaited;
    order.reason = reason;
    ++context_.counters.release_reasons[static_cast<std::size_t>(reason)];
    order.held = describe(request);
    request.release = releaser_.begin(std::move(order));
}

bool LeaseKeeper::release_in_progress(const RequestState& request) const {
    return releaser_.in_progress(request.release);
}

void LeaseKeeper::on_release_ended(const LeaseReleaser::Ended& ended) {
    ++context_.counters.release_ends[static_cast<std::size_t>(ended.end)];
    if (ended.end == ReleaseEnd::answered) {
        context_.invariant_checker.on_endpoint_answered(context_.environment.now());
        context_.invariant_checker.on_release_answered(ended.order.request, ended.sent);
    }
    update_lease(ended);
    log_release(ended);
}

void LeaseKeeper::update_lease(const LeaseReleaser::Ended& ended) {
    RequestState* request = context_.requests.find(ended.order.request);
    if (!request) return;
    if (ended.end == ReleaseEnd::answered) {
        const Millis age = context_.environment.now() - request->lease.timeline().acquired;
        Millis& longest = context_.counters.longest_lease;
        if (!request->lease.only_unanswered_prefill()) longest = std::max(longest, age);
        request->lease.on_release_answered(context_.environment.now());
    } else {
        request->lease.on_release_failed();
    }
    schedule_check(*request);
}

void LeaseKeeper::log_release(const LeaseReleaser::Ended& ended) {
    const bool failed = ended.end == ReleaseEnd::unanswered;
    const bool notable = failed || ended.order.reason == ReleaseReason::lease_expiring || ended.calls > 1;
    if (!notable || !log_budget_.take(context_.environment.now())) return;
    std::string text = ended.order.txn;
    text.append(" ").append(kReleaseEnds[static_cast<std::size_t>(ended.end)]);
    if (ended.end == ReleaseEnd::answered) text.append(" by ").append(context_.endpoint_name(ended.by));
    text.append(" after ").append(std::to_string(std::lround(ended.took)));
    text.append(" calls ").append(std::to_string(ended.calls));
    text.append(" reason ").append(kReleaseReasons[static_cast<std::size_t>(ended.order.reason)]);
    text.append("; ").append(ended.order.held);
    context_.environment.log(failed ? "warn" : "info", failed ? "release_failed" : "release", text);
}

// ---- expiry ---------------------------------------------------------------------------------------------

void LeaseKeeper::schedule_check(RequestState& request) {
    const std::optional<Millis> health_check_at = request.lease.health_check_at();
    const std::optional<Millis> at = health_check_at ? health_check_at : request.lease.release_at();
    if (!at || (request.lease_check_at && *request.lease_check_at <= *at)) return;
    request.lease_check_at = *at;
    context_.driver.set_timer(TimerKind::lease, *at, &request, 0, 0, true);
}

void LeaseKeeper::on_lease_timer(RequestState& request) {
    request.lease_check_at.reset();
    if (request.lease.prefill_in_flight()) check_prefill_endpoint(request);
    const std::optional<Millis> at = request.lease.release_at();
    if (!at) return;
    if (*at > context_.environment.now()) return schedule_check(request);
    release_expiring(request);
}

// Extends the lease by an answer of the prefill's endpoint to anything sent after it, and asks for one in
// time.
void LeaseKeeper::check_prefill_endpoint(RequestState& request) {
    const EndpointId endpoint = request.lease.timeline().awaited;
    const Millis sent = request.lease.prefill_written_at();
    const bool unusual =
        prefill_times_.is_unusual(context_.environment.now() - sent, request.inbound.arrival.prompt_tokens);
    // No check can be sent before a request of this process has ended; until then any earlier answer counts.
    const Millis since = context_.health_checker.can_check() ? sent : 0;
    const auto answered_at = context_.health_checker.answered_since(endpoint, since);
    if (answered_at && !unusual)
        request.lease.on_endpoint_answered(since > 0 ? *answered_at : context_.environment.now());
    const std::optional<Millis> check_at = request.lease.health_check_at();
    if (!check_at || *check_at > context_.environment.now()) return;
    request.lease.on_health_check_sent();
    context_.health_checker.check(endpoint);
}

void LeaseKeeper::release_expiring(RequestState& request) {
    if (request.lease.only_unanswered_prefill()) return release(request, ReleaseReason::prefill_unanswered);
    request.lease.on_expiring(context_.environment.now());
    if (request.attempt_in_flight()) {
        DiscoveredEndpoint* silent = context_.endpoints.find(request.lease.timeline().awaited);
        if (silent) silent->last_failure = context_.environment.now();
    }
    release(request, ReleaseReason::lease_expiring);
    const std::uint64_t handle = request.handle;
    context_.driver.feed(LeaseReleased{std::to_string(handle)});
    RequestState* own = context_.requests.find(handle);
    if (!own || own->attempts.empty()) return;
    // A decode attempt that still waits for its connection would find no state to read: another prefill is
    // the better use of the time.
    const AttemptState& latest = own->attempts.back();
    if (latest.in_flight() && !latest.is_prefill && !latest.exchange->request_written())
        abort_attempt(context_.environment, latest, AttemptResult::cancelled);
}

std::string LeaseKeeper::describe(const RequestState& request) {
    const control::KvLease::Timeline& timeline = request.lease.timeline();
    return describe_timeline(timeline, request.arrived, context_.environment.now(),
                             context_.endpoint_name(timeline.holder),
                             context_.endpoint_name(timeline.awaited));
}

}  // namespace gorsenotch::platform
