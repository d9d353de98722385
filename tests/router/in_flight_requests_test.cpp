#include "router/in_flight_requests.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::EndpointLoad;
using router::RequestState;
using router::Stage;

TEST(InFlightRequests, APrefillLoadsItsEndpointUntilItEnds) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 1, Stage::prefill);
    const EndpointLoad& load = fleet.endpoint(1).load;
    EXPECT_EQ(load.in_flight[Stage::prefill], 1);
    EXPECT_EQ(load.reserved_tokens, 1000);
    EXPECT_EQ(load.queued_kilotokens, 1.2);
    EXPECT_EQ(request.attempt.work_units, 1.2);
    fleet.in_flight_requests.end_attempt(request);
    EXPECT_EQ(load.in_flight_total(), 0);
    EXPECT_EQ(load.reserved_tokens, 0);
    EXPECT_EQ(load.queued_kilotokens, 0);
}

TEST(InFlightRequests, ALeaseReservesTheTokensOfThePrompt) {
    RouterComponents fleet;
    RequestState& request = fleet.add_request("r");
    request.prefill_endpoint = 1;
    fleet.in_flight_requests.set_kv_lease(request, true);
    fleet.in_flight_requests.set_kv_lease(request, true);
    EXPECT_EQ(fleet.endpoint(1).load.reserved_tokens, 1000);
    fleet.in_flight_requests.erase(request);
    EXPECT_EQ(fleet.endpoint(1).load.reserved_tokens, 0);
    EXPECT_EQ(fleet.in_flight_requests.find("r"), nullptr);
    EXPECT_EQ(fleet.in_flight_requests.find_by_serial(1), nullptr);
}

TEST(InFlightRequests, AStreamMovesTheLoadToItsStage) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    request.arrival.length_hint = 12000;
    EXPECT_EQ(fleet.in_flight_requests.count_not_streaming(), 1);
    fleet.in_flight_requests.begin_stream(100, request, fleet.endpoint(11));
    EXPECT_EQ(fleet.in_flight_requests.count_not_streaming(), 0);
    EXPECT_EQ(fleet.endpoint(11).load.in_flight[Stage::decode_queued], 0);
    EXPECT_EQ(fleet.endpoint(11).load.in_flight[Stage::streaming], 1);
    EXPECT_EQ(request.attempt.work_units, 2) << "predicted: 200 tokens at 60 ms";
}

TEST(InFlightRequests, AStreamIsYoungFor500Tokens) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    fleet.in_flight_requests.begin_stream(100, request, fleet.endpoint(11));
    EXPECT_EQ(fleet.in_flight_requests.count_young_streams(100 + 29999, fleet.endpoint(11)), 1);
    EXPECT_EQ(fleet.in_flight_requests.count_young_streams(100 + 30000, fleet.endpoint(11)), 0);
    EXPECT_EQ(fleet.in_flight_requests.count_young_streams(200, fleet.endpoint(12)), 0);
}

TEST(InFlightRequests, AStallDoesNotAgeAttemptsInFlight) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 1, Stage::prefill, 100);
    fleet.in_flight_requests.on_stall(5000, 3000);
    EXPECT_EQ(request.attempt.sent_at, 3100);
    EXPECT_EQ(request.attempt.original_sent_at, 100);
    EXPECT_TRUE(request.attempt.spans_gateway_stall);
    fleet.in_flight_requests.on_stall(6000, 9000);
    EXPECT_EQ(request.attempt.sent_at, 6000) << "limited to the present";
}

}  // namespace
}  // namespace gorsenotch::test
