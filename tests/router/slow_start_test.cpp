#include "router/slow_start.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

TEST(SlowStart, AWarmEndpointIsNotLimited) {
    RouterComponents fleet;
    router::RequestState& request = fleet.add_request("r");
    for (int i = 0; i < 100; ++i) fleet.slow_start.record_send(0, fleet.endpoint(1));
    EXPECT_TRUE(fleet.slow_start.within_budget(0, fleet.endpoint(1), request, fleet.fleet_stats));
}

TEST(SlowStart, AWarmingEndpointGetsOneSendInEachWindowWithoutABaseline) {
    RouterComponents fleet;
    router::RequestState& request = fleet.add_request("r");
    router::EndpointState& endpoint = fleet.endpoint(1);
    endpoint.warming_since = 0;
    EXPECT_TRUE(fleet.slow_start.within_budget(100, endpoint, request, fleet.fleet_stats));
    fleet.slow_start.record_send(100, endpoint);
    EXPECT_FALSE(fleet.slow_start.within_budget(101, endpoint, request, fleet.fleet_stats));
    EXPECT_FALSE(fleet.slow_start.within_budget(2099, endpoint, request, fleet.fleet_stats));
    EXPECT_TRUE(fleet.slow_start.within_budget(2100, endpoint, request, fleet.fleet_stats));
}

TEST(SlowStart, EndsAfterTheConfiguredTime) {
    RouterComponents fleet;
    router::RequestState& request = fleet.add_request("r");
    router::EndpointState& endpoint = fleet.endpoint(1);
    endpoint.warming_since = 0;
    fleet.slow_start.record_send(9999, endpoint);
    EXPECT_FALSE(fleet.slow_start.within_budget(9999, endpoint, request, fleet.fleet_stats));
    EXPECT_TRUE(fleet.slow_start.within_budget(10000, endpoint, request, fleet.fleet_stats));
}

TEST(SlowStart, KeepsOnlyTheSendsOfTheWindow) {
    RouterComponents fleet;
    router::EndpointState& endpoint = fleet.endpoint(1);
    for (int i = 0; i < 10; ++i) fleet.slow_start.record_send(1000.0 * i, endpoint);
    EXPECT_EQ(endpoint.sends.recent.size(), 2u) << "the sends of the last 2,000 ms";
}

}  // namespace
}  // namespace gorsenotch::test
