// ConnectionReusePolicy: when an idle connection is used again.
#include "control/connection_reuse_policy.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

// Found on sockets: where idle connections were reset at the next request, 30% of the reused ones broke, and
// each cost an attempt.
TEST(ConnectionReusePolicy, ConnectionsThatBreakAreLeftAndTriedNowAndThen) {
    ConnectionReusePolicy policy;
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "at the start they are used";
    EXPECT_FALSE(policy.should_reuse(10, 0)) << "but not right after an answer: a second one may follow";
    for (int i = 0; i < 200; ++i) {
        policy.on_request_ended(100, i % 100 == 0);
        policy.on_request_ended(-1, false);
    }
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "one in a hundred is less than a handshake";
    for (int i = 0; i < 10; ++i) policy.on_request_ended(100, i % 3 == 0);
    EXPECT_FALSE(policy.should_reuse(100, 0.9));
    EXPECT_TRUE(policy.should_reuse(100, 0.01)) << "a few are tried";
    EXPECT_TRUE(policy.should_reuse(4000, 0.9)) << "by how long they had been idle";
    for (int i = 0; i < 300; ++i) policy.on_request_ended(100, false);
    EXPECT_TRUE(policy.should_reuse(100, 0.9)) << "healed";
}

TEST(ConnectionReusePolicy, WhereNewConnectionsBreakAsOftenIdleOnesAreReused) {
    ConnectionReusePolicy policy;
    for (int i = 0; i < 200; ++i) {
        policy.on_request_ended(100, i % 4 == 0);
        policy.on_request_ended(-1, i % 4 == 0);
    }
    EXPECT_TRUE(policy.should_reuse(100, 0.9));
}

TEST(ConnectionReusePolicy, ATrialNeverComesBeforeTheCooldown) {
    const ConnectionReusePolicy policy;
    EXPECT_FALSE(policy.should_reuse(24.9, 0));
    EXPECT_TRUE(policy.should_reuse(25, 0));
}

TEST(ConnectionReusePolicy, EachRangeOfIdleTimesIsCountedByItself) {
    for (const Millis broken_at : {100.0, 1000.0, 5000.0}) {
        ConnectionReusePolicy policy;
        for (int i = 0; i < 50; ++i) policy.on_request_ended(broken_at, true);
        for (const Millis idle : {100.0, 1000.0, 5000.0})
            EXPECT_EQ(policy.should_reuse(idle, 0.9), idle != broken_at) << broken_at << ", " << idle;
    }
}

}  // namespace
}  // namespace gorsenotch::control
