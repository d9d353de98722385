// EndpointIncarnations: when an endpoint started, on this host's clock.
#include "control/endpoint_incarnation.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr Millis kOffset = -1000;  // wall clock to monotonic clock

TEST(EndpointIncarnations, TheFirstListGoesByTheClocks) {
    EndpointIncarnations starts(kOffset);
    EXPECT_EQ(starts.on_listed("a", 1500, 2000), 500);
    EXPECT_EQ(starts.on_listed("long ago", 0, 2000), 0);
    EXPECT_GT(starts.on_listed("before this host's clock", 10, 2000), 0) << "0 stands for long ago";
}

TEST(EndpointIncarnations, AStartThatAppearsWhileWatchingIsNow) {
    EndpointIncarnations starts(kOffset);
    starts.on_listed("a", 1500, 2000);
    starts.on_full_list();
    EXPECT_EQ(starts.on_listed("a", 1500, 3000), 500) << "unchanged";
    EXPECT_EQ(starts.on_listed("a", 1600, 4000), 4000) << "restarted";
    EXPECT_EQ(starts.on_listed("a", 1600, 5000), 4000);
    EXPECT_EQ(starts.on_listed("new", 1, 6000), 6000);
    EXPECT_EQ(starts.on_listed("new, long ago", 0, 6000), 0);
}

TEST(EndpointIncarnations, UnlistedEndpointsAreForgottenOnceTheyAreManyAndOld) {
    EndpointIncarnations starts(kOffset);
    for (int i = 0; i < 66; ++i) starts.on_listed("old" + std::to_string(i), 1500, 0);
    starts.on_listed("listed", 1500, 70000);
    starts.forget(2, 70000);
    EXPECT_EQ(starts.size(), 67U) << "not many more than are listed";
    starts.forget(1, 60000);
    EXPECT_EQ(starts.size(), 67U) << "not for long";
    starts.forget(1, 70000);
    EXPECT_EQ(starts.size(), 1U);
}

}  // namespace
}  // namespace gorsenotch::control
