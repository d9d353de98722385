#include "control/connection_reuse_policy.h"

namespace gorsenotch::control {
namespace {
constexpr double kCountDecayPerRequest = 0.99;
constexpr double kPriorUses = 20;  // successful uses assumed before any request
// Reused connections may break this much more often than new ones, as reuse saves a handshake.
constexpr double kMaxExtraBrokenFraction = 0.02;
constexpr double kTrialFraction = 0.03;  // reused regardless, to detect that reused connections work again
constexpr Millis kCooldown = 25;         // a surplus second response arrives within this time
constexpr Millis kShortIdleLimit = 500;
constexpr Millis kMediumIdleLimit = 3000;
}  // namespace

double ConnectionReusePolicy::UseCount::broken_fraction() const { return broken / (used + kPriorUses); }

std::size_t ConnectionReusePolicy::idle_bucket(Millis idle) {
    if (idle < kShortIdleLimit) return 0;
    if (idle < kMediumIdleLimit) return 1;
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
    count.used = kCountDecayPerRequest * count.used + 1;
    count.broken = kCountDecayPerRequest * count.broken + (broke ? 1 : 0);
}

}  // namespace gorsenotch::control
