// KvLease: what ends the lease, what does not, and when a release has to begin.
#include "control/kv_lease.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr EndpointId kPrefillEndpoint = 1;
constexpr EndpointId kDecodeEndpoint = 11;

struct KvLeaseTest : ::testing::Test {
    KvLease lease{1000};
    // A prefill that ended at `at`, and a decode whose bytes went out right after it.
    void prefill_then_decode(Millis at) {
        lease.on_attempt_begun(at - 50, kPrefillEndpoint, false);
        lease.on_attempt_ended(at, false);
        lease.on_acquired(at, LeaseOrigin::prefill_done, kPrefillEndpoint);
        lease.on_attempt_begun(at + 1, kDecodeEndpoint, true);
        lease.on_request_written(at + 1);
    }
};

TEST_F(KvLeaseTest, NothingIsHeldAtFirst) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    EXPECT_FALSE(lease.held());
    EXPECT_FALSE(lease.release_at());
    EXPECT_FALSE(lease.health_check_at());
}

// Found by an incident with silent prefill endpoints: a prefill had ended, and its response was lost.
TEST_F(KvLeaseTest, AnUnansweredPrefillGetsAHealthCheckAndThenARelease) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10);
    EXPECT_TRUE(lease.only_unanswered_prefill());
    EXPECT_EQ(lease.health_check_at(), 460);
    EXPECT_EQ(lease.release_at(), 710);
    lease.on_health_check_sent();
    EXPECT_FALSE(lease.health_check_at()) << "once";
    lease.on_endpoint_answered(470);
    EXPECT_EQ(lease.health_check_at(), 920) << "the response counts for that moment alone";
    EXPECT_EQ(lease.release_at(), 1170);
    lease.on_release_begun(1170);
    lease.on_release_answered(1180);
    EXPECT_EQ(lease.release_at(), 1880) << "what it may leave after that is to be released as well";
    lease.on_attempt_ended(1900, true);
    EXPECT_FALSE(lease.held()) << "it never ran";
}

// Found by the soak: the beginning of a prefill's response came, and the rest was lost.
TEST_F(KvLeaseTest, APrefillWhoseResponseHasOnlyBegunHasEnded) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10);
    lease.on_attempt_answered(100);
    EXPECT_FALSE(lease.health_check_at()) << "its endpoint has answered: no health check is needed";
    EXPECT_EQ(lease.release_at(), 800);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 800);
}

TEST_F(KvLeaseTest, NoHealthCheckBeforeWhatPrefillsUsuallyTake) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10, 2000);
    EXPECT_EQ(lease.health_check_at(), 2000);
    EXPECT_EQ(lease.release_at(), 2250);
    lease.on_attempt_answered(300);
    EXPECT_EQ(lease.release_at(), 1000) << "once its response has begun it has ended";
}

TEST_F(KvLeaseTest, AResponseElsewhereProvesNothingForADecode) {
    prefill_then_decode(100);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 700);
}

// Found in the incident of 2026-12-02: decodes lay in the kernel's buffers until the client's deadline.
TEST_F(KvLeaseTest, BytesOnlyWrittenDoNotStopTheLease) {
    prefill_then_decode(100);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, AByteOfAResponseStopsItAndTheEndOfThatAttemptStartsItAnew) {
    prefill_then_decode(100);
    lease.on_attempt_answered(300);
    EXPECT_FALSE(lease.release_at());
    lease.on_attempt_ended(900, false);
    EXPECT_TRUE(lease.held());
    EXPECT_EQ(lease.release_at(), 1500);
}

TEST_F(KvLeaseTest, AnAttemptThatEndsUnprovedDoesNotStartItAnew) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(401, kDecodeEndpoint + 1, true);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, ADecodeThatBeginsLateHasTimeToArrive) {
    prefill_then_decode(100);
    lease.on_attempt_ended(690, false);
    lease.on_attempt_begun(691, kDecodeEndpoint, true);
    EXPECT_EQ(lease.release_at(), 791);
    lease.on_attempt_ended(790, false);
    lease.on_attempt_begun(791, kDecodeEndpoint + 1, true);
    EXPECT_EQ(lease.release_at(), 891);
    lease.on_attempt_ended(890, false);
    lease.on_attempt_begun(891, kDecodeEndpoint + 2, true);
    EXPECT_EQ(lease.release_at(), 900) << "but the time in which it may is bounded";
}

