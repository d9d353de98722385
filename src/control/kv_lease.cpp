#include "control/kv_lease.h"

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

// A prefill gets more time, as its release discards the prefill's work. The platform tolerates 300 ms more
// than the setting; half of that is added here, half remains for a delay of this process.
constexpr double kPrefillFraction = 0.55;
constexpr Millis kPrefillExtra = 150;
// The prefill's endpoint is sent a health check this long before the release.
constexpr double kHealthCheckFraction = 0.25;
constexpr Millis kMinHealthCheckTimeout = 150;

}  // namespace

KvLease::KvLease(Millis release_timeout)
    : duration_(release_timeout > 0 ? release_timeout : kDefaultDuration) {}

bool KvLease::decode_in_flight() const {
    return attempt_ == Attempt::decode_unwritten || attempt_ == Attempt::decode_written;
}

bool KvLease::prefill_in_flight() const {
    return attempt_ == Attempt::prefill_written && proof_ == Proof::none;
}

void KvLease::on_acquired(Millis now, LeaseOrigin origin, EndpointId holder) {
    const bool held_before = is_held();
    needs_second_release_ = origin == LeaseOrigin::prefill_lost || (held_before && needs_second_release_);
    holding_ = origin == LeaseOrigin::prefill_unanswered ? Holding::unanswered_prefill : Holding::held;
    timeline_.origin = origin;
    timeline_.holder = holder;
    if (held_before) return;  // the lease keeps running from the older resource
    running_since_ = now;
    timeline_ = {origin, holder, now, -1, -1, -1, -1, timeline_.attempt_endpoint};
}

void KvLease::on_attempt_begun(Millis now, EndpointId endpoint, bool is_decode) {
    attempt_ = is_decode ? Attempt::decode_unwritten : Attempt::none;
    proof_ = Proof::none;
    health_check_sent_ = false;
    kept_for_decode_ = false;
    if (is_decode) decode_begun_at_ = now;
    timeline_.attempt_endpoint = endpoint;
    timeline_.written = -1;
    timeline_.arrived = -1;
}

void KvLease::on_request_written(Millis now, Millis expected_by) {
    prefill_expected_by_ = expected_by;
    attempt_ = decode_in_flight() ? Attempt::decode_written : Attempt::prefill_written;
    if (attempt_ == Attempt::prefill_written && !is_held())
        on_acquired(now, LeaseOrigin::prefill_unanswered, timeline_.attempt_endpoint);
    timeline_.written = now;
}

void KvLease::on_endpoint_answered(Millis at) {
    if (!prefill_in_flight() || at <= running_since_) return;
    running_since_ = at;
    health_check_sent_ = false;
}

void KvLease::on_attempt_answered(Millis now) {
    timeline_.arrived = now;
    if (decode_in_flight()) {
        proof_ = Proof::decode_arrived;
        return;
    }
    // The prefill has ended: its KV cache is held from now on, even if the rest of the response is lost.
    proof_ = Proof::prefill_answered;
    running_since_ = now;
}

void KvLease::on_attempt_ended(Millis now, bool never_ran) {
    if (never_ran && only_prefill_in_flight()) holding_ = Holding::nothing;
    // An attempt that arrived may have been waiting for the resource, so the lease restarts. If it did not
    // arrive, the lease was never stopped.
    const bool answered = std::exchange(proof_, Proof::none) != Proof::none;
    if (answered && is_held()) {
        running_since_ = now;
        timeline_.acquired = now;
    }
    if (std::exchange(kept_for_decode_, false)) {
        if (!is_held()) holding_ = Holding::held;
        running_since_ = now;
    }
    if (is_held() && attempt_ == Attempt::decode_written && !never_ran) needs_second_release_ = true;
    attempt_ = Attempt::none;
}

void KvLease::on_resource_taken() {
    holding_ = Holding::nothing;
    needs_second_release_ = false;
    release_in_progress_ = false;
    kept_for_decode_ = false;
    proof_ = Proof::decode_arrived;
}

void KvLease::on_release_begun(Millis now) {
    release_in_progress_ = true;
    release_begun_at_ = now;
    timeline_.released = now;
}

void KvLease::on_release_answered(Millis now) {
    release_in_progress_ = false;
    if (!is_held()) return;
    holding_ = Holding::nothing;
    needs_second_release_ = false;
    kept_for_decode_ = attempt_ == Attempt::decode_written;
    health_check_sent_ = false;
    if (prefill_in_flight()) on_acquired(now, LeaseOrigin::prefill_unanswered, timeline_.attempt_endpoint);
}

void KvLease::on_release_failed() { release_in_progress_ = false; }

std::optional<Millis> KvLease::release_at() const {
    if (!is_held() || proof_ == Proof::decode_arrived || release_in_progress_) return std::nullopt;
    if (attempt_ == Attempt::prefill_written) {
        const Millis due = running_since_ + kPrefillFraction * duration_ + kPrefillExtra;
        return prefill_in_flight() ? std::max(due, prefill_expected_by_ + health_check_timeout()) : due;
    }
    const Millis due = running_since_ + kProofFraction * duration_;
    if (!decode_in_flight()) return due;
    const Millis arrival_due = decode_begun_at_ + kLateDecodeFraction * duration_;
    const Millis latest = running_since_ + kLatestProofFraction * duration_;
    return decode_begun_at_ > latest ? arrival_due : std::clamp(arrival_due, due, latest);
}

Millis KvLease::health_check_timeout() const {
    return std::max(kMinHealthCheckTimeout, kHealthCheckFraction * duration_);
}

std::optional<Millis> KvLease::health_check_at() const {
    const auto due = release_at();
    if (!due || !prefill_in_flight() || health_check_sent_) return std::nullopt;
    return *due - health_check_timeout();
}

}  // namespace gorsenotch::control
