// LeaseLedger: which events end or extend the lease, and when a release must begin.
#include "control/lease_ledger.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr EndpointId kPrefillEndpoint = 1;
constexpr EndpointId kDecodeEndpoint = 11;

struct LeaseLedgerTest : ::testing::Test {
    LeaseLedger lease{1000};
    // A prefill that ends at `at`, followed by a decode that is written 1 ms later.
    void prefill_then_decode(Millis at) {
        lease.on_attempt_begun(at - 50, kPrefillEndpoint, false);
        lease.on_attempt_ended(at, false);
        lease.on_acquired(at, LeaseOrigin::prefill_done, kPrefillEndpoint);
        lease.on_attempt_begun(at + 1, kDecodeEndpoint, true);
        lease.on_request_written(at + 1);
    }
};

TEST_F(LeaseLedgerTest, NothingIsHeldAtFirst) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    EXPECT_FALSE(lease.is_held());
    EXPECT_FALSE(lease.release_at());
    EXPECT_FALSE(lease.health_check_at());
}

// Guards against a KV cache that is never released after a prefill ended and its response was lost; seen with
// unresponsive prefill endpoints.
TEST_F(LeaseLedgerTest, AnUnansweredPrefillGetsAHealthCheckAndThenARelease) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10);
    EXPECT_TRUE(lease.only_prefill_in_flight());
    EXPECT_EQ(lease.health_check_at(), 460);
    EXPECT_EQ(lease.release_at(), 710);
    lease.on_health_check_sent();
    EXPECT_FALSE(lease.health_check_at()) << "sent once";
    lease.on_endpoint_answered(470);
    EXPECT_EQ(lease.health_check_at(), 920) << "the response proves only that the prefill was in flight then";
    EXPECT_EQ(lease.release_at(), 1170);
    lease.on_release_begun(1170);
    lease.on_release_answered(1180, 1170);
    EXPECT_EQ(lease.release_at(), 1880) << "the prefill may store its KV cache after the first release";
    lease.on_attempt_ended(1900, true);
    EXPECT_FALSE(lease.is_held()) << "the prefill never ran";
}

// Guards against a lease that treats a prefill as in flight when its response began and the rest was lost;
// found by the soak test.
TEST_F(LeaseLedgerTest, APrefillHasEndedOnceItsResponseBegins) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10);
    lease.on_attempt_answered(100);
    EXPECT_FALSE(lease.health_check_at()) << "the endpoint has answered";
    EXPECT_EQ(lease.release_at(), 800);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 800);
}

TEST_F(LeaseLedgerTest, NoHealthCheckIsSentWithinTheUsualPrefillDuration) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10, 2000);
    EXPECT_EQ(lease.health_check_at(), 2000);
    EXPECT_EQ(lease.release_at(), 2250);
    lease.on_attempt_answered(300);
    EXPECT_EQ(lease.release_at(), 1000) << "the prefill has ended once its response begins";
}

TEST_F(LeaseLedgerTest, AnotherResponseOfTheEndpointProvesNothingForADecode) {
    prefill_then_decode(100);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 700);
}

