// EndpointIncarnations: when an endpoint started, on this host's monotonic clock.
#include "control/endpoint_incarnation.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr Millis kClockOffset = -1000;  // monotonic clock minus wall clock

TEST(EndpointIncarnations, StartTimesInTheFirstListAreConvertedFromTheWallClock) {
    EndpointIncarnations incarnations(kClockOffset);
    EXPECT_EQ(incarnations.on_listed("a", 1500, 2000), 500);
    EXPECT_EQ(incarnations.on_listed("long ago", 0, 2000), 0);
    EXPECT_GT(incarnations.on_listed("before this host's clock", 10, 2000), 0) << "0 would mean long ago";
}

TEST(EndpointIncarnations, AnIncarnationThatAppearsAfterTheFirstListStartsNow) {
    EndpointIncarnations incarnations(kClockOffset);
    incarnations.on_listed("a", 1500, 2000);
    incarnations.on_full_list();
    EXPECT_EQ(incarnations.on_listed("a", 1500, 3000), 500) << "unchanged";
    EXPECT_EQ(incarnations.on_listed("a", 1600, 4000), 4000) << "restarted";
    EXPECT_EQ(incarnations.on_listed("a", 1600, 5000), 4000);
    EXPECT_EQ(incarnations.on_listed("new", 1, 6000), 6000);
    EXPECT_EQ(incarnations.on_listed("new, long ago", 0, 6000), 0);
}

TEST(EndpointIncarnations, UnlistedEndpointsAreDroppedOnceTheyAreManyAndOld) {
    EndpointIncarnations incarnations(kClockOffset);
    for (int i = 0; i < 66; ++i) incarnations.on_listed("old" + std::to_string(i), 1500, 0);
    incarnations.on_listed("listed", 1500, 70000);
    incarnations.drop_unlisted(2, 70000);
    EXPECT_EQ(incarnations.size(), 67U) << "not many compared to the listed ones";
    incarnations.drop_unlisted(1, 60000);
    EXPECT_EQ(incarnations.size(), 67U) << "not unlisted for long enough";
    incarnations.drop_unlisted(1, 70000);
    EXPECT_EQ(incarnations.size(), 1U);
}

}  // namespace
}  // namespace gorsenotch::control
