// The lease on what is held for a request: what stops it, what does not, and when a release has to begin.
#include "control/kv_lease.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr EndpointId kReader = 1, kWriter = 11;

struct HeldStateTest : ::testing::Test {
    KvLease held{1000};
    // A read that ended at `at`, and a write whose bytes went out right after it.
    void written(Millis at) {
        held.on_attempt_begun(at - 50, kReader, false);
        held.on_attempt_ended(at, false);
        held.on_acquired(at, LeaseOrigin::prefill_done, kReader);
        held.on_attempt_begun(at + 1, kWriter, true);
        held.on_request_written(at + 1);
    }
};

TEST_F(HeldStateTest, NothingIsHeldAtFirst) {
    held.on_attempt_begun(0, kReader, false);
    EXPECT_FALSE(held.held());
    EXPECT_FALSE(held.release_at());
    EXPECT_FALSE(held.health_check_at());
}

// Found by the incident's form with silent readers: a read had ended, and its answer was swallowed.
TEST_F(HeldStateTest, AReadThatNobodyAnswersMayHaveEndedSoItsServerIsAskedAndThenItIsReleased) {
    held.on_attempt_begun(0, kReader, false);
    held.on_request_written(10);
    EXPECT_TRUE(held.only_unanswered_prefill());
    EXPECT_EQ(held.health_check_at(), 460);
    EXPECT_EQ(held.release_at(), 710);
    held.on_health_check_sent();
    EXPECT_FALSE(held.health_check_at()) << "once";
    held.on_endpoint_answered(470);
    EXPECT_EQ(held.health_check_at(), 920) << "the answer speaks for that moment alone";
    EXPECT_EQ(held.release_at(), 1170);
    held.on_release_begun(1170);
    held.on_release_answered(1180);
    EXPECT_EQ(held.release_at(), 1880) << "what it may leave after that is to be let go of as well";
    held.on_attempt_ended(1900, true);
    EXPECT_FALSE(held.held()) << "it never ran";
}

// Found by the soak: the beginning of a reader's answer came, and the rest was swallowed.
TEST_F(HeldStateTest, AReadWhoseAnswerHasOnlyBegunHasEnded) {
    held.on_attempt_begun(0, kReader, false);
    held.on_request_written(10);
    held.on_attempt_answered(100);
    EXPECT_FALSE(held.health_check_at()) << "its server has answered: there is nothing to ask";
    EXPECT_EQ(held.release_at(), 800);
    held.on_endpoint_answered(300);
    EXPECT_EQ(held.release_at(), 800);
}

TEST(ReadTimes, OneIsUnusualAtTenTimesWhatNearlyAllTake) {
    PrefillTimes times;
    EXPECT_FALSE(times.is_unusual(1e9, 1000)) << "nothing is known";
    EXPECT_EQ(times.usual_duration(1000), 0);
    for (int i = 0; i < 100; ++i) times.add_prefill(i % 10 == 0 ? 100 : 40, 1000);
    EXPECT_FALSE(times.is_unusual(400, 1000));
    EXPECT_TRUE(times.is_unusual(2000, 1000));
    EXPECT_FALSE(times.is_unusual(2000, 20000)) << "of a prompt ten times as long";
}

TEST_F(HeldStateTest, AReadIsNotAskedForBeforeWhatReadsUsuallyTake) {
    held.on_attempt_begun(0, kReader, false);
    held.on_request_written(10, 2000);
    EXPECT_EQ(held.health_check_at(), 2000);
    EXPECT_EQ(held.release_at(), 2250);
    held.on_attempt_answered(300);
    EXPECT_EQ(held.release_at(), 1000) << "once its answer has begun it has ended";
}

TEST_F(HeldStateTest, AnAnswerElsewhereProvesNothingForAWrite) {
    written(100);
    held.on_endpoint_answered(300);
    EXPECT_EQ(held.release_at(), 700);
}

// Found in the incident of 2026-12-02: writes lay in the kernel's hands until the client's deadline.
TEST_F(HeldStateTest, WhatWasOnlyWrittenDoesNotStopTheLease) {
    written(100);
    EXPECT_EQ(held.release_at(), 700);
}

TEST_F(HeldStateTest, AByteOfAnAnswerStopsItAndTheEndOfThatAttemptStartsItAnew) {
    written(100);
    held.on_attempt_answered(300);
    EXPECT_FALSE(held.release_at());
    held.on_attempt_ended(900, false);
    EXPECT_TRUE(held.held());
    EXPECT_EQ(held.release_at(), 1500);
}

TEST_F(HeldStateTest, AnAttemptThatEndsUnprovedDoesNotStartItAnew) {
    written(100);
    held.on_attempt_ended(400, false);
    held.on_attempt_begun(401, kWriter + 1, true);
    EXPECT_EQ(held.release_at(), 700);
}

