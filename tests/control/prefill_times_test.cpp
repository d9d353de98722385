// PrefillTimes: which prefills are unusually long.
#include "control/prefill_times.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

TEST(PrefillTimes, OneIsUnusualAtTenTimesWhatNearlyAllTake) {
    PrefillTimes times;
    EXPECT_FALSE(times.is_unusual(1e9, 1000)) << "nothing is known";
    EXPECT_EQ(times.usual_duration(1000), 0);
    for (int i = 0; i < 100; ++i) times.add_prefill(i % 10 == 0 ? 100 : 40, 1000);
    EXPECT_FALSE(times.is_unusual(400, 1000));
    EXPECT_TRUE(times.is_unusual(2000, 1000));
    EXPECT_FALSE(times.is_unusual(2000, 20000)) << "of a prompt ten times as long";
}

TEST(PrefillTimes, TwentySamplesAreEnough) {
    PrefillTimes times;
    for (int i = 0; i < 19; ++i) times.add_prefill(40, 1000);
    EXPECT_EQ(times.usual_duration(1000), 0);
    EXPECT_FALSE(times.is_unusual(1e9, 1000));
    times.add_prefill(40, 1000);
    EXPECT_GT(times.usual_duration(1000), 40);
    EXPECT_TRUE(times.is_unusual(1e9, 1000));
}

TEST(PrefillTimes, TheUsualDurationGrowsWithThePrompt) {
    PrefillTimes times;
    for (int i = 0; i < 20; ++i) times.add_prefill(40, 1000);
    EXPECT_DOUBLE_EQ(times.usual_duration(3000), 2 * times.usual_duration(1000)) << "a fixed part and 1000s";
}

}  // namespace
}  // namespace gorsenotch::control
