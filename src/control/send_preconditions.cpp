#include "control/send_preconditions.h"

namespace gorsenotch::control {

std::optional<SendDenial> may_send(const SendFacts& facts) {
    if (facts.request_over) return SendDenial::request_over;
    if (facts.client_left) return SendDenial::client_left;
    if (!facts.server) return SendDenial::not_listed;
    if (*facts.server != EndpointStatus::healthy) return SendDenial::not_up;
    if (facts.send_by > 0 && facts.now >= facts.send_by) return SendDenial::window_over;
    if (facts.deadline > 0 && facts.now >= facts.deadline) return SendDenial::deadline_over;
    if (facts.state_released) return SendDenial::state_released;
    return std::nullopt;
}

std::optional<CloseDenial> may_close(const CloseFacts& facts) {
    if (facts.request_open) return CloseDenial::request_open;
    if (facts.unread_bytes) return CloseDenial::unread_bytes;
    return std::nullopt;
}

}  // namespace gorsenotch::control
