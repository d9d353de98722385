// The preconditions of sending an attempt and of closing a client connection: one case for each reason.
#include "control/send_preconditions.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

SendPreconditions permitted() {
    SendPreconditions facts;
    facts.endpoint_status = EndpointStatus::healthy;
    facts.now = 1000;
    facts.deadline = 5000;
    return facts;
}

TEST(CheckSend, EachReasonIsReturned) {
    EXPECT_FALSE(check_send(permitted()));
    auto facts = permitted();
    facts.request_over = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::request_over);
    facts = permitted();
    facts.client_disconnected = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::client_disconnected);
    facts = permitted();
    facts.endpoint_status.reset();
    EXPECT_EQ(check_send(facts), SendBlockReason::not_listed);
    for (const EndpointStatus status : {EndpointStatus::draining, EndpointStatus::removed}) {
        facts = permitted();
        facts.endpoint_status = status;
        EXPECT_EQ(check_send(facts), SendBlockReason::not_healthy);
    }
    facts = permitted();
    facts.send_by = 1000;
    EXPECT_EQ(check_send(facts), SendBlockReason::send_window_over);
    facts.send_by = 1000.5;
    EXPECT_FALSE(check_send(facts));
    facts = permitted();
    facts.now = 5000;
    EXPECT_EQ(check_send(facts), SendBlockReason::deadline_exceeded);
}

TEST(CheckClose, AConnectionWithAnOpenRequestOrUnreadBytesIsNotClosed) {
    EXPECT_FALSE(check_close({false, false}));
    EXPECT_EQ(check_close({true, false}), CloseBlockReason::request_open);
    EXPECT_EQ(check_close({false, true}), CloseBlockReason::unread_bytes);
}

TEST(CheckSend, ADecodeIsNotSentForAReleasedLease) {
    auto facts = permitted();
    facts.lease_released = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::lease_released);
}

TEST(CheckSend, WithoutTimeLimitsTheClockDoesNotMatter) {
    auto facts = permitted();
    facts.now = 1e9;
    facts.deadline = 0;
    facts.send_by = 0;
    EXPECT_FALSE(check_send(facts));
}

TEST(CheckSend, TheFirstReasonIsReturned) {
    SendPreconditions facts;
    facts.request_over = true;
    facts.client_disconnected = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::request_over);
    facts.request_over = false;
    EXPECT_EQ(check_send(facts), SendBlockReason::client_disconnected);
    facts.client_disconnected = false;
    EXPECT_EQ(check_send(facts), SendBlockReason::not_listed);
}

TEST(CheckSend, EachReasonHasItsName) {
    EXPECT_STREQ(kSendBlockReasonNames[static_cast<std::size_t>(SendBlockReason::request_over)],
                 "request_over");
    EXPECT_STREQ(kSendBlockReasonNames[static_cast<std::size_t>(SendBlockReason::lease_released)],
                 "lease_released");
    EXPECT_STREQ(kCloseBlockReasonNames[static_cast<std::size_t>(CloseBlockReason::unread_bytes)],
                 "unread_bytes");
}

}  // namespace
}  // namespace gorsenotch::control
