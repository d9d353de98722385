// Which requests are shed under load, on arrival or after their prefill.
#include <gtest/gtest.h>

#include <string>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterLoadSheddingTest : public RouterFixture {};

TEST_F(RouterLoadSheddingTest, TenantsOverQuotaAreShedFirst) {
    Settings settings = test_settings();
    settings.tenants = {{1}, {1000}};
    settings.over_quota_weight = 0.05;
    start_router(settings, {prefill_endpoint(1), decode_endpoint(11)});
    int rejected[2] = {0, 0};
    for (int i = 0; i < 26; ++i) {
        Arrival request = arrival("r" + std::to_string(i), 10 + i);
        request.tenant = i % 2;
        harness->handle(10 + i, request);
        rejected[i % 2] += static_cast<int>(harness->actions_of<Reject>().size());
    }
    EXPECT_GT(rejected[0], rejected[1]);
}

TEST_F(RouterLoadSheddingTest, LatePrefillIsRejectedWhereOthersWait) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    for (int i = 0; i < 3; ++i) {
        const RequestId id = "w" + std::to_string(i);
        ASSERT_EQ(arrive(id, 10 + i), 1u);
        harness->handle(20 + i, attempt_ended(id, 0, 1, AttemptResult::prefill_done));
    }
    // Three requests wait at the only decode endpoint. The prefill of "late" ends after its latency objective
    // of 1 s.
    ASSERT_EQ(arrive("late", 30), 1u);
    harness->handle(1100, attempt_ended("late", 0, 1, AttemptResult::prefill_done));
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
    EXPECT_EQ(harness->actions_of<Reject>().at(0).cause, EndCause::decode_too_late);
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
}

TEST_F(RouterLoadSheddingTest, LatePrefillIsServedWhereNobodyWaits) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    ASSERT_EQ(arrive("late", 30), 1u);
    harness->handle(1100, attempt_ended("late", 0, 1, AttemptResult::prefill_done));
    EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
}

TEST_F(RouterLoadSheddingTest, BurstIsShedBeforeItsPrefillsReachTheDecodeEndpoints) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                                   prefill_endpoint(4), decode_endpoint(11)});
    int rejected = 0;
    for (int i = 0; i < 60; ++i) rejected += arrive("b" + std::to_string(i), 10) == 0;
    EXPECT_GT(rejected, 0);  // the prefills alone, 15 per endpoint, would still be in time
    EXPECT_LT(rejected, 55);
}

// Guards against long prompts that are shed for their length: the wait was estimated as the mean time per
// 1,000 tokens, queueing included, times the length of the prompt, so that nearly all shed prompts had more
// than 8,000 tokens.
TEST_F(RouterLoadSheddingTest, LongPromptIsNotShedForItsLength) {
    Settings settings = test_settings();
    settings.classes[1].priority_weight = settings.classes[0].priority_weight / 3;
    for (auto& class_settings : settings.classes) class_settings.latency_objective_per_1000_tokens = 40;
    start_router(settings,
                 {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11), decode_endpoint(12)});
    Millis now = 10;
    for (int i = 0; i < 40; ++i, now += 150) {
        const std::string id = "s" + std::to_string(i);
        harness->advance_to(now);
        const EndpointId at = arrive(id, now);
        harness->advance_to(now + 90);
        harness->handle(now + 90, attempt_ended(id, 0, at, AttemptResult::prefill_done));
        const EndpointId decode_at = harness->actions_of<StartAttempt>().at(0).endpoint;
        harness->handle(now + 100, FirstToken{id, 1, decode_at, 10});
        harness->handle(now + 140, attempt_ended(id, 1, decode_at, AttemptResult::served, true));
    }
    harness->handle(now, arrival("out", now));  // with a pending attempt, the wait is estimated
    Arrival request = arrival("long", now + 1, 16000);
    request.cls = 1;
    harness->handle(now + 1, request);
    EXPECT_TRUE(harness->actions_of<Reject>().empty());
    EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
