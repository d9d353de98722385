#include "router/wait_estimator.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

TEST(WaitEstimator, ExpectsNoWaitWithoutAQueue) {
    RouterComponents fleet;
    EXPECT_EQ(fleet.wait_estimator.expected_wait(0, fleet.add_request("r")), 0);
}

TEST(WaitEstimator, TheQueueIsSharedByTheEligibleDecodeEndpoints) {
    RouterComponents fleet;
    // 20 attempts wait at two decode endpoints. The wait of the new request itself is one decode wait more.
    for (int i = 0; i < 20; ++i) fleet.send_request("queued" + std::to_string(i), 11, Stage::decode_queued);
    const RequestState& request = fleet.add_request("r");
    constexpr Millis kDecodeWait = 1000.0 / 12;  // the prior: a twelfth of the latency objective
    EXPECT_DOUBLE_EQ(fleet.wait_estimator.expected_wait(0, request), kDecodeWait * (1 + 20.0 / 2));
    fleet.endpoint(12).info.status = EndpointStatus::draining;
    EXPECT_DOUBLE_EQ(fleet.wait_estimator.expected_wait(0, request), kDecodeWait * (1 + 20.0 / 1));
}

}  // namespace
}  // namespace gorsenotch::test
