#include "router/attempt_timeout.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

Settings with_gateways(int gateways) {
    Settings settings = test_settings();
    settings.gateways = gateways;
    return settings;
}

TEST(AttemptTimeout, IsAtLeastAFractionOfTheObjective) {
    RouterComponents fleet;
    const RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    EXPECT_EQ(fleet.attempt_timeout.compute(0, request), 600);
}

TEST(AttemptTimeout, GrowsWithTheQueue) {
    RouterComponents fleet;
    for (int i = 0; i < 3; ++i) fleet.send_request("queued" + std::to_string(i), 11, Stage::decode_queued);
    const RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    EXPECT_DOUBLE_EQ(fleet.attempt_timeout.compute(0, request), 6 * 4 * 1000.0 / 12);
}

TEST(AttemptTimeout, OfTheLastAttemptIsTheDeadline) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    request.attempt_count = fleet.settings.max_attempts;
    EXPECT_EQ(fleet.attempt_timeout.compute(100, request), 4900);
}

TEST(AttemptTimeout, AtALowSampleRateAPrefillHasALongerTimeoutWithoutALoadSignal) {
    RouterComponents fleet(with_gateways(60));
    const RequestState& request = fleet.send_request("r", 1, Stage::prefill);
    EXPECT_EQ(fleet.attempt_timeout.compute(0, request), 2500);
    fleet.fleet_stats.record_load_report();
    EXPECT_DOUBLE_EQ(fleet.attempt_timeout.compute(0, request), 20 * 50 * 1.2);
}

}  // namespace
}  // namespace gorsenotch::test
