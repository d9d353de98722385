// Whether something may be sent, closed or taken now: the facts in, a permit or the reason against it out.
// Asked at the last moment before the effect, by whoever carries it out; nobody else decides it. No I/O, no
// state; times are ms.
//
// What was done is checked by control/invariant_checker, which shares nothing with this.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

// ---- an attempt: its first byte is about to go out ----

enum class SendBlockReason {
    request_over,
    client_disconnected,
    not_listed,
    not_healthy,
    send_window_over,
    deadline_exceeded,
    lease_released
};
constexpr std::array<const char*, 7> kSendBlockReasonNames = {
    "request_over",     "client_disconnected", "not_listed",    "not_healthy",
    "send_window_over", "deadline_exceeded",   "lease_released"};

struct SendPreconditions {
    bool request_over = false;         // its client has its final answer
    bool client_disconnected = false;  // its connection has been closed, whether that was read or not
    std::optional<EndpointStatus> endpoint_status;  // as the latest list has it
    bool lease_released = false;  // a write whose read state was let go of since it was decided
    Millis now = 0;
    Millis send_by = 0;   // the module's own bound; 0: none
    Millis deadline = 0;  // when the client's time is over
};
std::optional<SendBlockReason> check_send(const SendPreconditions& facts);

// ---- a client's connection: it is about to be ended without an answer ----

enum class CloseBlockReason { request_open, unread_bytes };
constexpr std::array<const char*, 2> kCloseBlockReasonNames = {"request_open", "unread_bytes"};

struct ClosePreconditions {
    bool request_open = false;  // one has been read, in part at least, and is owed an answer
    bool unread_bytes = false;  // something has come that nobody has read
};
std::optional<CloseBlockReason> check_close(const ClosePreconditions& facts);

}  // namespace gorsenotch::control
