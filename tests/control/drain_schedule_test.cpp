// DrainSchedule: when a stopping gateway migrates its streams and rejects requests.
#include "control/drain_schedule.h"

#include <gtest/gtest.h>

namespace gorsenotch::test {
namespace {

TEST(DrainSchedule, AllStreamsAreMigratedAtAnEvenPaceBeforeTheKill) {
    for (const Millis step : {5.0, 20.0, 90.0}) {
        constexpr Millis kOrderedAt = 1000;
        constexpr Millis kKillAt = 4700;
        control::DrainSchedule schedule(kOrderedAt, kKillAt, /*resume=*/true);
        std::size_t open = 100;
        std::size_t most = 0;
        Millis first = 0;
        for (Millis now = kOrderedAt; now < kKillAt; now += step) {
            const std::size_t count = schedule.streams_to_migrate(now, open);
            ASSERT_LE(count, open);
            if (count > 0 && first <= 0) first = now;
            // In the final margin before the kill all remaining streams are migrated at once.
            if (now < 4350) most = std::max(most, count);
            open -= count;
        }
        EXPECT_EQ(open, 0u) << step;
        EXPECT_GT(first, 2500) << "streams first get time to end by themselves";
        EXPECT_LE(most, static_cast<std::size_t>(2 + 100 * step / 1000))
            << "the migrations are spread over time";
    }
}

TEST(DrainSchedule, RequestsAreAcceptedUntilLateInTheDrainAndAnsweredBeforeTheKill) {
    const control::DrainSchedule schedule(0, 3700, true);
    EXPECT_FALSE(schedule.stop_accepting(2000));
    EXPECT_FALSE(schedule.stop_accepting(3100));
    EXPECT_TRUE(schedule.stop_accepting(3300));
    EXPECT_FALSE(schedule.must_answer_remaining(3300));
    EXPECT_TRUE(schedule.must_answer_remaining(3500));
}

// Guards against accepting a stream that the kill cuts off: on the fleet bench, a stream accepted 2.9 s into
// a drain of 3.7 s was still open at the kill.
TEST(DrainSchedule, WithoutResumptionRequestsAreRejectedEarlyInTheDrain) {
    const control::DrainSchedule schedule(0, 3700, /*resume=*/false);
    EXPECT_FALSE(schedule.stop_accepting(400)) << "new connections still arrive";
    EXPECT_TRUE(schedule.stop_accepting(650));
    EXPECT_FALSE(schedule.must_answer_remaining(3300)) << "accepted requests keep their time";
    EXPECT_TRUE(schedule.must_answer_remaining(3500));
}

// Guards against a request that is taken on a connection older than the closed listener and then lost to the
// kill, which the platform excuses for requests that arrived up to 0.7 s after the order to stop. A process
// may be held up for 0.15 s before it notices the order.
TEST(DrainSchedule, RequestsAreRefusedOnceTheyCouldNotEndBeforeTheKill) {
    for (const Millis kill_at : {800.0, 1700.0, 3700.0}) {
        const control::DrainSchedule cut(0, kill_at, /*resume=*/false);
        EXPECT_LE(cut.refuse_requests_from(), 700 - 150);
        EXPECT_TRUE(cut.stop_accepting(cut.refuse_requests_from())) << "the listener is closed";
        EXPECT_GE(cut.refuse_requests_from(), 400) << "new connections still arrive";
        const control::DrainSchedule resumed(0, kill_at, /*resume=*/true);
        EXPECT_GE(resumed.refuse_requests_from(), cut.refuse_requests_from());
        EXPECT_FALSE(resumed.must_answer_remaining(resumed.refuse_requests_from() - 1))
            << "what is taken before gets its answer in time";
    }
}

TEST(DrainSchedule, WithNoTimeUntilTheKillAllStreamsAreMigratedAtOnce) {
    control::DrainSchedule schedule(0, 0, true);
    EXPECT_EQ(schedule.streams_to_migrate(0, 7), 7u);
    EXPECT_TRUE(schedule.must_answer_remaining(0));
}

}  // namespace
}  // namespace gorsenotch::test
