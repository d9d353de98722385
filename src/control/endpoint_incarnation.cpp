#include "control/endpoint_incarnation.h"

#include <algorithm>

namespace gorsenotch::control {
namespace {
constexpr Millis kUnlistedRetention = 60000;
constexpr std::size_t kMaxUnlisted = 64;  // kept in any case, as so few cost little memory
constexpr Millis kEarliestStart = 1e-3;   // above 0, which means long ago
}  // namespace

Millis EndpointIncarnations::on_listed(const std::string& name, double incarnation, Millis now) {
    const auto [it, is_new] = entries_.try_emplace(name);
    Entry& tracked = it->second;
    tracked.last_listed = now;
    if (!is_new && tracked.incarnation == incarnation) return tracked.started_at;
    tracked.incarnation = incarnation;
    tracked.started_at = started_at(incarnation, now);
    return tracked.started_at;
}

Millis EndpointIncarnations::started_at(double incarnation, Millis now) const {
    if (incarnation <= 0) return 0;
    if (full_list_received_) return now;
    return std::max(kEarliestStart, incarnation + clock_offset_);
}

void EndpointIncarnations::drop_unlisted(std::size_t listed, Millis now) {
    if (entries_.size() <= 2 * listed + kMaxUnlisted) return;
    std::erase_if(entries_,
                  [now](const auto& entry) { return now - entry.second.last_listed > kUnlistedRetention; });
}

}  // namespace gorsenotch::control
