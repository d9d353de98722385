#include "control/lease_ledger.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::control {
namespace {

constexpr Millis kDefaultDuration = 1000;  // if the settings give no release time-out

// Fractions of the duration.
// Proof of arrival may come until this point. The rest, with the 300 ms that the platform tolerates beyond
// the setting, is reserved for a release that meets several unresponsive endpoints in turn (0.45 of the
// duration), and for a delay of this process (150 ms).
constexpr double kProofFraction = 0.6;
// A decode that begins late gets this much time to arrive.
constexpr double kLateDecodeFraction = 0.1;
// The late decode's time ends at this point at the latest, unless the decode began even later.
constexpr double kLatestProofFraction = 0.8;
// The peer's close usually follows within a round trip. Without it, a further prefill waits this long.
constexpr double kCloseProofFraction = 0.1;
// From an answered release that may have freed nothing to the next one, at least.
constexpr double kNextReleaseFraction = 0.35;
// A further prefill waits this long for the answer to the release before it: two calls to other endpoints.
constexpr double kReleaseAnswerFraction = 0.35;

// Beside a prefill a release gets more time, as it discards the prefill's work. The platform tolerates 300 ms
// more than the setting; half of that is added here, half remains for a delay of this process.
constexpr double kPrefillFraction = 0.55;
constexpr Millis kPrefillExtra = 150;
// The prefill's endpoint is sent a health check this long before the release.
constexpr double kHealthCheckFraction = 0.25;
constexpr Millis kMinHealthCheckTimeout = 150;

bool is_prefill_outcome(LeaseOrigin origin) {
    return origin == LeaseOrigin::prefill_done || origin == LeaseOrigin::prefill_lost;
}

}  // namespace

LeaseLedger::LeaseLedger(Millis release_timeout)
    : duration_(release_timeout > 0 ? release_timeout : kDefaultDuration) {}

bool LeaseLedger::decode_in_flight() const {
    return attempt_ == Attempt::decode_unwritten || attempt_ == Attempt::decode_written;
}

bool LeaseLedger::prefill_in_flight() const {
    return attempt_ == Attempt::prefill_written && proof_ == Proof::none;
}

bool LeaseLedger::is_prefill_in_flight(const Lease& lease) const {
    return lease.origin == LeaseOrigin::prefill_unanswered && prefill_in_flight();
}

bool LeaseLedger::is_held() const {
    return std::any_of(leases_.begin(), leases_.end(),
                       [](const Lease& lease) { return !lease.kept_for_decode; });
}

bool LeaseLedger::only_prefill_in_flight() const {
    return is_held() && std::all_of(leases_.begin(), leases_.end(),
                                    [this](const Lease& lease) { return is_prefill_in_flight(lease); });
}

Lease* LeaseLedger::unanswered_prefill() {
    const auto found = std::find_if(leases_.begin(), leases_.end(), [](const Lease& lease) {
        return lease.origin == LeaseOrigin::prefill_unanswered;
    });
    return found == leases_.end() ? nullptr : &*found;
}

// ---- evidence -------------------------------------------------------------------------------------------

void LeaseLedger::on_acquired(Millis now, LeaseOrigin origin, EndpointId holder) {
    if (!is_held()) timeline_.expiring = timeline_.released = -1;
    Lease* const own = is_prefill_outcome(origin) ? unanswered_prefill() : nullptr;
    Lease& lease = own ? *own : leases_.emplace_back();
    if (!own) lease.acquired = lease.running_since = now;
    lease.origin = origin;
    lease.holder = holder;
    if (origin == LeaseOrigin::prefill_lost) record_unproved_end(lease, now);
}

void LeaseLedger::on_attempt_begun(Millis now, EndpointId endpoint, bool is_decode) {
    ++latest_attempt_;
    attempt_ = is_decode ? Attempt::decode_unwritten : Attempt::none;
    proof_ = Proof::none;
    health_check_sent_ = false;
    if (is_decode) decode_begun_at_ = now;
    timeline_.attempt_endpoint = endpoint;
    timeline_.written = -1;
    timeline_.arrived = -1;
}

