#include "control/endpoint_incarnation.h"

#include <algorithm>

namespace gorsenotch::control {
namespace {
constexpr Millis kForgotten = 60000;  // ms without being listed
constexpr std::size_t kFew = 64;      // so many more than are listed cost nothing
}  // namespace

Millis StartTimes::listed(const std::string& name, double born, Millis now) {
    const auto [it, first] = known_.try_emplace(name);
    Known& known = it->second;
    known.listed = now;
    if (!first && known.born == born) return known.started;
    known.born = born;
    if (born <= 0) {
        known.started = 0;
    } else if (watching_) {
        known.started = now;
    } else {
        known.started = std::max(1e-3, born + offset_);
    }
    return known.started;
}

void StartTimes::forget(std::size_t listed, Millis now) {
    if (known_.size() <= 2 * listed + kFew) return;
    std::erase_if(known_, [now](const auto& entry) { return now - entry.second.listed > kForgotten; });
}

}  // namespace gorsenotch::control
