#include "router/settings_validation.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace gorsenotch::router {
namespace {

void require(bool condition, const char* requirement) {
    if (!condition) throw std::invalid_argument(std::string("gorsenotch settings: ") + requirement);
}

void validate_kinds(const Settings& settings) {
    const auto can_prefill = [](const KindSettings& kind) { return kind.role != Role::decode; };
    const auto can_decode = [](const KindSettings& kind) { return kind.role != Role::prefill; };
    const auto& kinds = settings.kinds;
    const bool prefill = settings.local_prefill || std::any_of(kinds.begin(), kinds.end(), can_prefill);
    require(prefill && std::any_of(kinds.begin(), kinds.end(), can_decode),
            "kinds: at least one must prefill and at least one must decode");
}

}  // namespace

void validate_settings(const Settings& settings) {
    require(!settings.classes.empty(), "classes: expected at least one, got none");
    require(!settings.kinds.empty(), "kinds: expected at least one, got none");
    validate_kinds(settings);
    for (const ClassSettings& class_settings : settings.classes) {
        require(class_settings.latency_objective > 0, "classes: latency_objective must be above 0");
        require(class_settings.deadline > 0, "classes: deadline must be above 0");
    }
    require(settings.gateways > 0, "gateways: expected at least 1");
    require(settings.max_attempts > 0, "max_attempts: expected at least 1");
}

}  // namespace gorsenotch::router