void LeaseLedger::on_request_written(Millis now, Millis expected_by) {
    prefill_expected_by_ = expected_by;
    attempt_ = decode_in_flight() ? Attempt::decode_written : Attempt::prefill_written;
    if (attempt_ == Attempt::prefill_written)
        on_acquired(now, LeaseOrigin::prefill_unanswered, timeline_.attempt_endpoint);
    timeline_.written = now;
}

void LeaseLedger::on_endpoint_answered(Millis at) {
    Lease* const own = prefill_in_flight() ? unanswered_prefill() : nullptr;
    if (!own || at <= own->running_since) return;
    own->running_since = at;
    health_check_sent_ = false;
}

// An attempt that was at its endpoint stopped the time limit of every lease of the request; the limit begins
// anew when the attempt ends.
void LeaseLedger::restart_leases(Millis now) {
    for (Lease& lease : leases_) lease.running_since = now;
}

void LeaseLedger::on_attempt_answered(Millis now) {
    timeline_.arrived = now;
    if (decode_in_flight()) {
        proof_ = Proof::decode_arrived;
        return;
    }
    // The prefill has ended: its KV cache is held from now on, even if the rest of the response is lost.
    proof_ = Proof::prefill_answered;
    restart_leases(now);
}

void LeaseLedger::on_attempt_ended(Millis now, bool never_ran) {
    const bool answered = std::exchange(proof_, Proof::none) != Proof::none;
    const bool decode_may_wait = attempt_ == Attempt::decode_written && !never_ran;
    attempt_ = Attempt::none;
    if (never_ran)
        std::erase_if(leases_,
                      [](const Lease& lease) { return lease.origin == LeaseOrigin::prefill_unanswered; });
    // An attempt that did not arrive never stopped the leases.
    if (answered) {
        restart_leases(now);
        for (Lease& lease : leases_) lease.acquired = now;
    }
    for (Lease& lease : leases_) {
        if (!std::exchange(lease.kept_for_decode, false)) continue;
        lease.running_since = now;
        lease.acquired = now;
    }
    if (!decode_may_wait) return;
    for (Lease& lease : leases_) record_unproved_end(lease, now);
}

void LeaseLedger::record_unproved_end(Lease& lease, Millis now) const {
    if (lease.unproved_ends.empty()) lease.waited_until = now;
    lease.unproved_ends.push_back({latest_attempt_, now});
}

void LeaseLedger::on_close_proved(Millis now, int attempt) {
    for (Lease& lease : leases_) {
        const auto is_proved = [attempt](const UnprovedEnd& end) { return end.attempt == attempt; };
        if (std::erase_if(lease.unproved_ends, is_proved) > 0) lease.proved_at = now;
    }
}

void LeaseLedger::on_resource_taken() {
    proof_ = Proof::decode_arrived;
    release_in_progress_ = false;
    const auto taken = std::find_if(leases_.rbegin(), leases_.rend(), [](const Lease& lease) {
        return lease.origin != LeaseOrigin::slot_requested;
    });
    if (taken != leases_.rend()) leases_.erase(std::next(taken).base());
    std::erase_if(leases_, [this](const Lease& lease) {
        return lease.origin == LeaseOrigin::slot_requested && lease.holder == timeline_.attempt_endpoint;
    });
}

void LeaseLedger::on_release_begun(Millis now) {
    release_in_progress_ = true;
    release_begun_at_ = now;
    timeline_.released = now;
}

void LeaseLedger::on_release_answered(Millis now, Millis sent_at) {
    release_in_progress_ = false;
    std::erase_if(leases_, [&](Lease& lease) { return free_by_release(lease, now, sent_at); });
}

void LeaseLedger::on_release_failed() { release_in_progress_ = false; }

// Whether no attempt could wait for the resource any more when the release call was sent.
bool LeaseLedger::is_certain(const Lease& lease, Millis sent_at) const {
    return sent_at >= lease.proved_at &&
           std::all_of(lease.unproved_ends.begin(), lease.unproved_ends.end(),
                       [&](const UnprovedEnd& end) { return sent_at >= end.ended_at + ending_timeout(); });
}

