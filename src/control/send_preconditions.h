// Whether an attempt may be sent, or a client's connection closed, now: the facts in, nothing or the reason
// against it out. Asked at the last moment before the effect by whoever carries it out; nobody else decides
// it. No I/O, no state; times are ms.
//
// What was done is checked by control/invariant_checker, which shares nothing with this.
#pragma once

#include <array>
#include <optional>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// ---- the first byte of an attempt is about to go out ----

// Why an attempt may not begin.
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

// What is known right before the first byte of an attempt.
struct SendPreconditions {
    bool request_over = false;         // its client has its final response
    bool client_disconnected = false;  // its connection has been closed, whether that was read or not
    std::optional<EndpointStatus> endpoint_status;  // as in the latest list; nothing: not listed
    bool lease_released = false;                    // a decode's KV cache was released since it was decided
    Millis now = 0;
    Millis send_by = 0;   // the Router's own bound; 0: none
    Millis deadline = 0;  // of the request; 0: none
};
// Nothing where the attempt may be sent, else the first reason against it in the order of the enum.
std::optional<SendBlockReason> check_send(const SendPreconditions& facts);

// ---- a client's connection is about to be closed without a response ----

// Why a client connection may not be closed.
enum class CloseBlockReason { request_open, unread_bytes };
constexpr std::array<const char*, 2> kCloseBlockReasonNames = {"request_open", "unread_bytes"};

// What is known right before a client connection is closed without an answer.
struct ClosePreconditions {
    bool request_open = false;  // one has been read, in part at least, and is owed a response
    bool unread_bytes = false;  // bytes have come that nobody has read
};
// Nothing where the connection may be closed, else the first reason against it in the order of the enum.
std::optional<CloseBlockReason> check_close(const ClosePreconditions& facts);

}  // namespace gorsenotch::control
