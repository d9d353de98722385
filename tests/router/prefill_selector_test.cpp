#include "router/prefill_selector.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::EndpointState;
using router::RequestState;

EndpointId chosen_id(const EndpointState* endpoint) { return endpoint ? endpoint->info.id : 0; }

Endpoint mixed(EndpointId id) {
    Endpoint endpoint = prefill_endpoint(id);
    endpoint.kind = 2;
    return endpoint;
}

TEST(PrefillSelector, PrefersTheOwnZoneWithinTheLoadMargin) {
    RouterComponents fleet;
    for (int i = 0; i < 10; ++i) {
        const RequestState& request = fleet.add_request("r" + std::to_string(i));
        EXPECT_EQ(chosen_id(fleet.prefill_selector.choose(0, request)), 1u);
    }
}

TEST(PrefillSelector, LeavesTheOwnZoneBeyondTheLoadMargin) {
    RouterComponents fleet;
    const RequestState& request = fleet.add_request("r");
    fleet.fleet_stats.record_arrival(request);  // a typical prompt has 1,000 tokens
    fleet.endpoint(1).load.reserved_tokens = 2001;
    EXPECT_EQ(chosen_id(fleet.prefill_selector.choose(0, request)), 2u);
}

TEST(PrefillSelector, ASessionStaysAtOneEndpoint) {
    RouterComponents fleet;
    fleet.registry.apply(0, full_list({prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                                       prefill_endpoint(4), decode_endpoint(11)}));
    for (std::uint64_t session = 1; session <= 5; ++session) {
        RequestState& request = fleet.add_request("r" + std::to_string(session));
        request.arrival.session = session;
        const EndpointState* first = fleet.prefill_selector.choose(0, request);
        for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet.prefill_selector.choose(0, request), first);
    }
}

TEST(PrefillSelector, AMixedEndpointPrefillsOnlyIfTheDecodeEndpointsAreFull) {
    RouterComponents fleet;
    fleet.registry.apply(0, full_list({prefill_endpoint(1), mixed(21), decode_endpoint(11)}));
    const RequestState& request = fleet.add_request("r");
    fleet.fleet_stats.record_arrival(request);
    fleet.endpoint(1).load.reserved_tokens = 50000;
    EXPECT_EQ(chosen_id(fleet.prefill_selector.choose(0, request)), 1u);
    fleet.endpoint(11).load.memory_utilization = 0.95;
    fleet.endpoint(21).load.memory_utilization = 0.95;
    EXPECT_EQ(chosen_id(fleet.prefill_selector.choose(0, request)), 1u) << "endpoint 21 is full too";
}

TEST(PrefillSelector, ChoosesNothingIfNoEndpointIsListed) {
    RouterComponents fleet;
    fleet.registry.apply(0, full_list({}));
    EXPECT_EQ(fleet.prefill_selector.choose(0, fleet.add_request("r")), nullptr);
}

}  // namespace
}  // namespace gorsenotch::test