// Whether the answered release call has certainly freed the resource.
bool LeaseLedger::free_by_release(Lease& lease, Millis now, Millis sent_at) {
    if (is_prefill_in_flight(lease)) {
        // The prefill may still end, and store its KV cache after the release.
        lease.acquired = lease.running_since = now;
        health_check_sent_ = false;
        return false;
    }
    if (lease.acquired > sent_at) return false;
    if (!is_certain(lease, sent_at)) {
        lease.released_unproved = true;
        lease.release_answered_at = now;
        lease.running_since = std::max(lease.running_since, lease.waited_until);
        return false;
    }
    lease.kept_for_decode = attempt_ == Attempt::decode_written;
    return !lease.kept_for_decode;
}

// ---- decisions ------------------------------------------------------------------------------------------

bool LeaseLedger::needs_second_release() const {
    return std::any_of(leases_.begin(), leases_.end(), [](const Lease& lease) {
        return !lease.kept_for_decode && !lease.unproved_ends.empty();
    });
}

bool LeaseLedger::needs_release_before_prefill() const {
    return std::any_of(leases_.begin(), leases_.end(),
                       [](const Lease& lease) { return !lease.kept_for_decode && !lease.released_unproved; });
}

Millis LeaseLedger::ending_timeout() const { return kPrefillFraction * duration_ + kPrefillExtra; }

std::optional<Millis> LeaseLedger::close_proof_deadline() const {
    if (!needs_second_release()) return std::nullopt;
    Millis latest_end = 0;
    for (const Lease& lease : leases_) {
        for (const UnprovedEnd& end : lease.unproved_ends) latest_end = std::max(latest_end, end.ended_at);
    }
    return latest_end + kCloseProofFraction * duration_;
}

Millis LeaseLedger::release_answer_deadline(Millis now) const {
    return now + kReleaseAnswerFraction * duration_;
}

std::optional<Millis> LeaseLedger::release_at() const {
    if (proof_ == Proof::decode_arrived || release_in_progress_) return std::nullopt;
    std::optional<Millis> earliest;
    for (const Lease& lease : leases_) {
        if (lease.kept_for_decode) continue;
        const Millis due = release_due(lease);
        if (!earliest || due < *earliest) earliest = due;
    }
    return earliest;
}

// The latest safe begin of a release that would discard the work of a prefill.
Millis LeaseLedger::prefill_limit(const Lease& lease) const {
    return lease.running_since + kPrefillFraction * duration_ + kPrefillExtra;
}

Millis LeaseLedger::release_due(const Lease& lease) const {
    if (is_prefill_in_flight(lease))
        return std::max(prefill_limit(lease), prefill_expected_by_ + health_check_timeout());
    if (lease.released_unproved)
        return std::max(prefill_limit(lease), lease.release_answered_at + kNextReleaseFraction * duration_);
    if (attempt_ == Attempt::prefill_written) return prefill_limit(lease);
    const Millis due = lease.running_since + kProofFraction * duration_;
    if (!decode_in_flight()) return due;
    const Millis arrival_due = decode_begun_at_ + kLateDecodeFraction * duration_;
    const Millis latest = lease.running_since + kLatestProofFraction * duration_;
    return decode_begun_at_ > latest ? arrival_due : std::clamp(arrival_due, due, latest);
}

Millis LeaseLedger::health_check_timeout() const {
    return std::max(kMinHealthCheckTimeout, kHealthCheckFraction * duration_);
}

std::optional<Millis> LeaseLedger::health_check_at() const {
    if (!prefill_in_flight() || health_check_sent_ || release_in_progress_) return std::nullopt;
    for (const Lease& lease : leases_) {
        if (is_prefill_in_flight(lease)) return release_due(lease) - health_check_timeout();
    }
    return std::nullopt;
}

LeaseLedger::Timeline LeaseLedger::timeline() const {
    Timeline timeline = timeline_;
    const auto oldest = std::min_element(leases_.begin(), leases_.end(), [](const Lease& a, const Lease& b) {
        return a.running_since < b.running_since;
    });
    if (oldest == leases_.end()) return timeline;
    timeline.origin = oldest->origin;
    timeline.holder = oldest->holder;
    timeline.acquired = oldest->acquired;
    return timeline;
}

}  // namespace gorsenotch::control
