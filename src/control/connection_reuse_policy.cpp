#include "control/connection_reuse_policy.h"

namespace gorsenotch::control {
namespace {
constexpr double kDecay = 0.99;    // of the counts, with each request
constexpr double kPriorUses = 20;  // unbroken uses assumed at the start
// Reused connections may break more often than new ones by this much: what a saved handshake is worth.
constexpr double kMaxExtraBrokenFraction = 0.02;
constexpr double kTrialFraction = 0.03;  // reused all the same, to notice that they no longer break
constexpr Millis kCooldown = 25;         // in which a second response behind the first shows itself
constexpr Millis kShortIdle = 500;
constexpr Millis kLongIdle = 3000;
}  // namespace

double ConnectionReusePolicy::UseCount::broken_fraction() const { return broken / (used + kPriorUses); }

std::size_t ConnectionReusePolicy::idle_bucket(Millis idle) {
    if (idle < kShortIdle) return 0;
    if (idle < kLongIdle) return 1;
    return 2;
}

bool ConnectionReusePolicy::should_reuse(Millis idle, double draw) const {
    if (idle < kCooldown) return false;
    if (draw < kTrialFraction) return true;
    const double reused = reused_connections_[idle_bucket(idle)].broken_fraction();
    return reused <= new_connections_.broken_fraction() + kMaxExtraBrokenFraction;
}

void ConnectionReusePolicy::on_request_ended(Millis idle, bool broke) {
    UseCount& count = idle < 0 ? new_connections_ : reused_connections_[idle_bucket(idle)];
    count.used = kDecay * count.used + 1;
    count.broken = kDecay * count.broken + (broke ? 1 : 0);
}

}  // namespace gorsenotch::control
