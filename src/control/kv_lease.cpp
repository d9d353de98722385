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

HeldState::HeldState(Millis release_within) : allowed_(release_within > 0 ? release_within : kAllowedUnset) {}

void HeldState::made(Millis now, HeldOrigin origin, EndpointId holder) {
    uncertain_ = origin == HeldOrigin::read_lost || (held_ && uncertain_);
    timeline_.origin = origin;
    timeline_.holder = holder;
    tentative_ = origin == HeldOrigin::read_unanswered;
    if (held_) return;  // something older stands as well: the lease runs from that
    held_ = true;
    since_ = now;
    timeline_ = {origin, holder, now, -1, -1, -1, -1, timeline_.awaited};
}

void HeldState::attempt_begun(Millis now, EndpointId server, bool write) {
    arrived_ = answer_begun_ = false;
    write_out_ = write;
    write_handed_ = read_handed_ = asked_ = false;
    kept_for_write_ = false;
    if (write) write_begun_ = now;
    timeline_.awaited = server;
    timeline_.sent = timeline_.arrived = -1;
}

void HeldState::attempt_handed(Millis now, Millis usual_until) {
    usual_until_ = usual_until;
    write_handed_ = write_out_;
    read_handed_ = !write_out_;
    if (read_handed_ && !held_) made(now, HeldOrigin::read_unanswered, timeline_.awaited);
    timeline_.sent = now;
}

void HeldState::attempt_answered(Millis now) {
    timeline_.arrived = now;
    if (write_out_) {
        arrived_ = true;
        return;
    }
    // The read has ended: what it leaves stands from now on, though the rest of its answer may be lost.
    answer_begun_ = true;
    since_ = now;
}

void HeldState::attempt_over(Millis now, bool never_ran) {
    if (never_ran && tentative_) held_ = tentative_ = false;
    // It may have been waiting for what is held until now; if it had not arrived, the lease has run all
    // along.
    const bool answered = std::exchange(arrived_, false) || std::exchange(answer_begun_, false);
    if (answered && held_) {
        since_ = now;
        timeline_.made = now;
    }
    if (std::exchange(kept_for_write_, false)) {
        held_ = true;
        since_ = now;
    }
    if (held_ && write_handed_ && !never_ran) uncertain_ = true;
    write_out_ = write_handed_ = read_handed_ = false;
}

void HeldState::taken() {
    held_ = uncertain_ = tentative_ = releasing_ = kept_for_write_ = false;
    arrived_ = true;
}

void HeldState::release_begun(Millis now) {
    releasing_ = true;
    gone_at_ = now;
    timeline_.released = now;
}

void HeldState::release_answered(Millis now) {
    releasing_ = false;
    if (!held_) return;
    held_ = uncertain_ = tentative_ = false;
    kept_for_write_ = write_out_ && write_handed_;
    asked_ = false;
    if (read_out()) made(now, HeldOrigin::read_unanswered, timeline_.awaited);
}

void HeldState::release_over() { releasing_ = false; }

std::optional<Millis> HeldState::release_at() const {
    if (!held_ || arrived_ || releasing_) return std::nullopt;
    if (read_handed_) {
        const Millis due = since_ + kReadPart * allowed_ + kReadMore;
        return read_out() ? std::max(due, usual_until_ + ask_time()) : due;
    }
    const Millis due = since_ + kProofPart * allowed_;
    if (!write_out_) return due;
    const Millis arrives = write_begun_ + kArrivalPart * allowed_;
    const Millis latest = since_ + kLatestPart * allowed_;
    return write_begun_ > latest ? arrives : std::clamp(arrives, due, latest);
}

Millis HeldState::ask_time() const { return std::max(kAskLeast, kAskPart * allowed_); }

std::optional<Millis> HeldState::ask_at() const {
    const auto due = release_at();
    if (!due || !read_out() || asked_) return std::nullopt;
    return *due - ask_time();
}

void HeldState::server_answered(Millis at) {
    if (!read_out() || at <= since_) return;
    since_ = at;
    asked_ = false;
}

void ReadTimes::add(Millis took, double prompt_tokens) {
    const double for_work = took / work(prompt_tokens);
    if (!usual_) usual_.emplace(kUsualQuantile, kQuantileStep, kAtFirst * for_work);
    usual_->add(for_work);
    ++seen_;
}

Millis ReadTimes::usual(double prompt_tokens) const {
    return seen_ >= kSeenEnough ? kUsual * usual_->value() * work(prompt_tokens) : 0;
}

bool ReadTimes::unusual(Millis age, double prompt_tokens) const {
    return seen_ >= kSeenEnough && age > kUnusual * usual_->value() * work(prompt_tokens);
}

void HeldState::at_risk(Millis now) { timeline_.at_risk = now; }

}  // namespace gorsenotch::control
