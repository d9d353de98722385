#include "router/eligibility.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Strictness;

Settings keyed_settings(DedupScope scope) {
    Settings settings = test_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_scope = scope;
    settings.classes[0].dedup_window = 2000;
    settings.connect_timeout = 100;
    return settings;
}

bool is_eligible(RouterComponents& fleet, Millis now, EndpointId id, const RequestState& request,
                 Strictness strictness) {
    return fleet.eligibility.is_eligible(now, fleet.endpoint(id), request, strictness);
}

TEST(Eligibility, OnlyHealthyEndpointsAreEligible) {
    RouterComponents fleet;
    const RequestState& request = fleet.add_request("r");
    EXPECT_TRUE(is_eligible(fleet, 0, 11, request, Strictness::strict));
    fleet.endpoint(11).info.status = EndpointStatus::draining;
    EXPECT_FALSE(is_eligible(fleet, 0, 11, request, Strictness::relaxed));
}

TEST(Eligibility, AnEndpointThatFailedTheRequestIsEligibleOnlyIfRelaxed) {
    RouterComponents fleet;
    RequestState& request = fleet.add_request("r");
    request.failed_endpoints = {11};
    EXPECT_FALSE(is_eligible(fleet, 0, 11, request, Strictness::strict));
    EXPECT_TRUE(is_eligible(fleet, 0, 11, request, Strictness::relaxed));
}

TEST(Eligibility, AKeyedRetryStaysWithinItsDedupScope) {
    RouterComponents fleet(keyed_settings(DedupScope::zone));
    RequestState& request = fleet.add_request("r");
    request.possible_run = {11, 0};
    EXPECT_TRUE(is_eligible(fleet, 10, 1, request, Strictness::relaxed));
    EXPECT_FALSE(is_eligible(fleet, 10, 12, request, Strictness::relaxed));
    request.possible_run = {99, 0};
    EXPECT_FALSE(is_eligible(fleet, 10, 11, request, Strictness::relaxed))
        << "the zone of an unknown endpoint is unknown";
}

TEST(Eligibility, AKeyedRetryMustArriveWithinItsDedupWindow) {
    RouterComponents fleet(keyed_settings(DedupScope::all));
    RequestState& request = fleet.add_request("r");
    EXPECT_EQ(fleet.eligibility.retry_deadline(request), router::kNever) << "no attempt may have run";
    request.possible_run = {11, 500};
    EXPECT_EQ(fleet.eligibility.retry_deadline(request), 500 + 2000 - 50);
    EXPECT_TRUE(is_eligible(fleet, 2349, 12, request, Strictness::relaxed));
    EXPECT_FALSE(is_eligible(fleet, 2350, 12, request, Strictness::relaxed));
}

TEST(Eligibility, CapacityIsAssumedUntilReported) {
    RouterComponents fleet;
    EXPECT_TRUE(router::Eligibility::has_capacity(fleet.endpoint(11)));
    fleet.endpoint(11).load.memory_utilization = 0.9;
    EXPECT_FALSE(router::Eligibility::has_capacity(fleet.endpoint(11)));
}

}  // namespace
}  // namespace gorsenotch::test
