#include "control/connection_reuse_policy.h"

namespace gorsenotch::control {
namespace {
constexpr double kDecay = 0.99;              // of what was seen, with each new one
constexpr double kPriorUses = 20;            // whole ones that are taken as seen at the start
constexpr double kMaxBrokenFraction = 0.02;  // more breaks than on new ones that a handshake saved is worth
constexpr double kTrialFraction = 0.03;      // of those not worth it are used all the same, to see them heal
constexpr Millis kCooldown = 25;             // in which a second answer behind the first shows itself
constexpr Millis kShortIdle = 500, kLongIdle = 3000;
}  // namespace

double ConnectionReusePolicy::UseCount::broken_fraction() const { return broken / (used + kPriorUses); }

std::size_t ConnectionReusePolicy::idle_bucket(Millis idle) {
    return idle < kShortIdle ? 0 : idle < kLongIdle ? 1 : 2;
}

bool ConnectionReusePolicy::should_reuse(Millis idle, double draw) const {
    if (idle < kCooldown) return false;
    return draw < kTrialFraction || reused_connections_[idle_bucket(idle)].broken_fraction() <=
                                        new_connections_.broken_fraction() + kMaxBrokenFraction;
}

void ConnectionReusePolicy::on_request_ended(Millis idle, bool broke) {
    UseCount& s = idle < 0 ? new_connections_ : reused_connections_[idle_bucket(idle)];
    s.used = kDecay * s.used + 1;
    s.broken = kDecay * s.broken + broke;
}

}  // namespace gorsenotch::control
