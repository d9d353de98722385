#include "router/decode_selector.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::EndpointState;
using router::RequestState;
using router::Stage;

EndpointId chosen_id(const EndpointState* endpoint) { return endpoint ? endpoint->info.id : 0; }

TEST(DecodeSelector, ChoosesTheShortestQueue) {
    RouterComponents fleet;
    for (int i = 0; i < 2; ++i) fleet.send_request("queued" + std::to_string(i), 11, Stage::decode_queued);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(chosen_id(fleet.decode_selector.choose(0, fleet.add_request("r" + std::to_string(i)))),
                  12u);
}

TEST(DecodeSelector, PrefersTheCellOfThePrefillEndpoint) {
    RouterComponents fleet;
    for (const EndpointId prefill_endpoint : {1u, 2u}) {
        RequestState& request = fleet.add_request("r" + std::to_string(prefill_endpoint));
        request.prefill_endpoint = prefill_endpoint;
        request.has_kv_lease = true;
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(chosen_id(fleet.decode_selector.choose(0, request)), prefill_endpoint + 10);
    }
}

TEST(DecodeSelector, AmongEqualQueuesChoosesTheFewestStreams) {
    RouterComponents fleet;
    RequestState& stream = fleet.send_request("stream", 11, Stage::decode_queued);
    fleet.in_flight_requests.begin_stream(10, stream, fleet.endpoint(11));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(chosen_id(fleet.decode_selector.choose(20, fleet.add_request("r" + std::to_string(i)))),
                  12u);
}

TEST(DecodeSelector, AFullEndpointIsChosenOnlyIfAllAreFull) {
    RouterComponents fleet;
    const RequestState& request = fleet.add_request("r");
    fleet.endpoint(11).load.memory_utilization = 0.95;
    for (int i = 0; i < 10; ++i) EXPECT_EQ(chosen_id(fleet.decode_selector.choose(0, request)), 12u);
    fleet.endpoint(12).load.memory_utilization = 0.95;
    EXPECT_NE(fleet.decode_selector.choose(0, request), nullptr);
}

}  // namespace
}  // namespace gorsenotch::test
