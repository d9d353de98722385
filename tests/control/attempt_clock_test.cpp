// AttemptClock: when an attempt times out, and whether the endpoint is at fault.
#include "control/attempt_clock.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

TEST(AttemptClock, StallsBeforeTheWriteExtendTheTimeOutUpToTheDeadline) {
    AttemptClock clock{1000, 500, 9000, 0, 0};
    EXPECT_EQ(clock.timeout_at(), 1500);
    EXPECT_TRUE(clock.endpoint_at_fault());
    clock.stalled_at_write = 2000;
    EXPECT_EQ(clock.timeout_at(), 3500);
    EXPECT_TRUE(clock.endpoint_at_fault());
    clock.request_deadline = 3000;  // the request's deadline is never extended
    EXPECT_EQ(clock.timeout_at(), 3000);
    EXPECT_FALSE(clock.endpoint_at_fault());
    clock.timeout = 0;
    EXPECT_EQ(clock.timeout_at(), 3000);
}

TEST(AttemptClock, AStallTimeReadBeforeTheAttemptDoesNotShortenTheTimeOut) {
    const AttemptClock clock{1000, 500, 9000, 200, 0};
    EXPECT_EQ(clock.timeout_at(), 1500);
}

TEST(AttemptClock, AtTheDeadlineTheEndpointIsAtFaultUnlessThereWasAStall) {
    AttemptClock clock{1000, 500, 1200, 0, 0};
    EXPECT_EQ(clock.timeout_at(), 1200);
    EXPECT_TRUE(clock.endpoint_at_fault());
    clock.stalled_at_write = 1;
    EXPECT_FALSE(clock.endpoint_at_fault());
}

}  // namespace
}  // namespace gorsenotch::control
