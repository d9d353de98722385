#include "router/fleet_stats.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::Stage;

Settings with_gateways(int gateways) {
    Settings settings = test_settings();
    settings.gateways = gateways;
    return settings;
}

TEST(FleetStats, SharesOfCellsFollowTheList) {
    const RouterComponents fleet;
    EXPECT_EQ(fleet.fleet_stats.cell(0).decode_share, 0.5);
    EXPECT_EQ(fleet.fleet_stats.cell(1).prefill_share, 0.5);
    EXPECT_EQ(fleet.fleet_stats.cell(1).zone, 1);
}

TEST(FleetStats, AnUnknownCellYieldsADefaultCellAndIsNotAdded) {
    const RouterComponents fleet;
    EXPECT_EQ(fleet.fleet_stats.cell(99).weight, 1);
    EXPECT_EQ(fleet.fleet_stats.cells().count(99), 0u);
}

TEST(FleetStats, TheSampleRateIsLowOnlyWithManyGateways) {
    const RouterComponents few(with_gateways(4));
    const RouterComponents many(with_gateways(5));
    EXPECT_FALSE(few.fleet_stats.low_sample_rate());
    EXPECT_TRUE(many.fleet_stats.low_sample_rate());
    EXPECT_TRUE(many.fleet_stats.no_load_signal());
}

TEST(FleetStats, FrequentSendsEndTheLowSampleRate) {
    RouterComponents fleet(with_gateways(5));
    for (int i = 0; i < 200; ++i) {
        for (const EndpointId id : {1u, 2u}) fleet.slow_start.record_send(100.0 * i, fleet.endpoint(id));
    }
    ASSERT_TRUE(fleet.fleet_stats.refresh_if_due(20000, fleet.registry));
    EXPECT_NEAR(fleet.fleet_stats.baseline_rate(Role::prefill), 0.01, 0.001);
    EXPECT_FALSE(fleet.fleet_stats.low_sample_rate());
}

TEST(FleetStats, ALoadReportIsALoadSignal) {
    RouterComponents fleet(with_gateways(5));
    fleet.fleet_stats.record_load_report();
    EXPECT_TRUE(fleet.fleet_stats.low_sample_rate());
    EXPECT_FALSE(fleet.fleet_stats.no_load_signal());
}

TEST(FleetStats, EjectedEndpointsAreNotAvailable) {
    RouterComponents fleet;
    fleet.endpoint(11).health.ejected = true;
    fleet.fleet_stats.refresh_if_due(1000, fleet.registry);
    EXPECT_EQ(fleet.fleet_stats.available_fraction(Role::decode), 0.5);
    EXPECT_EQ(fleet.fleet_stats.available_fraction(Role::prefill), 1);
}

TEST(FleetStats, ACellWithSlowPrefillsLosesWeight) {
    RouterComponents fleet;
    for (int i = 0; i < 10; ++i) {
        const std::string number = std::to_string(i);
        const auto& slow = fleet.send_request("slow" + number, 1, Stage::prefill, 0);
        fleet.fleet_stats.record_stage_end(900, fleet.registry, slow, true);
        const auto& fast = fleet.send_request("fast" + number, 2, Stage::prefill, 0);
        fleet.fleet_stats.record_stage_end(50, fleet.registry, fast, true);
    }
    fleet.fleet_stats.refresh_if_due(1000, fleet.registry);
    EXPECT_LT(fleet.fleet_stats.cell(0).weight, fleet.fleet_stats.cell(1).weight);
}

}  // namespace
}  // namespace gorsenotch::test
