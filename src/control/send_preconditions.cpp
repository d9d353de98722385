#include "control/send_preconditions.h"

namespace gorsenotch::control {

std::optional<SendBlockReason> check_send(const SendPreconditions& facts) {
    if (facts.request_over) return SendBlockReason::request_over;
    if (facts.client_disconnected) return SendBlockReason::client_disconnected;
    if (!facts.endpoint_status) return SendBlockReason::not_listed;
    if (*facts.endpoint_status != EndpointStatus::healthy) return SendBlockReason::not_healthy;
    if (facts.send_by > 0 && facts.now >= facts.send_by) return SendBlockReason::send_window_over;
    if (facts.deadline > 0 && facts.now >= facts.deadline) return SendBlockReason::deadline_exceeded;
    if (facts.lease_released) return SendBlockReason::lease_released;
    return std::nullopt;
}

std::optional<CloseBlockReason> check_close(const ClosePreconditions& facts) {
    if (facts.request_open) return CloseBlockReason::request_open;
    if (facts.unread_bytes) return CloseBlockReason::unread_bytes;
    return std::nullopt;
}

}  // namespace gorsenotch::control
