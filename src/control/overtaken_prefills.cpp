#include "control/overtaken_prefills.h"

#include <algorithm>

namespace gorsenotch::control {
namespace {

constexpr std::size_t kMaxPrefillsPerEndpoint = 8;

}  // namespace

void OvertakenPrefills::on_prefill_answered(EndpointId endpoint, Millis sent_at, double prompt_tokens) {
    std::deque<AnsweredPrefill>& answered = answered_[endpoint];
    answered.push_back({sent_at, prompt_tokens});
    if (answered.size() > kMaxPrefillsPerEndpoint) answered.pop_front();
}

bool OvertakenPrefills::is_overtaken(EndpointId endpoint, Millis sent_at, double prompt_tokens) const {
    const auto found = answered_.find(endpoint);
    if (found == answered_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const AnsweredPrefill& answered) {
        return answered.sent_at > sent_at && answered.prompt_tokens >= prompt_tokens;
    });
}

void OvertakenPrefills::forget_endpoints(const std::function<bool(EndpointId)>& is_unlisted) {
    std::erase_if(answered_, [&](const auto& entry) { return is_unlisted(entry.first); });
}

}  // namespace gorsenotch::control
