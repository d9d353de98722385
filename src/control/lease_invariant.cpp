#include "control/lease_invariant.h"

#include "control/process_delay.h"

namespace gorsenotch::control {
namespace {
// The platform tolerates leases that exceed the setting by this much.
constexpr Millis kPlatformTolerance = 300;
constexpr Millis kCheckInterval = 50;
constexpr int kMaxReleaseCalls = 3;        // with this many unanswered, endpoints count as unresponsive
constexpr Millis kDefaultDuration = 1000;  // if the settings give no release time-out
}  // namespace

void LeaseInvariant::on_prefill_answered(Handle request, Millis now, Millis stalled_for) {
    leases_.try_emplace(request, Lease{now, stalled_for, false, 0});  // keeps an existing, older lease
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

void LeaseInvariant::on_release_answered(Handle request, Millis sent_at) {
    const auto it = leases_.find(request);
    if (it != leases_.end() && it->second.acquired_at <= sent_at) leases_.erase(it);
}

Millis LeaseInvariant::allowed_duration() const {
    return settings_.lease_release_timeout > 0 ? settings_.lease_release_timeout : kDefaultDuration;
}

bool LeaseInvariant::endpoints_unresponsive(const Lease& lease) const {
    return lease.release_calls >= kMaxReleaseCalls ||
           last_answer_at_ <= lease.acquired_at + allowed_duration() / 2;
}

std::vector<LeaseInvariant::Overrun> LeaseInvariant::check(Millis now, Millis stalled_for) {
    std::vector<Overrun> overruns;
    if (now < next_check_) return overruns;
    next_check_ = now + kCheckInterval;
    const Millis limit = allowed_duration() + kPlatformTolerance + kMaxProcessDelay;
    for (auto it = leases_.begin(); it != leases_.end();) {
        const Lease& lease = it->second;
        const Millis age = now - lease.acquired_at - (stalled_for - lease.stalled_for);
        if (lease.decode_arrived || age <= limit) {
            ++it;
            continue;
        }
        if (endpoints_unresponsive(lease)) {
            ++unanswered_;
        } else {
            overruns.push_back({it->first, age});
        }
        it = leases_.erase(it);
    }
    return overruns;
}

}  // namespace gorsenotch::control
