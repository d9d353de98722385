#include "control/endpoint_incarnation.h"

#include <algorithm>

namespace gorsenotch::control {
namespace {
constexpr Millis kForgetAfter = 60000;    // without being listed
constexpr std::size_t kMaxUnlisted = 64;  // beside the listed ones; these cost nothing
constexpr Millis kEarliestStart = 1e-3;   // above 0, which stands for long ago
}  // namespace

Millis EndpointIncarnations::on_listed(const std::string& name, double incarnation, Millis now) {
    const auto [it, is_new] = known_.try_emplace(name);
    Known& known = it->second;
    known.last_listed = now;
    if (!is_new && known.incarnation == incarnation) return known.started_at;
    known.incarnation = incarnation;
    known.started_at = started_at(incarnation, now);
    return known.started_at;
}

Millis EndpointIncarnations::started_at(double incarnation, Millis now) const {
    if (incarnation <= 0) return 0;
    if (watching_) return now;
    return std::max(kEarliestStart, incarnation + clock_offset_);
}

void EndpointIncarnations::forget(std::size_t listed, Millis now) {
    if (known_.size() <= 2 * listed + kMaxUnlisted) return;
    std::erase_if(known_, [now](const auto& entry) { return now - entry.second.last_listed > kForgetAfter; });
}

}  // namespace gorsenotch::control