// Guards against taking a write as proof: in the incident of 2026-12-02 written decodes stayed in the
// kernel's buffers until the client's deadline, and their KV caches were not released.
TEST_F(LeaseLedgerTest, WritingADecodeDoesNotStopTheLease) {
    prefill_then_decode(100);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(LeaseLedgerTest, AResponseByteStopsTheLeaseAndTheEndOfThatAttemptRestartsIt) {
    prefill_then_decode(100);
    lease.on_attempt_answered(300);
    EXPECT_FALSE(lease.release_at());
    lease.on_attempt_ended(900, false);
    EXPECT_TRUE(lease.is_held());
    EXPECT_EQ(lease.release_at(), 1500);
}

TEST_F(LeaseLedgerTest, AnAttemptThatEndsUnprovedDoesNotRestartTheLease) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(401, kDecodeEndpoint + 1, true);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(LeaseLedgerTest, ADecodeThatBeginsLateGetsTimeToArrive) {
    prefill_then_decode(100);
    lease.on_attempt_ended(690, false);
    lease.on_attempt_begun(691, kDecodeEndpoint, true);
    EXPECT_EQ(lease.release_at(), 791);
    lease.on_attempt_ended(790, false);
    lease.on_attempt_begun(791, kDecodeEndpoint + 1, true);
    EXPECT_EQ(lease.release_at(), 891);
    lease.on_attempt_ended(890, false);
    lease.on_attempt_begun(891, kDecodeEndpoint + 2, true);
    EXPECT_EQ(lease.release_at(), 900) << "the extra time is bounded";
}

TEST_F(LeaseLedgerTest, AStreamThatHasBegunEndsTheLease) {
    prefill_then_decode(100);
    lease.on_attempt_answered(200);
    lease.on_resource_taken();
    lease.on_attempt_ended(5000, false);
    EXPECT_FALSE(lease.is_held());
    EXPECT_FALSE(lease.release_at());
}

TEST_F(LeaseLedgerTest, AnAnsweredReleaseEndsTheLeaseAndAnUnansweredOneDoesNot) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_close_proved(400, lease.latest_attempt());
    lease.on_release_begun(400);
    EXPECT_FALSE(lease.release_at()) << "a release is already in progress";
    lease.on_release_failed();
    EXPECT_EQ(lease.release_at(), 700);
    lease.on_release_begun(700);
    lease.on_release_answered(700, 700);
    EXPECT_FALSE(lease.is_held());
}

// A release does not free a KV cache that an arrived decode waits for, so it is still held when that decode
// ends.
TEST_F(LeaseLedgerTest, AKvCacheThatADecodeMayHaveWaitedForIsHeldAgainWhenTheDecodeEnds) {
    prefill_then_decode(100);
    lease.on_release_begun(700);
    lease.on_release_answered(700, 700);
    EXPECT_FALSE(lease.is_held());
    lease.on_attempt_ended(2000, false);
    EXPECT_TRUE(lease.is_held());
    EXPECT_EQ(lease.release_at(), 2600);
}

// Guards against relying on a single release: on another connection it can overtake the close of the decode
// before it, and then it frees nothing. Found by the soak test.
TEST_F(LeaseLedgerTest, OneReleaseIsNotEnoughAsItMayOvertakeTheCloseOfADecode) {
    prefill_then_decode(100);
    EXPECT_FALSE(lease.needs_second_release());
    lease.on_attempt_ended(300, false);
    EXPECT_TRUE(lease.needs_second_release());
    lease.on_release_begun(300);
    lease.on_release_answered(310, 300);
    EXPECT_TRUE(lease.needs_second_release()) << "the first release may have freed nothing";
    EXPECT_EQ(lease.release_at(), 1000);
    lease.on_release_begun(1000);
    lease.on_release_answered(1010, 1000);
    EXPECT_FALSE(lease.is_held());
    EXPECT_FALSE(lease.needs_second_release());
    prefill_then_decode(1100);
    lease.on_attempt_answered(1150);
    lease.on_attempt_ended(1150, true);
    EXPECT_FALSE(lease.needs_second_release())
        << "the decode was rejected, so it does not wait at its endpoint";
}

TEST_F(LeaseLedgerTest, AReleaseIsFinalForADecodeThatWasNotWritten) {
    lease.on_acquired(100, LeaseOrigin::prefill_done, kPrefillEndpoint);
    lease.on_attempt_begun(110, kDecodeEndpoint, true);
    lease.on_release_begun(700);
    lease.on_release_answered(700, 700);
    lease.on_attempt_ended(800, false);
    EXPECT_FALSE(lease.is_held());
    EXPECT_TRUE(lease.released_since(110));
    EXPECT_FALSE(lease.released_since(900));
}

