// Endpoints in slow start get fewer requests than warm ones.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterSlowStartTest : public RouterFixture {};

TEST_F(RouterSlowStartTest, WarmingEndpointGetsLessThanItsPeers) {
    std::vector<Endpoint> servers = {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)};
    start_router(test_settings(), servers);
    for (int i = 0; i < 100; ++i) serve("w" + std::to_string(i), 10 + 20 * i);
    Endpoint cold = prefill_endpoint(3);
    cold.started_at = 2000;
    harness->handle(2020, EndpointUpdate{EndpointUpdate::Kind::incremental, {cold}});
    std::map<EndpointId, int> served;
    for (int i = 0; i < 100; ++i) ++served[serve("c" + std::to_string(i), 2030 + 20 * i)];
    EXPECT_GT(served[3], 0);
    EXPECT_LT(served[3], std::max(served[1], served[2]));
}

TEST_F(RouterSlowStartTest, WarmingEndpointIsUsedWhereThereIsNoOther) {
    Endpoint prefill = prefill_endpoint(1);
    prefill.started_at = 1;
    Endpoint decode = decode_endpoint(11);
    decode.started_at = 1;
    start_router(test_settings(), {prefill, decode});
    EXPECT_EQ(arrive("a", 10), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
