#include "control/lease_invariant.h"

#include "control/process_delay.h"

namespace gorsenotch::control {
namespace {
// The platform allows this much more than the settings for what is held.
constexpr Millis kPlatformExtra = 300;
constexpr Millis kCheckInterval = 50;
constexpr int kMaxReleaseCalls = 3;        // after which the endpoints' responses are what is missing
constexpr Millis kDefaultDuration = 1000;  // where the settings name no time
}  // namespace

void LeaseInvariant::on_prefill_answered(Handle request, Millis now, Millis stalled_for) {
    leases_.try_emplace(request, Lease{now, stalled_for, false, 0});  // one that is held already is the older
}

void LeaseInvariant::on_decode_answered(Handle request) {
    if (const auto it = leases_.find(request); it != leases_.end()) it->second.decode_arrived = true;
}

void LeaseInvariant::on_decode_ended(Handle request, Millis now, Millis stalled_for) {
    const auto it = leases_.find(request);
    if (it != leases_.end() && it->second.decode_arrived) it->second = Lease{now, stalled_for, false, 0};
}

void LeaseInvariant::on_release_called(Handle request) {
    if (const auto it = leases_.find(request); it != leases_.end()) ++it->second.release_calls;
}

void LeaseInvariant::on_release_answered(Handle request, Millis sent) {
    const auto it = leases_.find(request);
    if (it != leases_.end() && it->second.since <= sent) leases_.erase(it);
}

Millis LeaseInvariant::allowed() const {
    return settings_.lease_release_timeout > 0 ? settings_.lease_release_timeout : kDefaultDuration;
}

bool LeaseInvariant::nothing_more_to_do(const Lease& lease) const {
    return lease.release_calls >= kMaxReleaseCalls || last_answer_at_ <= lease.since + allowed() / 2;
}

std::vector<LeaseInvariant::Overrun> LeaseInvariant::check(Millis now, Millis stalled_for) {
    std::vector<Overrun> overruns;
    if (now < next_check_) return overruns;
    next_check_ = now + kCheckInterval;
    const Millis limit = allowed() + kPlatformExtra + kMaxProcessDelay;
    for (auto it = leases_.begin(); it != leases_.end();) {
        const Lease& lease = it->second;
        const Millis age = now - lease.since - (stalled_for - lease.stalled_for);
        if (lease.decode_arrived || age <= limit) {
            ++it;
            continue;
        }
        if (nothing_more_to_do(lease)) {
            ++unanswered_;
        } else {
            overruns.push_back({it->first, age});
        }
        it = leases_.erase(it);
    }
    return overruns;
}

}  // namespace gorsenotch::control
