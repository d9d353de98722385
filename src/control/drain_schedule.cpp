#include "control/drain_schedule.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::control {

namespace {
constexpr double kOpen = 0.88;   // and in which new requests are taken
constexpr double kLeft = 0.5;    // part of the time in which streams are left to end by themselves
constexpr Millis kStrays = 500;  // new connections keep coming for a while after the order to stop
constexpr Millis kSpare = 300;   // before the kill: the last answers have left, the last states are let go of
}  // namespace

DrainSchedule::DrainSchedule(Millis told, Millis killed, bool resume)
    : migrate_from_(told + kLeft * (killed - told)),
      stop_accepting_at_(std::min(told + kOpen * (killed - told), resume ? killed : told + kStrays)),
      answer_remaining_at_(std::max(migrate_from_, killed - kSpare)),
      last_migration_(migrate_from_) {}

std::size_t DrainSchedule::streams_to_migrate(Millis now, std::size_t open) {
    if (now >= answer_remaining_at_) return open;
    if (now <= last_migration_ || open == 0) return 0;
    // The same share of what is left in each stretch of the time that is left.
    const double share = (now - last_migration_) / (answer_remaining_at_ - last_migration_);
    const auto n = static_cast<std::size_t>(std::floor(share * static_cast<double>(open)));
    if (n > 0) last_migration_ = now;
    return std::min(n, open);
}

}  // namespace gorsenotch::control
