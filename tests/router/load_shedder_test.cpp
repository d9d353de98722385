#include "router/load_shedder.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

Settings with_tenant_quota() {
    Settings settings = test_settings();
    settings.gateways = 1;
    settings.tenants = {TenantSettings{1}};
    settings.over_quota_weight = 0;
    return settings;
}

// Queues requests at the decode endpoints, so that a new request has to wait.
void queue_at_decode_endpoints(RouterComponents& fleet, int requests) {
    for (int i = 0; i < requests; ++i)
        fleet.send_request("queued" + std::to_string(i), i % 2 ? 11 : 12, Stage::decode_queued);
}

TEST(LoadShedder, AdmitsARequestWithoutExpectedWait) {
    RouterComponents fleet;
    EXPECT_FALSE(fleet.load_shedder.should_shed(0, fleet.add_request("r")));
}

TEST(LoadShedder, ShedsALowPriorityClassBeforeAHighOne) {
    RouterComponents fleet;
    queue_at_decode_endpoints(fleet, 14);
    RequestState& high = fleet.add_request("high");
    RequestState& low = fleet.add_request("low");
    low.arrival.cls = 1;
    EXPECT_FALSE(fleet.load_shedder.should_shed(0, high));
    EXPECT_TRUE(fleet.load_shedder.should_shed(0, low));
    queue_at_decode_endpoints(fleet, 40);
    EXPECT_TRUE(fleet.load_shedder.should_shed(0, high));
}

TEST(LoadShedder, NeverShedsAResumedStream) {
    RouterComponents fleet;
    queue_at_decode_endpoints(fleet, 100);
    RequestState& resumed = fleet.add_request("resumed");
    resumed.arrival.resumed = true;
    EXPECT_FALSE(fleet.load_shedder.should_shed(0, resumed));
}

TEST(LoadShedder, ShedsARequestBeyondItsTenantsQuotaFirst) {
    RouterComponents fleet(with_tenant_quota());
    queue_at_decode_endpoints(fleet, 14);
    RequestState& request = fleet.add_request("r");
    EXPECT_FALSE(fleet.load_shedder.should_shed(0, request)) << "a burst of two is within the quota";
    EXPECT_FALSE(fleet.load_shedder.should_shed(0, request));
    EXPECT_TRUE(fleet.load_shedder.should_shed(0, request));
    EXPECT_FALSE(fleet.load_shedder.should_shed(1000, request))
        << "the bucket refills at one request per second";
}

}  // namespace
}  // namespace gorsenotch::test
