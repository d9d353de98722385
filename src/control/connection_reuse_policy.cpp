#include "control/connection_reuse_policy.h"

namespace gorsenotch::control {
namespace {
constexpr double kFade = 0.99;   // of what was seen, with each new one
constexpr double kFirst = 20;    // whole ones that are taken as seen at the start
constexpr double kWorth = 0.02;  // more breaks than on new ones that a handshake saved is worth
constexpr double kTrial = 0.03;  // of those not worth it are used all the same, to see them heal
constexpr Millis kRest = 25;     // in which a second answer behind the first shows itself
constexpr Millis kShort = 500, kLong = 3000;
}  // namespace

double Reuse::Seen::share() const { return broke / (used + kFirst); }

std::size_t Reuse::span(Millis idle) { return idle < kShort ? 0 : idle < kLong ? 1 : 2; }

bool Reuse::worth(Millis idle, double draw) const {
    if (idle < kRest) return false;
    return draw < kTrial || kept_[span(idle)].share() <= fresh_.share() + kWorth;
}

void Reuse::ended(Millis idle, bool broke) {
    Seen& s = idle < 0 ? fresh_ : kept_[span(idle)];
    s.used = kFade * s.used + 1;
    s.broke = kFade * s.broke + broke;
}

}  // namespace gorsenotch::control