TEST_F(KvLeaseTest, AStreamThatHasBegunLeavesNothingHeld) {
    prefill_then_decode(100);
    lease.on_attempt_answered(200);
    lease.on_taken();
    lease.on_attempt_ended(5000, false);
    EXPECT_FALSE(lease.held());
    EXPECT_FALSE(lease.release_at());
}

TEST_F(KvLeaseTest, AnAnsweredReleaseEndsItAndAnUnansweredOneDoesNot) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_release_begun(400);
    EXPECT_FALSE(lease.release_at()) << "the release itself goes on";
    lease.on_release_failed();
    EXPECT_EQ(lease.release_at(), 700);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    EXPECT_FALSE(lease.held());
}

// A release leaves alone what a decode that has arrived waits for: it is held again as that decode ends.
TEST_F(KvLeaseTest, WhatADecodeMayHaveWaitedForIsHeldAgainAsThatEnds) {
    prefill_then_decode(100);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    EXPECT_FALSE(lease.held());
    lease.on_attempt_ended(2000, false);
    EXPECT_TRUE(lease.held());
    EXPECT_EQ(lease.release_at(), 2600);
}

// Found by the soak: a release overtook, on another connection, the close of the decode right before it.
TEST_F(KvLeaseTest, AReleaseMayOvertakeTheEndOfADecodeSoOneIsNotEnough) {
    prefill_then_decode(100);
    EXPECT_FALSE(lease.uncertain());
    lease.on_attempt_ended(300, false);
    EXPECT_TRUE(lease.uncertain());
    lease.on_release_begun(300);
    lease.on_release_answered(310);
    EXPECT_FALSE(lease.uncertain());
    prefill_then_decode(400);
    lease.on_attempt_answered(450);
    lease.on_attempt_ended(450, true);
    EXPECT_FALSE(lease.uncertain()) << "it was rejected: its endpoint has done with it";
}

TEST_F(KvLeaseTest, ADecodeThatWasNotWrittenCanNotHaveWaited) {
    lease.on_acquired(100, LeaseOrigin::prefill_done, kPrefillEndpoint);
    lease.on_attempt_begun(110, kDecodeEndpoint, true);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    lease.on_attempt_ended(800, false);
    EXPECT_FALSE(lease.held());
    EXPECT_TRUE(lease.released_since(110));
    EXPECT_FALSE(lease.released_since(900));
}

TEST_F(KvLeaseTest, APrefillInFlightDoesNotStopTheLeaseOfAnEarlierOne) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(410, kPrefillEndpoint + 1, false);
    lease.on_request_written(411);
    EXPECT_EQ(lease.release_at(), 800);
    lease.on_attempt_answered(650);
    lease.on_attempt_ended(650, false);
    lease.on_acquired(650, LeaseOrigin::prefill_done, kPrefillEndpoint + 1);
    EXPECT_EQ(lease.release_at(), 1250) << "an answered attempt was in flight: the lease runs from its end";
}

TEST_F(KvLeaseTest, ALostPrefillMayLeaveSomethingLater) {
    lease.on_attempt_begun(50, kPrefillEndpoint, false);
    lease.on_attempt_ended(100, false);
    lease.on_acquired(100, LeaseOrigin::prefill_lost, kPrefillEndpoint);
    EXPECT_TRUE(lease.held());
    EXPECT_TRUE(lease.uncertain());
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, ASlotIsHeldFromItsRequestOn) {
    lease.on_acquired(100, LeaseOrigin::slot_requested, kDecodeEndpoint);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST(KvLeaseSettings, AnUnsetTimeMeansASecondAndAShortOneIsKept) {
    for (const Millis unset : {0.0, -5.0}) {
        KvLease lease(unset);
        lease.on_acquired(0, LeaseOrigin::prefill_done, kPrefillEndpoint);
        EXPECT_EQ(lease.release_at(), 600);
    }
    KvLease lease(300);
    lease.on_acquired(0, LeaseOrigin::prefill_done, kPrefillEndpoint);
    EXPECT_EQ(lease.release_at(), 180);
}

}  // namespace
}  // namespace gorsenotch::control