TEST_F(LeaseLedgerTest, APrefillInFlightDoesNotStopTheLeaseOfAnEarlierOne) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(410, kPrefillEndpoint + 1, false);
    lease.on_request_written(411);
    EXPECT_EQ(lease.release_at(), 800);
    lease.on_attempt_answered(650);
    lease.on_attempt_ended(650, false);
    lease.on_acquired(650, LeaseOrigin::prefill_done, kPrefillEndpoint + 1);
    EXPECT_EQ(lease.release_at(), 1250) << "the lease restarts when an answered attempt ends";
}

TEST_F(LeaseLedgerTest, ALostPrefillMayStoreItsKvCacheLater) {
    lease.on_attempt_begun(50, kPrefillEndpoint, false);
    lease.on_attempt_ended(100, false);
    lease.on_acquired(100, LeaseOrigin::prefill_lost, kPrefillEndpoint);
    EXPECT_TRUE(lease.is_held());
    EXPECT_TRUE(lease.needs_second_release());
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(LeaseLedgerTest, ASlotIsLeasedFromItsRequestOn) {
    lease.on_acquired(100, LeaseOrigin::slot_requested, kDecodeEndpoint);
    EXPECT_EQ(lease.release_at(), 700);
}

// Guards against the incident of 2026-12-03: answers of a new prefill's endpoint extended the lease of an
// earlier prefill's KV cache.
TEST_F(LeaseLedgerTest, AnswersOfANewPrefillsEndpointDoNotExtendTheLeaseOfAnEarlierOne) {
    prefill_then_decode(100);
    lease.on_attempt_ended(800, false);
    lease.on_close_proved(800, lease.latest_attempt());
    lease.on_attempt_begun(810, kPrefillEndpoint + 1, false);
    lease.on_request_written(811, 3000);
    ASSERT_EQ(lease.leases().size(), 2u);
    EXPECT_EQ(lease.release_at(), 800) << "neither the usual duration of the new prefill extends it";
    lease.on_endpoint_answered(1400);
    EXPECT_EQ(lease.release_at(), 800);
    EXPECT_EQ(lease.health_check_at(), 3000) << "the new prefill has its own time";
    lease.on_release_begun(800);
    lease.on_release_answered(801, 800);
    EXPECT_EQ(lease.release_at(), 3250) << "only the new prefill's lease is left";
}

TEST_F(LeaseLedgerTest, AReleaseThatWasSentBeforeADecodesEndFreesNothingForCertain) {
    prefill_then_decode(100);
    lease.on_release_begun(700);
    lease.on_attempt_ended(800, false);
    lease.on_release_answered(850, 700);
    EXPECT_TRUE(lease.is_held()) << "the decode may have waited when the release arrived";
    EXPECT_FALSE(lease.needs_release_before_prefill()) << "a release was answered";
    lease.on_close_proved(860, lease.latest_attempt());
    EXPECT_EQ(lease.release_at(), 1500) << "the time limit runs from the decode's end";
    lease.on_release_begun(1500);
    lease.on_release_answered(1510, 1500);
    EXPECT_FALSE(lease.is_held());
}

TEST_F(LeaseLedgerTest, AReleaseSentAfterTheProvedCloseIsFinal) {
    prefill_then_decode(100);
    lease.on_attempt_ended(300, false);
    EXPECT_EQ(lease.close_proof_deadline(), 400);
    lease.on_close_proved(302, lease.latest_attempt());
    EXPECT_FALSE(lease.close_proof_deadline());
    EXPECT_FALSE(lease.needs_second_release());
    lease.on_release_begun(302);
    lease.on_release_answered(305, 302);
    EXPECT_FALSE(lease.is_held());
}

// Guards against taking a release for done beside a swallowed decode, while the one before it still waited.
// Found by the property test.
TEST_F(LeaseLedgerTest, AnEarlierDecodeMayWaitWhileALaterOneIsInFlight) {
    prefill_then_decode(100);
    const int first = lease.latest_attempt();
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(401, kDecodeEndpoint + 1, true);
    lease.on_request_written(401);
    lease.on_release_begun(700);
    lease.on_release_answered(702, 700);
    EXPECT_TRUE(lease.is_held());
    lease.on_close_proved(720, first);
    EXPECT_EQ(lease.release_at(), 1100) << "the first decode may have waited until its close";
    lease.on_release_begun(1100);
    lease.on_release_answered(1102, 1100);
    EXPECT_FALSE(lease.is_held());
}

TEST_F(LeaseLedgerTest, TheCloseOfAnotherAttemptProvesNothing) {
    prefill_then_decode(100);
    const int first = lease.latest_attempt();
    lease.on_attempt_ended(300, false);
    lease.on_attempt_begun(301, kDecodeEndpoint + 1, true);
    lease.on_request_written(301);
    lease.on_attempt_ended(400, false);
    lease.on_close_proved(401, first);
    EXPECT_TRUE(lease.needs_second_release());
    lease.on_close_proved(402, lease.latest_attempt());
    EXPECT_FALSE(lease.needs_second_release());
}

TEST_F(LeaseLedgerTest, ThreeLostPrefillsInARowKeepALeaseEach) {
    for (int i = 0; i < 3; ++i) {
        const Millis begun = 100 + 200 * i;
        lease.on_attempt_begun(begun, kPrefillEndpoint + i, false);
        lease.on_request_written(begun);
        lease.on_attempt_ended(begun + 100, false);
        lease.on_acquired(begun + 100, LeaseOrigin::prefill_lost, kPrefillEndpoint + i);
    }
    ASSERT_EQ(lease.leases().size(), 3u);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(lease.leases()[i].holder, kPrefillEndpoint + i);
        EXPECT_EQ(lease.leases()[i].running_since, 100 + 200 * i);
    }
    EXPECT_EQ(lease.release_at(), 700) << "the oldest may have ended as soon as it was written";
}

