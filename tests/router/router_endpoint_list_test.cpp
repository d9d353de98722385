// Effects of endpoint list updates on the selection of endpoints.
#include <gtest/gtest.h>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterEndpointListTest : public RouterFixture {};

TEST_F(RouterEndpointListTest, DrainingAndRemovedEndpointsGetNoAttempts) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    Endpoint endpoint = prefill_endpoint(1);
    endpoint.status = EndpointStatus::draining;
    harness->handle(5, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    for (int i = 0; i < 6; ++i) EXPECT_EQ(arrive("a" + std::to_string(i), 10 + i), 2u);
    // Endpoint 2 is missing from a full list, so it is removed.
    harness->handle(20, full_list({prefill_endpoint(1), decode_endpoint(11)}));
    EXPECT_EQ(arrive("z", 30), 1u);
}

TEST_F(RouterEndpointListTest, RequestIsRejectedAtOnceWithoutEndpoints) {
    start_router(test_settings(), {});
    harness->handle(10, arrival("a", 10));
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
}

TEST_F(RouterEndpointListTest, ListIsPolledAgainAfterAFailedPoll) {
    Settings settings = test_settings();
    settings.discovery = Discovery::poll;
    settings.poll_interval = 10000;
    start_router(settings, {prefill_endpoint(1), decode_endpoint(11)});
    EXPECT_EQ(harness->actions_of<WatchEndpoints>().size(), 1u);
    harness->handle(100, EndpointUpdate{EndpointUpdate::Kind::failed, {}});
    harness->advance_to(1000);
    EXPECT_EQ(harness->actions_of<WatchEndpoints>().size(), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
