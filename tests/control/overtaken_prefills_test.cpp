// OvertakenPrefills: which answers show that the response to an earlier prefill was probably lost.
#include "control/overtaken_prefills.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

constexpr EndpointId kEndpoint = 1;

TEST(OvertakenPrefills, OnlyALaterPrefillOfTheSameEndpointWithAsManyTokensOvertakes) {
    OvertakenPrefills prefills;
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 500));
    prefills.on_prefill_answered(kEndpoint, 90, 900);
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 500)) << "it was sent earlier";
    prefills.on_prefill_answered(kEndpoint, 110, 499);
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 500)) << "it had less to do";
    prefills.on_prefill_answered(kEndpoint + 1, 110, 900);
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 500)) << "it was at another endpoint";
    prefills.on_prefill_answered(kEndpoint, 110, 500);
    EXPECT_TRUE(prefills.is_overtaken(kEndpoint, 100, 500));
}

TEST(OvertakenPrefills, KeepsTheLatestAnswersOfListedEndpoints) {
    OvertakenPrefills prefills;
    prefills.on_prefill_answered(kEndpoint, 110, 900);
    for (int i = 0; i < 8; ++i) prefills.on_prefill_answered(kEndpoint, 120 + i, 10);
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 500)) << "too old to be kept";
    EXPECT_TRUE(prefills.is_overtaken(kEndpoint, 100, 10));
    prefills.forget_endpoints([](EndpointId endpoint) { return endpoint == kEndpoint; });
    EXPECT_FALSE(prefills.is_overtaken(kEndpoint, 100, 10));
}

}  // namespace
}  // namespace gorsenotch::control
