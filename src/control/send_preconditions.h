// Decides whether an attempt may be sent, or a client connection closed, from the facts at that moment. The
// code that performs the effect calls this right before it; no other code makes this decision. No I/O, no
// state; times are ms.
//
// control/invariant_checker verifies the effects afterwards and shares no code with this.
#pragma once

#include <array>
#include <optional>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// ---- before the first byte of an attempt is sent ----

// Why an attempt may not be sent.
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

// The facts right before the first byte of an attempt is sent.
struct SendPreconditions {
    bool request_over = false;         // the client has its final response
    bool client_disconnected = false;  // the client closed its connection, even if the close is still unread
    std::optional<EndpointStatus> endpoint_status;  // from the latest list; nullopt: not listed
    bool lease_released = false;  // a decode's KV cache was released after the attempt was decided
    Millis now = 0;
    Millis send_by = 0;   // the Router's bound for this attempt; 0: none
    Millis deadline = 0;  // of the request; 0: none
};
// Returns nullopt if the attempt may be sent, else the first reason against it in the order of the enum.
std::optional<SendBlockReason> check_send(const SendPreconditions& facts);

// ---- before a client connection is closed without a response ----

// Why a client connection may not be closed.
enum class CloseBlockReason { request_open, unread_bytes };
constexpr std::array<const char*, 2> kCloseBlockReasonNames = {"request_open", "unread_bytes"};

// The facts right before a client connection is closed without a response.
struct ClosePreconditions {
    bool request_open = false;  // a request was read, at least in part, and has no final response yet
    bool unread_bytes = false;  // received bytes wait in the socket
};
// Returns nullopt if the connection may be closed, else the first reason against it in the order of the enum.
std::optional<CloseBlockReason> check_close(const ClosePreconditions& facts);

}  // namespace gorsenotch::control
