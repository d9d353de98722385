#include "router/endpoint_registry.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::EndpointRegistry;
using router::EndpointState;
using router::SearchScope;

TEST(EndpointRegistry, IndexesHealthyEndpointsByRole) {
    const RouterComponents fleet;
    EXPECT_EQ(fleet.registry.with_role(Role::prefill).size(), 2u);
    EXPECT_EQ(fleet.registry.with_role(Role::decode).size(), 2u);
    EXPECT_EQ(fleet.registry.decode_capable().size(), 2u);
    // By cell; the cell of a test endpoint has the number of its zone.
    EXPECT_EQ(fleet.registry.decode_capable_in(1).size(), 1u);
    EXPECT_TRUE(fleet.registry.decode_capable_in(7).empty());
}

TEST(EndpointRegistry, AFullUpdateRemovesUnlistedEndpointsAndErasesThemOnceUnlistedForTheRetentionTime) {
    RouterComponents fleet;
    fleet.registry.apply(100, full_list({prefill_endpoint(1), decode_endpoint(11)}));
    EXPECT_EQ(fleet.registry.with_role(Role::prefill).size(), 1u);
    ASSERT_NE(fleet.registry.find(2), nullptr);
    EXPECT_EQ(fleet.endpoint(2).info.status, EndpointStatus::removed);
    // The retention time of 60 s begins with the latest update that listed the endpoint, here at 0.
    fleet.registry.erase_removed(60000);
    EXPECT_NE(fleet.registry.find(2), nullptr);
    fleet.registry.erase_removed(60001);
    EXPECT_EQ(fleet.registry.find(2), nullptr);
}

TEST(EndpointRegistry, KeepsARemovedEndpointWithAnAttemptInFlight) {
    RouterComponents fleet;
    fleet.send_request("r", 2, router::Stage::prefill);
    fleet.registry.apply(100, full_list({prefill_endpoint(1), decode_endpoint(11)}));
    fleet.registry.erase_removed(100000);
    EXPECT_NE(fleet.registry.find(2), nullptr);
}

TEST(EndpointRegistry, ARestartResetsHealthAndStartsTheSlowStart) {
    RouterComponents fleet;
    fleet.endpoint(1).health.ejected = true;
    fleet.endpoint(1).load.memory_utilization = 0.9;
    Endpoint restarted = prefill_endpoint(1);
    restarted.started_at = 5000;
    fleet.registry.apply(6000, {EndpointUpdate::Kind::incremental, {restarted}});
    EXPECT_FALSE(fleet.endpoint(1).health.ejected);
    EXPECT_EQ(fleet.endpoint(1).load.memory_utilization, -1);
    EXPECT_EQ(fleet.endpoint(1).warming_since, 5000);
}

TEST(EndpointRegistry, AStartInTheFutureCountsAsNow) {
    RouterComponents fleet;
    Endpoint restarted = prefill_endpoint(1);
    restarted.started_at = 9000;
    fleet.registry.apply(6000, {EndpointUpdate::Kind::incremental, {restarted}});
    EXPECT_EQ(fleet.endpoint(1).warming_since, 6000);
}

TEST(EndpointRegistry, IgnoresAnEndpointOfAnUnknownKind) {
    RouterComponents fleet;
    Endpoint unknown = prefill_endpoint(3);
    unknown.kind = 99;
    fleet.registry.apply(1, {EndpointUpdate::Kind::incremental, {unknown}});
    EXPECT_EQ(fleet.registry.find(3), nullptr);
}

TEST(EndpointRegistry, ReportedLoadBeyondThisGatewaysReservationsIsAttributedToOtherGateways) {
    RouterComponents fleet;
    fleet.send_request("r", 1, router::Stage::prefill);
    LoadReport report;
    EXPECT_FALSE(fleet.registry.apply_load_report(5, fleet.endpoint(1), report));
    report.memory_utilization = 0.5;
    EXPECT_TRUE(fleet.registry.apply_load_report(5, fleet.endpoint(1), report));
    // Half of the memory of 100,000 tokens is in use; this gateway has reserved 1,000.
    EXPECT_EQ(fleet.endpoint(1).load.tokens_used_by_others, 0.5 * 100000 - 1000);
}

TEST(EndpointRegistry, ALargeFleetIsSearchedByARingWindowAndThenInFull) {
    RouterComponents fleet;
    std::vector<Endpoint> listed;
    for (EndpointId id = 1; id <= 200; ++id) listed.push_back(prefill_endpoint(id));
    fleet.registry.apply(1, full_list(listed));
    std::vector<EndpointState*> window;
    const auto& ring = fleet.registry.with_role(Role::prefill);
    EXPECT_EQ(EndpointRegistry::candidates(ring, 7, SearchScope::window, window).size(), 96u);
    EXPECT_EQ(EndpointRegistry::candidates(ring, 7, SearchScope::all, window).size(), 200u);
    std::vector<SearchScope> scopes;
    const auto select_none = [&](SearchScope scope) -> EndpointState* {
        scopes.push_back(scope);
        return nullptr;
    };
    fleet.registry.choose_with_fallback(SearchScope::window, select_none);
    EXPECT_EQ(scopes, (std::vector<SearchScope>{SearchScope::window, SearchScope::all}));
}

}  // namespace
}  // namespace gorsenotch::test