TEST_F(HeldStateTest, AWriteThatBeginsLateHasAMomentToArrive) {
    written(100);
    held.on_attempt_ended(690, false);
    held.on_attempt_begun(691, kWriter, true);
    EXPECT_EQ(held.release_at(), 791);
    held.on_attempt_ended(790, false);
    held.on_attempt_begun(791, kWriter + 1, true);
    EXPECT_EQ(held.release_at(), 891);
    held.on_attempt_ended(890, false);
    held.on_attempt_begun(891, kWriter + 2, true);
    EXPECT_EQ(held.release_at(), 900) << "but the time in which it may is bounded";
}

TEST_F(HeldStateTest, AStreamThatHasBegunLeavesNothingHeld) {
    written(100);
    held.on_attempt_answered(200);
    held.on_taken();
    held.on_attempt_ended(5000, false);
    EXPECT_FALSE(held.held());
    EXPECT_FALSE(held.release_at());
}

TEST_F(HeldStateTest, AnAnsweredReleaseEndsItAndAnUnansweredOneDoesNot) {
    written(100);
    held.on_attempt_ended(400, false);
    held.on_release_begun(400);
    EXPECT_FALSE(held.release_at()) << "the release itself goes on";
    held.on_release_failed();
    EXPECT_EQ(held.release_at(), 700);
    held.on_release_begun(700);
    held.on_release_answered(700);
    EXPECT_FALSE(held.held());
}

// A release leaves alone what a write that has arrived waits for: what is held stands again as that write
// ends.
TEST_F(HeldStateTest, WhatAWriteMayHaveWaitedForStandsAgainAsThatEnds) {
    written(100);
    held.on_release_begun(700);
    held.on_release_answered(700);
    EXPECT_FALSE(held.held());
    held.on_attempt_ended(2000, false);
    EXPECT_TRUE(held.held());
    EXPECT_EQ(held.release_at(), 2600);
}

// Found by the soak: a release overtook, on another connection, the end of the write that was closed right
// before.
TEST_F(HeldStateTest, AReleaseMayOvertakeTheEndOfAWriteSoOneIsNotEnough) {
    written(100);
    EXPECT_FALSE(held.uncertain());
    held.on_attempt_ended(300, false);
    EXPECT_TRUE(held.uncertain());
    held.on_release_begun(300);
    held.on_release_answered(310);
    EXPECT_FALSE(held.uncertain());
    written(400);
    held.on_attempt_answered(450);
    held.on_attempt_ended(450, true);
    EXPECT_FALSE(held.uncertain()) << "it was turned away: its server has done with it";
}

TEST_F(HeldStateTest, AWriteThatWasNotHandedOverCanNotHaveWaited) {
    held.on_acquired(100, LeaseOrigin::prefill_done, kReader);
    held.on_attempt_begun(110, kWriter, true);
    held.on_release_begun(700);
    held.on_release_answered(700);
    held.on_attempt_ended(800, false);
    EXPECT_FALSE(held.held());
    EXPECT_TRUE(held.released_since(110));
    EXPECT_FALSE(held.released_since(900));
}

TEST_F(HeldStateTest, AReadThatIsOutDoesNotStopTheLeaseOfAnEarlierState) {
    written(100);
    held.on_attempt_ended(400, false);
    held.on_attempt_begun(410, kReader + 1, false);
    held.on_request_written(411);
    EXPECT_EQ(held.release_at(), 800);
    held.on_attempt_answered(650);
    held.on_attempt_ended(650, false);
    held.on_acquired(650, LeaseOrigin::prefill_done, kReader + 1);
    EXPECT_EQ(held.release_at(), 1250) << "an answered attempt was out: the clock begins at its end";
}

TEST_F(HeldStateTest, ALostReadMayHaveLeftSomethingThatComesLater) {
    held.on_attempt_begun(50, kReader, false);
    held.on_attempt_ended(100, false);
    held.on_acquired(100, LeaseOrigin::prefill_lost, kReader);
    EXPECT_TRUE(held.held());
    EXPECT_TRUE(held.uncertain());
    EXPECT_EQ(held.release_at(), 700);
}

TEST_F(HeldStateTest, APlaceIsHeldFromItsCallOn) {
    held.on_acquired(100, LeaseOrigin::slot_requested, kWriter);
    EXPECT_EQ(held.release_at(), 700);
}

TEST(HeldStateSettings, AMissingTimeStandsForASecondAndAShortOneIsKept) {
    for (const Millis unset : {0.0, -5.0}) {
        KvLease held(unset);
        held.on_acquired(0, LeaseOrigin::prefill_done, kReader);
        EXPECT_EQ(held.release_at(), 600);
    }
    KvLease held(300);
    held.on_acquired(0, LeaseOrigin::prefill_done, kReader);
    EXPECT_EQ(held.release_at(), 180);
}

}  // namespace
}  // namespace gorsenotch::control
