// PrefillTimes: the usual duration of prefills, and which are unusually long.
#include "control/prefill_times.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

TEST(PrefillTimes, APrefillIsUnusualBeyondTenTimesTheQuantile) {
    PrefillTimes times;
    EXPECT_FALSE(times.is_unusual(1e9, 1000)) << "no samples";
    EXPECT_EQ(times.usual_duration(1000), 0);
    for (int i = 0; i < 100; ++i) times.add_prefill(i % 10 == 0 ? 100 : 40, 1000);
    EXPECT_FALSE(times.is_unusual(400, 1000));
    EXPECT_TRUE(times.is_unusual(2000, 1000));
    EXPECT_FALSE(times.is_unusual(2000, 20000)) << "the prompt is twenty times as long";
}

TEST(PrefillTimes, TwentySamplesAreNeeded) {
    PrefillTimes times;
    for (int i = 0; i < 19; ++i) times.add_prefill(40, 1000);
    EXPECT_EQ(times.usual_duration(1000), 0);
    EXPECT_FALSE(times.is_unusual(1e9, 1000));
    times.add_prefill(40, 1000);
    EXPECT_GT(times.usual_duration(1000), 40);
    EXPECT_TRUE(times.is_unusual(1e9, 1000));
}

TEST(PrefillTimes, TheUsualDurationGrowsWithThePromptLength) {
    PrefillTimes times;
    for (int i = 0; i < 20; ++i) times.add_prefill(40, 1000);
    EXPECT_DOUBLE_EQ(times.usual_duration(3000), 2 * times.usual_duration(1000))
        << "a fixed part plus one unit per 1000 tokens";
}

}  // namespace
}  // namespace gorsenotch::control
