#include "control/drain_schedule.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::control {

namespace {
constexpr double kAcceptFraction = 0.88;      // of the time until the kill, in which requests are accepted
constexpr double kUndisturbedFraction = 0.5;  // in which streams are left to end by themselves
// Without resumption: connections keep coming for this long after the order to stop.
constexpr Millis kLateArrivals = 500;
// Left before the kill, for the last responses and lease releases to go out.
constexpr Millis kFinalMargin = 300;
}  // namespace

DrainSchedule::DrainSchedule(Millis ordered_at, Millis kill_at, bool resume)
    : migrate_from_(ordered_at + kUndisturbedFraction * (kill_at - ordered_at)),
      stop_accepting_at_(std::min(ordered_at + kAcceptFraction * (kill_at - ordered_at),
                                  resume ? kill_at : ordered_at + kLateArrivals)),
      answer_remaining_at_(std::max(migrate_from_, kill_at - kFinalMargin)),
      last_migration_(migrate_from_) {}

std::size_t DrainSchedule::streams_to_migrate(Millis now, std::size_t open) {
    if (now >= answer_remaining_at_) return open;
    if (now <= last_migration_ || open == 0) return 0;
    // The same share of the open streams in each stretch of the remaining time.
    const double share = (now - last_migration_) / (answer_remaining_at_ - last_migration_);
    const auto count = static_cast<std::size_t>(std::floor(share * static_cast<double>(open)));
    if (count > 0) last_migration_ = now;
    return std::min(count, open);
}

}  // namespace gorsenotch::control
