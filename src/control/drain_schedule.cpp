#include "control/drain_schedule.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::control {

namespace {
// Fractions of the time from the order to stop until the kill.
constexpr double kAcceptFraction = 0.88;      // new requests are accepted
constexpr double kNoMigrationFraction = 0.5;  // streams get time to end by themselves
// New connections arrive for this long after the order to stop; used where clients do not resume streams.
constexpr Millis kLateArrivalWindow = 500;
// For reading the requests that arrived before the listener was closed. Together with kLateArrivalWindow and
// the 0.15 s for which a process may be held up, at most the 0.7 s up to which the platform excuses what the
// kill cuts off.
constexpr Millis kReadAllowance = 50;
// Reserved before the kill for sending the last responses and lease releases.
constexpr Millis kFinalMargin = 300;
}  // namespace

DrainSchedule::DrainSchedule(Millis ordered_at, Millis kill_at, bool resume)
    : migrate_from_(ordered_at + kNoMigrationFraction * (kill_at - ordered_at)),
      stop_accepting_at_(std::min(ordered_at + kAcceptFraction * (kill_at - ordered_at),
                                  resume ? kill_at : ordered_at + kLateArrivalWindow)),
      answer_remaining_at_(std::max(migrate_from_, kill_at - kFinalMargin)),
      last_migration_(migrate_from_) {}

Millis DrainSchedule::refuse_requests_from() const {
    return std::min(stop_accepting_at_ + kReadAllowance, answer_remaining_at_);
}

std::size_t DrainSchedule::streams_to_migrate(Millis now, std::size_t open_streams) {
    if (now >= answer_remaining_at_) return open_streams;
    if (now <= last_migration_ || open_streams == 0) return 0;
    // Spreads the open streams evenly over the remaining time.
    const double share = (now - last_migration_) / (answer_remaining_at_ - last_migration_);
    const auto count = static_cast<std::size_t>(std::floor(share * static_cast<double>(open_streams)));
    if (count > 0) last_migration_ = now;
    return std::min(count, open_streams);
}

}  // namespace gorsenotch::control
