// Which requests may be retried after an attempt that may have run, depending on the idempotency of their
// class.
#include <gtest/gtest.h>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterIdempotencyTest : public RouterFixture {};

TEST_F(RouterIdempotencyTest, UnsafeRequestThatMayHaveRunFailsWithoutRetry) {
    Settings settings = test_settings();
    settings.classes[0].idempotency = Idempotency::unsafe;
    start_router(settings, {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    const EndpointId decode_at = harness->actions_of<StartAttempt>().at(0).endpoint;
    harness->handle(30, attempt_ended("a", 1, decode_at, AttemptResult::reset));
    EXPECT_EQ(harness->actions_of<Fail>().size(), 1u);
    EXPECT_TRUE(harness->actions_of<StartAttempt>().empty());
}

TEST_F(RouterIdempotencyTest, KeyedRequestIsRetriedInItsDedupScope) {
    Settings settings = test_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_scope = DedupScope::zone;
    settings.classes[0].dedup_window = 5000;
    start_router(settings, {prefill_endpoint(1, 0), decode_endpoint(11, 0), decode_endpoint(12, 1),
                            decode_endpoint(13, 0)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    const EndpointId decode_at = harness->actions_of<StartAttempt>().at(0).endpoint;
    harness->handle(30, attempt_ended("a", 1, decode_at, AttemptResult::reset));
    EXPECT_EQ(harness->actions_of<StartAttempt>().at(0).endpoint, decode_at == 11 ? 13u : 11u);
}

TEST_F(RouterIdempotencyTest, KeyedRequestFailsWithoutPrefillEndpointInItsDedupScope) {
    Settings settings = test_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_scope = DedupScope::zone;
    settings.classes[0].dedup_window = 5000;
    start_router(settings, {prefill_endpoint(1, 0), decode_endpoint(11, 1), prefill_endpoint(2, 0),
                            prefill_endpoint(3, 0)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    harness->handle(30, attempt_ended("a", 1, 11, AttemptResult::reset));
    ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    AttemptEnded no_kv_cache = attempt_ended("a", 2, 11, AttemptResult::rejected);
    no_kv_cache.detail = 1;
    harness->handle(40, no_kv_cache);
    EXPECT_TRUE(harness->actions_of<StartAttempt>().empty())
        << "a prefill is an attempt too, and no prefill endpoint is in the dedup scope";
    EXPECT_EQ(harness->actions_of<Fail>().size(), 1u);
    EXPECT_TRUE(harness->checker.violations.empty()) << harness->checker.violations[0];
}

TEST_F(RouterIdempotencyTest, KeyedRequestIsRetriedOnlyIfItArrivesWithinItsDedupWindow) {
    Settings settings = test_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_window = 1000;
    settings.connect_timeout = 250;
    for (const Millis reset_at : {600.0, 700.0}) {
        start_router(settings,
                     {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11), decode_endpoint(12)});
        const EndpointId prefill_at = arrive("a", 10);
        harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
        const EndpointId decode_at = harness->actions_of<StartAttempt>().at(0).endpoint;
        harness->handle(reset_at, attempt_ended("a", 1, decode_at, AttemptResult::reset));
        if (reset_at < 650) {
            ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
            const Millis send_by = harness->actions_of<StartAttempt>()[0].send_by;
            EXPECT_GT(send_by, reset_at);
            EXPECT_LE(send_by, 20 + 1000 - 0.5 * 250) << "leaves time for the bytes to arrive";
        } else {
            EXPECT_TRUE(harness->actions_of<StartAttempt>().empty());
            EXPECT_EQ(harness->actions_of<Reject>().size(), 1u)
                << "all endpoints drop duplicates, so the client may retry";
        }
        EXPECT_TRUE(harness->checker.violations.empty());
    }
}

}  // namespace
}  // namespace gorsenotch::test
