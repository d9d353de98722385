#include "control/endpoint_incarnation.h"

#include <algorithm>

namespace gorsenotch::control {
namespace {
constexpr Millis kForgotten = 60000;  // ms without being listed
constexpr std::size_t kFew = 64;      // so many more than are listed cost nothing
}  // namespace

Millis EndpointIncarnations::on_listed(const std::string& name, double born, Millis now) {
    const auto [it, first] = known_.try_emplace(name);
    Known& known = it->second;
    known.last_listed = now;
    if (!first && known.incarnation == born) return known.started_at;
    known.incarnation = born;
    if (born <= 0) {
        known.started_at = 0;
    } else if (watching_) {
        known.started_at = now;
    } else {
        known.started_at = std::max(1e-3, born + clock_offset_);
    }
    return known.started_at;
}

void EndpointIncarnations::forget(std::size_t listed, Millis now) {
    if (known_.size() <= 2 * listed + kFew) return;
    std::erase_if(known_, [now](const auto& entry) { return now - entry.second.last_listed > kForgotten; });
}

}  // namespace gorsenotch::control
