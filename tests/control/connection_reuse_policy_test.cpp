// ConnectionReusePolicy: when an idle connection is reused.
#include "control/connection_reuse_policy.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

// Guards against reuse where idle connections are reset at the next request: with real sockets 30% of the
// reused connections broke, and each break used up an attempt.
TEST(ConnectionReusePolicy, ConnectionsThatBreakTooOftenAreReusedOnlyAsATrial) {
    ConnectionReusePolicy policy;
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "reused before any request was recorded";
    EXPECT_FALSE(policy.should_reuse(10, 0)) << "not within the cooldown: a surplus response may follow";
    for (int i = 0; i < 200; ++i) {
        policy.on_request_ended(100, i % 100 == 0);
        policy.on_request_ended(-1, false);
    }
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "one break in a hundred costs less than the handshakes";
    for (int i = 0; i < 10; ++i) policy.on_request_ended(100, i % 3 == 0);
    EXPECT_FALSE(policy.should_reuse(100, 0.9));
    EXPECT_TRUE(policy.should_reuse(100, 0.01)) << "reused as a trial";
    EXPECT_TRUE(policy.should_reuse(4000, 0.9)) << "counted by idle time";
    for (int i = 0; i < 300; ++i) policy.on_request_ended(100, false);
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "reused again once they no longer break";
}

TEST(ConnectionReusePolicy, IdleConnectionsAreReusedWhereNewOnesBreakAsOften) {
    ConnectionReusePolicy policy;
    for (int i = 0; i < 200; ++i) {
        policy.on_request_ended(100, i % 4 == 0);
        policy.on_request_ended(-1, i % 4 == 0);
    }
    EXPECT_TRUE(policy.should_reuse(100, 0.9));
}

TEST(ConnectionReusePolicy, ATrialDoesNotOverrideTheCooldown) {
    const ConnectionReusePolicy policy;
    EXPECT_FALSE(policy.should_reuse(24.9, 0));
    EXPECT_TRUE(policy.should_reuse(25, 0));
}

TEST(ConnectionReusePolicy, EachIdleTimeBucketIsCountedSeparately) {
    for (const Millis broken_at : {100.0, 1000.0, 5000.0}) {
        ConnectionReusePolicy policy;
        for (int i = 0; i < 50; ++i) policy.on_request_ended(broken_at, true);
        for (const Millis idle : {100.0, 1000.0, 5000.0})
            EXPECT_EQ(policy.should_reuse(idle, 0.9), idle != broken_at) << broken_at << ", " << idle;
    }
}

}  // namespace
}  // namespace gorsenotch::control
