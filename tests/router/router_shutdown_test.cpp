// On shutdown, every request whose stream has not begun gets its final answer.
#include <gtest/gtest.h>

#include <algorithm>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterShutdownTest : public RouterFixture {};

TEST_F(RouterShutdownTest, RejectsRequestsThatDidNotRunAndFailsThoseThatMayHaveRun) {
    struct Case {
        Idempotency idempotency;
        DedupScope scope;
        bool sent_is_rejected;
    };
    const Case cases[] = {{Idempotency::idempotent, DedupScope::all, true},
                          {Idempotency::with_key, DedupScope::all, true},
                          {Idempotency::with_key, DedupScope::cell, false},
                          {Idempotency::unsafe, DedupScope::all, false}};
    for (const Case& test_case : cases) {
        Settings settings = test_settings();
        settings.classes[0].idempotency = test_case.idempotency;
        settings.classes[0].dedup_scope = test_case.scope;
        settings.classes[0].dedup_window = 5000;
        start_router(settings,
                     {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11), decode_endpoint(12)});
        // "unsent" was never sent to a decode endpoint: its prefill was reset and the retry rejected, so
        // another prefill is pending. "sent" waits for its first token at the decode endpoint.
        const EndpointId unsent = arrive("unsent", 10);
        const EndpointId sent = arrive("sent", 11);
        harness->handle(20, attempt_ended("sent", 0, sent, AttemptResult::prefill_done));
        harness->handle(21, attempt_ended("unsent", 0, unsent, AttemptResult::reset));
        const auto retries = harness->actions_of<StartAttempt>();
        ASSERT_EQ(retries.size(), 1u);
        harness->handle(22, attempt_ended("unsent", 1, retries[0].endpoint, AttemptResult::rejected));
        harness->handle(30, Shutdown{});
        const auto rejected = [this](const RequestId& id) {
            const auto all = harness->actions_of<Reject>();
            return std::any_of(all.begin(), all.end(),
                               [&](const Reject& reject) { return reject.request == id; });
        };
        EXPECT_EQ(harness->actions_of<Reject>().size() + harness->actions_of<Fail>().size(), 2u);
        EXPECT_EQ(rejected("sent"), test_case.sent_is_rejected);
        EXPECT_TRUE(harness->checker.violations.empty()) << harness->checker.violations[0];
        harness->handle(31, Shutdown{});
        EXPECT_EQ(harness->actions_of<Reject>().size() + harness->actions_of<Fail>().size(), 0u)
            << "only one final answer each";
    }
}

TEST_F(RouterShutdownTest, DoesNotEndStreamsThatHaveBegun) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    harness->handle(30, FirstToken{"a", 1, 11, 5});
    harness->handle(40, Shutdown{});
    EXPECT_TRUE(harness->actions.empty());
}

}  // namespace
}  // namespace gorsenotch::test
