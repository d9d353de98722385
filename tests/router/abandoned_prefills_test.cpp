#include "router/abandoned_prefills.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

TEST(AbandonedPrefills, TheirTokensStayReservedForAsLongAgainAsTheyHaveRun) {
    RouterComponents fleet;
    RequestState& request = fleet.send_request("r", 1, Stage::prefill, 100);
    fleet.abandoned_prefills.add(400, fleet.endpoint(1), request);
    fleet.in_flight_requests.end_attempt(request);
    EXPECT_EQ(fleet.endpoint(1).load.reserved_tokens, 1000);
    fleet.abandoned_prefills.expire(699);
    EXPECT_EQ(fleet.endpoint(1).load.reserved_tokens, 1000);
    fleet.abandoned_prefills.expire(700);
    EXPECT_EQ(fleet.endpoint(1).load.reserved_tokens, 0);
}

TEST(AbandonedPrefills, AnAttemptInAnotherStageReservesNothing) {
    RouterComponents fleet;
    const RequestState& request = fleet.send_request("r", 11, Stage::decode_queued, 100);
    fleet.abandoned_prefills.add(400, fleet.endpoint(11), request);
    EXPECT_EQ(fleet.endpoint(11).load.reserved_tokens, 0);
}

}  // namespace
}  // namespace gorsenotch::test
