#include "router/health_monitor.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

constexpr Millis kTickIntervalMs = 50;  // 1/20 of the shortest latency objective

Settings polling_settings() {
    Settings settings = test_settings();
    settings.discovery = Discovery::poll;
    settings.poll_interval = 4000;
    return settings;
}

class HealthMonitorTest : public ::testing::Test {
protected:
    HealthMonitorTest() { actions.begin_event(emitted); }

    template <class Kind>
    std::size_t count() const {
        std::size_t found = 0;
        for (const Action& action : emitted) found += std::holds_alternative<Kind>(action);
        return found;
    }
    void tick_until(Millis end) {
        for (; now + kTickIntervalMs <= end; now += kTickIntervalMs) {
            monitor.detect_stall(now + kTickIntervalMs);
            monitor.on_health_tick(now + kTickIntervalMs);
        }
    }

    RouterComponents fleet{polling_settings()};
    std::vector<Action> emitted;
    router::ActionList actions;
    router::RetryBudget retry_budget{fleet.settings.gateways};
    router::RequestDispatcher dispatcher{
        router::DispatchServices{fleet.settings, fleet.completion_times, fleet.eligibility, fleet.slow_start,
                                 fleet.attempt_timeout, fleet.prefill_selector, fleet.decode_selector,
                                 fleet.wait_estimator, fleet.in_flight_requests, retry_budget, actions}};
    router::HealthMonitor monitor{router::HealthServices{
        fleet.settings, fleet.registry, fleet.fleet_stats, fleet.completion_times, fleet.outlier_detector,
        fleet.prefix_affinity, fleet.in_flight_requests, fleet.abandoned_prefills, dispatcher, actions}};
    Millis now = 0;
};

TEST_F(HealthMonitorTest, EachTickSetsTheNextOne) {
    monitor.start(0);
    ASSERT_EQ(count<SetTimer>(), 1u);
    EXPECT_EQ(std::get<SetTimer>(emitted[0]).at, kTickIntervalMs);
    EXPECT_EQ(std::get<SetTimer>(emitted[0]).timer, router::kHealthTickTimerId);
    tick_until(500);
    EXPECT_EQ(count<SetTimer>(), 11u);
}

TEST_F(HealthMonitorTest, PollsTwiceInAPollIntervalAndSoonAfterAFailedPoll) {
    monitor.start(0);
    EXPECT_EQ(count<WatchEndpoints>(), 1u);
    tick_until(2000);
    EXPECT_EQ(count<WatchEndpoints>(), 1u);
    tick_until(2050);
    EXPECT_EQ(count<WatchEndpoints>(), 2u);
    monitor.on_poll_failed(now);
    tick_until(2550);
    EXPECT_EQ(count<WatchEndpoints>(), 2u);
    tick_until(2600);
    EXPECT_EQ(count<WatchEndpoints>(), 3u);
}

TEST_F(HealthMonitorTest, AnOverdueTickIsAStallThatDoesNotAgeAttempts) {
    monitor.start(0);
    RequestState& request = fleet.send_request("r", 1, Stage::prefill, 0);
    monitor.detect_stall(2 * kTickIntervalMs);
    EXPECT_FALSE(request.attempt.spans_gateway_stall) << "overdue by only one interval";
    monitor.detect_stall(3000);
    EXPECT_TRUE(request.attempt.spans_gateway_stall);
    EXPECT_EQ(request.attempt.sent_at, 3000 - kTickIntervalMs);
}

TEST_F(HealthMonitorTest, EjectsAnUnresponsiveEndpointAndMigratesItsRequests) {
    monitor.start(0);
    fleet.send_request("unresponsive", 11, Stage::decode_queued);
    const RequestState& peer_request = fleet.send_request("fast", 12, Stage::decode_queued);
    for (int i = 0; i < 60 && !fleet.endpoint(11).health.ejected; ++i) {
        fleet.outlier_detector.record_first_token(fleet.endpoint(12), peer_request);
        tick_until(now + kTickIntervalMs);
    }
    EXPECT_TRUE(fleet.endpoint(11).health.ejected);
    EXPECT_FALSE(fleet.endpoint(12).health.ejected);
    ASSERT_EQ(count<StopAttempt>(), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
