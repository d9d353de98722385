#include "router/prefix_affinity.h"

#include <gtest/gtest.h>

#include <set>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::EndpointState;
using router::RequestState;

Settings with_gateways(int gateways) {
    Settings settings = test_settings();
    settings.gateways = gateways;
    return settings;
}

RequestState& add_with_prefix(RouterComponents& fleet, const RequestId& id, double shared_prefix_tokens) {
    RequestState& request = fleet.add_request(id, 0, 1000);
    request.arrival.session = 5;
    request.arrival.shared_prefix = 7;
    request.arrival.shared_prefix_tokens = shared_prefix_tokens;
    return request;
}

TEST(PrefixAffinity, TheKeyIsTheSharedPrefixOrElseTheSession) {
    RouterComponents fleet;
    RequestState& request = add_with_prefix(fleet, "r", 100);
    EXPECT_EQ(fleet.prefix_affinity.affinity_key(request), 7u);
    request.arrival.shared_prefix = 0;
    EXPECT_EQ(fleet.prefix_affinity.affinity_key(request), 5u);
    request.arrival.session = 0;
    EXPECT_EQ(fleet.prefix_affinity.affinity_key(request), 0u);
    EXPECT_EQ(fleet.prefix_affinity.prefill_window_key(request), kSeed + request.serial);
}

TEST(PrefixAffinity, AtALowSampleRateAMostlyOwnPromptHasSessionAffinity) {
    RouterComponents fleet(with_gateways(60));
    EXPECT_EQ(fleet.prefix_affinity.affinity_key(add_with_prefix(fleet, "own", 499)), 5u);
    EXPECT_EQ(fleet.prefix_affinity.affinity_key(add_with_prefix(fleet, "shared", 500)), 7u);
}

TEST(PrefixAffinity, APopularPrefixHasMoreReplicasAtALowSampleRate) {
    for (const int gateways : {2, 60}) {
        RouterComponents fleet(with_gateways(gateways));
        std::vector<Endpoint> listed;
        for (EndpointId id = 1; id <= 30; ++id) listed.push_back(prefill_endpoint(id));
        fleet.registry.apply(0, full_list(listed));
        const std::vector<EndpointState*>& candidates = fleet.registry.with_role(Role::prefill).by_id();
        std::set<const EndpointState*> chosen;
        for (std::uint64_t session = 1; session <= 200; ++session) {
            RequestState& request = add_with_prefix(fleet, "r" + std::to_string(session), 900);
            request.arrival.session = session;
            fleet.prefix_affinity.record_arrival(request);
            chosen.insert(fleet.prefix_affinity.choose(request, 7, candidates, candidates.size()));
        }
        if (gateways == 2) {
            EXPECT_EQ(chosen.size(), 1u);
        } else {
            EXPECT_GT(chosen.size(), 10u);
        }
    }
}

}  // namespace
}  // namespace gorsenotch::test
