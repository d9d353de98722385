#include "control/kv_lease.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::control {
namespace {

constexpr Millis kAllowedUnset = 1000;  // where the settings name no time
// Parts of the time allowed. Proof may come until the first; it leaves what a release takes that meets silent
// servers one after another (0.45), and a process that is held up (150 ms). A write that begins late gets the
// second to arrive, but not beyond the third, save where it began later than that.
constexpr double kProofPart = 0.6, kArrivalPart = 0.1, kLatestPart = 0.8;
// For a read the time is used up further, as a release costs its work: the platform allows 300 ms more than
// the settings, of which half is left for a process that is held up. Its server is asked so long before.
constexpr double kReadPart = 0.55, kAskPart = 0.25;
constexpr Millis kReadMore = 150, kAskLeast = 150;

// A read is unusual at so many times (far more than a jam makes of it) what nine in ten take for their
// length, once so many have been seen. The first one seen stands for a quantile of so many times itself.
constexpr double kUsualQuantile = 0.9, kQuantileStep = 0.5, kUnusual = 10, kAtFirst = 2;
// Its server is not asked for an answer before so many times that: a question costs each server a call.
constexpr double kUsual = 1.5;
constexpr int kSeenEnough = 20;

// What a read's time grows with: thousands of tokens, and a part that every read has.
double work(double prompt_tokens) { return 1 + prompt_tokens / 1000; }

}  // namespace

KvLease::KvLease(Millis release_within) : duration_(release_within > 0 ? release_within : kAllowedUnset) {}

void KvLease::on_acquired(Millis now, LeaseOrigin origin, EndpointId holder) {
    uncertain_ = origin == LeaseOrigin::prefill_lost || (held_ && uncertain_);
    timeline_.origin = origin;
    timeline_.holder = holder;
    tentative_ = origin == LeaseOrigin::prefill_unanswered;
    if (held_) return;  // something older stands as well: the lease runs from that
    held_ = true;
    running_since_ = now;
    timeline_ = {origin, holder, now, -1, -1, -1, -1, timeline_.awaited};
}

void KvLease::on_attempt_begun(Millis now, EndpointId server, bool write) {
    attempt_arrived_ = answer_begun_ = false;
    decode_in_flight_ = write;
    decode_written_ = prefill_written_ = health_check_sent_ = false;
    kept_for_decode_ = false;
    if (write) decode_begun_at_ = now;
    timeline_.awaited = server;
    timeline_.written = timeline_.arrived = -1;
}

void KvLease::on_request_written(Millis now, Millis usual_until) {
    prefill_usual_until_ = usual_until;
    decode_written_ = decode_in_flight_;
    prefill_written_ = !decode_in_flight_;
    if (prefill_written_ && !held_) on_acquired(now, LeaseOrigin::prefill_unanswered, timeline_.awaited);
    timeline_.written = now;
}

void KvLease::on_attempt_answered(Millis now) {
    timeline_.arrived = now;
    if (decode_in_flight_) {
        attempt_arrived_ = true;
        return;
    }
    // The read has ended: what it leaves stands from now on, though the rest of its answer may be lost.
    answer_begun_ = true;
    running_since_ = now;
}

void KvLease::on_attempt_ended(Millis now, bool never_ran) {
    if (never_ran && tentative_) held_ = tentative_ = false;
    // It may have been waiting for what is held until now; if it had not arrived, the lease has run all
    // along.
    const bool answered = std::exchange(attempt_arrived_, false) || std::exchange(answer_begun_, false);
    if (answered && held_) {
        running_since_ = now;
        timeline_.acquired = now;
    }
    if (std::exchange(kept_for_decode_, false)) {
        held_ = true;
        running_since_ = now;
    }
    if (held_ && decode_written_ && !never_ran) uncertain_ = true;
    decode_in_flight_ = decode_written_ = prefill_written_ = false;
}

void KvLease::on_taken() {
    held_ = uncertain_ = tentative_ = release_in_progress_ = kept_for_decode_ = false;
    attempt_arrived_ = true;
}

void KvLease::on_release_begun(Millis now) {
    release_in_progress_ = true;
    released_at_ = now;
    timeline_.released = now;
}

void KvLease::on_release_answered(Millis now) {
    release_in_progress_ = false;
    if (!held_) return;
    held_ = uncertain_ = tentative_ = false;
    kept_for_decode_ = decode_in_flight_ && decode_written_;
    health_check_sent_ = false;
    if (prefill_in_flight()) on_acquired(now, LeaseOrigin::prefill_unanswered, timeline_.awaited);
}

void KvLease::on_release_failed() { release_in_progress_ = false; }

std::optional<Millis> KvLease::release_at() const {
    if (!held_ || attempt_arrived_ || release_in_progress_) return std::nullopt;
    if (prefill_written_) {
        const Millis due = running_since_ + kReadPart * duration_ + kReadMore;
        return prefill_in_flight() ? std::max(due, prefill_usual_until_ + health_check_time()) : due;
    }
    const Millis due = running_since_ + kProofPart * duration_;
    if (!decode_in_flight_) return due;
    const Millis arrives = decode_begun_at_ + kArrivalPart * duration_;
    const Millis latest = running_since_ + kLatestPart * duration_;
    return decode_begun_at_ > latest ? arrives : std::clamp(arrives, due, latest);
}

Millis KvLease::health_check_time() const { return std::max(kAskLeast, kAskPart * duration_); }

std::optional<Millis> KvLease::health_check_at() const {
    const auto due = release_at();
    if (!due || !prefill_in_flight() || health_check_sent_) return std::nullopt;
    return *due - health_check_time();
}

void KvLease::on_endpoint_answered(Millis at) {
    if (!prefill_in_flight() || at <= running_since_) return;
    running_since_ = at;
    health_check_sent_ = false;
}

void PrefillTimes::add_prefill(Millis took, double prompt_tokens) {
    const double for_work = took / work(prompt_tokens);
    if (!usual_) usual_.emplace(kUsualQuantile, kQuantileStep, kAtFirst * for_work);
    usual_->add(for_work);
    ++seen_;
}

Millis PrefillTimes::usual_duration(double prompt_tokens) const {
    return seen_ >= kSeenEnough ? kUsual * usual_->value() * work(prompt_tokens) : 0;
}

bool PrefillTimes::is_unusual(Millis age, double prompt_tokens) const {
    return seen_ >= kSeenEnough && age > kUnusual * usual_->value() * work(prompt_tokens);
}

void KvLease::on_expiring(Millis now) { timeline_.expiring = now; }

}  // namespace gorsenotch::control