TEST_F(LeaseLedgerTest, ASlotAndAKvCacheAreReleasedByTheirOwnTimes) {
    lease.on_acquired(100, LeaseOrigin::slot_requested, kDecodeEndpoint);
    lease.on_attempt_begun(150, kPrefillEndpoint, false);
    lease.on_request_written(150);
    lease.on_endpoint_answered(500);
    EXPECT_EQ(lease.release_at(), 800) << "the prefill's endpoint says nothing about the slot";
}

TEST_F(LeaseLedgerTest, AStreamTakesTheLatestKvCacheAndItsOwnSlotOnly) {
    lease.on_acquired(50, LeaseOrigin::slot_requested, kDecodeEndpoint + 5);
    lease.on_attempt_begun(60, kPrefillEndpoint, false);
    lease.on_request_written(60);
    lease.on_attempt_ended(90, false);
    lease.on_acquired(90, LeaseOrigin::prefill_lost, kPrefillEndpoint);
    prefill_then_decode(200);
    lease.on_attempt_answered(210);
    lease.on_resource_taken();
    EXPECT_FALSE(lease.release_at()) << "the stream is at its endpoint";
    lease.on_attempt_ended(900, false);
    ASSERT_EQ(lease.leases().size(), 2u);
    EXPECT_EQ(lease.leases()[0].origin, LeaseOrigin::slot_requested);
    EXPECT_EQ(lease.leases()[1].origin, LeaseOrigin::prefill_lost);
}

TEST(LeaseLedgerSettings, AnUnsetReleaseTimeOutMeansOneSecondAndAShortOneIsUsed) {
    for (const Millis unset : {0.0, -5.0}) {
        LeaseLedger lease(unset);
        lease.on_acquired(0, LeaseOrigin::prefill_done, kPrefillEndpoint);
        EXPECT_EQ(lease.release_at(), 600);
    }
    LeaseLedger lease(300);
    lease.on_acquired(0, LeaseOrigin::prefill_done, kPrefillEndpoint);
    EXPECT_EQ(lease.release_at(), 180);
}

}  // namespace
}  // namespace gorsenotch::control
