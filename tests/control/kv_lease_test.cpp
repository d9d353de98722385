// KvLease: which events end or extend the lease, and when a release must begin.
#include "control/kv_lease.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr EndpointId kPrefillEndpoint = 1;
constexpr EndpointId kDecodeEndpoint = 11;

struct KvLeaseTest : ::testing::Test {
    KvLease lease{1000};
    // A prefill that ends at `at`, followed by a decode that is written 1 ms later.
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
    EXPECT_FALSE(lease.is_held());
    EXPECT_FALSE(lease.release_at());
    EXPECT_FALSE(lease.health_check_at());
}

// Guards against a KV cache that is never released after a prefill ended and its response was lost; seen with
// unresponsive prefill endpoints.
TEST_F(KvLeaseTest, AnUnansweredPrefillGetsAHealthCheckAndThenARelease) {
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
    lease.on_release_answered(1180);
    EXPECT_EQ(lease.release_at(), 1880) << "the prefill may store its KV cache after the first release";
    lease.on_attempt_ended(1900, true);
    EXPECT_FALSE(lease.is_held()) << "the prefill never ran";
}

// Guards against a lease that treats a prefill as in flight when its response began and the rest was lost;
// found by the soak test.
TEST_F(KvLeaseTest, APrefillHasEndedOnceItsResponseBegins) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10);
    lease.on_attempt_answered(100);
    EXPECT_FALSE(lease.health_check_at()) << "the endpoint has answered";
    EXPECT_EQ(lease.release_at(), 800);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 800);
}

TEST_F(KvLeaseTest, NoHealthCheckIsSentWithinTheUsualPrefillDuration) {
    lease.on_attempt_begun(0, kPrefillEndpoint, false);
    lease.on_request_written(10, 2000);
    EXPECT_EQ(lease.health_check_at(), 2000);
    EXPECT_EQ(lease.release_at(), 2250);
    lease.on_attempt_answered(300);
    EXPECT_EQ(lease.release_at(), 1000) << "the prefill has ended once its response begins";
}

TEST_F(KvLeaseTest, AnotherResponseOfTheEndpointProvesNothingForADecode) {
    prefill_then_decode(100);
    lease.on_endpoint_answered(300);
    EXPECT_EQ(lease.release_at(), 700);
}

// Guards against taking a write as proof: in the incident of 2026-12-02 written decodes stayed in the
// kernel's buffers until the client's deadline, and their KV caches were not released.
TEST_F(KvLeaseTest, WritingADecodeDoesNotStopTheLease) {
    prefill_then_decode(100);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, AResponseByteStopsTheLeaseAndTheEndOfThatAttemptRestartsIt) {
    prefill_then_decode(100);
    lease.on_attempt_answered(300);
    EXPECT_FALSE(lease.release_at());
    lease.on_attempt_ended(900, false);
    EXPECT_TRUE(lease.is_held());
    EXPECT_EQ(lease.release_at(), 1500);
}

TEST_F(KvLeaseTest, AnAttemptThatEndsUnprovedDoesNotRestartTheLease) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_attempt_begun(401, kDecodeEndpoint + 1, true);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, ADecodeThatBeginsLateGetsTimeToArrive) {
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

TEST_F(KvLeaseTest, AStreamThatHasBegunEndsTheLease) {
    prefill_then_decode(100);
    lease.on_attempt_answered(200);
    lease.on_resource_taken();
    lease.on_attempt_ended(5000, false);
    EXPECT_FALSE(lease.is_held());
    EXPECT_FALSE(lease.release_at());
}

TEST_F(KvLeaseTest, AnAnsweredReleaseEndsTheLeaseAndAnUnansweredOneDoesNot) {
    prefill_then_decode(100);
    lease.on_attempt_ended(400, false);
    lease.on_release_begun(400);
    EXPECT_FALSE(lease.release_at()) << "a release is already in progress";
    lease.on_release_failed();
    EXPECT_EQ(lease.release_at(), 700);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    EXPECT_FALSE(lease.is_held());
}

// A release does not free a KV cache that an arrived decode waits for, so it is still held when that decode
// ends.
TEST_F(KvLeaseTest, AKvCacheThatADecodeMayHaveWaitedForIsHeldAgainWhenTheDecodeEnds) {
    prefill_then_decode(100);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    EXPECT_FALSE(lease.is_held());
    lease.on_attempt_ended(2000, false);
    EXPECT_TRUE(lease.is_held());
    EXPECT_EQ(lease.release_at(), 2600);
}

// Guards against relying on a single release: on another connection it can overtake the close of the decode
// before it, and then it frees nothing. Found by the soak test.
TEST_F(KvLeaseTest, OneReleaseIsNotEnoughAsItMayOvertakeTheCloseOfADecode) {
    prefill_then_decode(100);
    EXPECT_FALSE(lease.needs_second_release());
    lease.on_attempt_ended(300, false);
    EXPECT_TRUE(lease.needs_second_release());
    lease.on_release_begun(300);
    lease.on_release_answered(310);
    EXPECT_FALSE(lease.needs_second_release());
    prefill_then_decode(400);
    lease.on_attempt_answered(450);
    lease.on_attempt_ended(450, true);
    EXPECT_FALSE(lease.needs_second_release())
        << "the decode was rejected, so it does not wait at its endpoint";
}

TEST_F(KvLeaseTest, AReleaseIsFinalForADecodeThatWasNotWritten) {
    lease.on_acquired(100, LeaseOrigin::prefill_done, kPrefillEndpoint);
    lease.on_attempt_begun(110, kDecodeEndpoint, true);
    lease.on_release_begun(700);
    lease.on_release_answered(700);
    lease.on_attempt_ended(800, false);
    EXPECT_FALSE(lease.is_held());
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
    EXPECT_EQ(lease.release_at(), 1250) << "the lease restarts when an answered attempt ends";
}

TEST_F(KvLeaseTest, ALostPrefillMayStoreItsKvCacheLater) {
    lease.on_attempt_begun(50, kPrefillEndpoint, false);
    lease.on_attempt_ended(100, false);
    lease.on_acquired(100, LeaseOrigin::prefill_lost, kPrefillEndpoint);
    EXPECT_TRUE(lease.is_held());
    EXPECT_TRUE(lease.needs_second_release());
    EXPECT_EQ(lease.release_at(), 700);
}

TEST_F(KvLeaseTest, ASlotIsLeasedFromItsRequestOn) {
    lease.on_acquired(100, LeaseOrigin::slot_requested, kDecodeEndpoint);
    EXPECT_EQ(lease.release_at(), 700);
}

TEST(KvLeaseSettings, AnUnsetReleaseTimeOutMeansOneSecondAndAShortOneIsUsed) {
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
