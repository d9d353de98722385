#include "gateway/open_request.h"

#include <algorithm>

namespace gorsenotch::gateway {

const char* name(EndReason reason) {
    switch (reason) {
        case EndReason::none:
            return "";
        case EndReason::served:
            return "served";
        case EndReason::broken:
            return "broken";
        case EndReason::too_long:
            return "too_long";
        case EndReason::refused:
            return "refused";
        case EndReason::failed:
            return "failed";
        case EndReason::client_gone:
            return "client_gone";
    }
    return "";
}

const char* name(AttemptResult result) {
    switch (result) {
        case AttemptResult::served:
            return "served";
        case AttemptResult::error:
            return "error";
        case AttemptResult::rejected:
            return "rejected";
        case AttemptResult::timed_out:
            return "timed_out";
        case AttemptResult::unreachable:
            return "unreachable";
        case AttemptResult::reset:
            return "reset";
        case AttemptResult::cancelled:
            return "cancelled";
        case AttemptResult::not_sent:
            return "not_sent";
        case AttemptResult::prefill_done:
            return "prefill_done";
    }
    return "unknown";
}

bool OpenRequest::has_attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptState& attempt) { return attempt.in_flight(); });
}

bool OpenRequest::has_decode_pending() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const AttemptState& attempt) {
        return attempt.in_flight() && !attempt.is_prefill && !attempt.streaming();
    });
}

void OpenRequest::clear_kv_state() {
    if (!kv_state) return;
    std::erase(prefill_attempts, kv_state->attempt);
    kv_state.reset();
}

AttemptState* find_attempt(OpenRequest* request, int attempt) {
    if (!request || attempt < 0 || static_cast<std::size_t>(attempt) >= request->attempts.size())
        return nullptr;
    return &request->attempts[static_cast<std::size_t>(attempt)];
}

}  // namespace gorsenotch::gateway
