// A shutdown answers every request whose stream has not begun.
#include <gtest/gtest.h>

#include <algorithm>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterShutdownTest : public RouterFixture {};

TEST_F(RouterShutdownTest, RejectsWhatNeverRanAndFailsWhatMayHaveRun) {
    struct Case {
        Idempotency idempotency;
        DedupScope scope;
        bool rejected_sent;
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
        // "unsent" was never decoded: its prefill was reset and the retry rejected, so that another prefill
        // is pending. "sent" waits for its decode endpoint.
        const EndpointId unsent = arrive("unsent", 10);
        const EndpointId sent = arrive("sent", 11);
        harness->handle(20, attempt_ended("sent", 0, sent, AttemptResult::prefill_done));
        harness->handle(21, attempt_ended("unsent", 0, unsent, AttemptResult::reset));
        const auto again = harness->actions_of<StartAttempt>();
        ASSERT_EQ(again.size(), 1u);
        harness->handle(22, attempt_ended("unsent", 1, again[0].endpoint, AttemptResult::rejected));
        harness->handle(30, Shutdown{});
        const auto rejected = [this](const RequestId& id) {
            const auto all = harness->actions_of<Reject>();
            return std::any_of(all.begin(), all.end(),
                               [&](const Reject& reject) { return reject.request == id; });
        };
        EXPECT_EQ(harness->actions_of<Reject>().size() + harness->actions_of<Fail>().size(), 2u);
        EXPECT_EQ(rejected("sent"), test_case.rejected_sent);
        EXPECT_TRUE(harness->checker.violations.empty()) << harness->checker.violations[0];
        harness->handle(31, Shutdown{});
        EXPECT_EQ(harness->actions_of<Reject>().size() + harness->actions_of<Fail>().size(), 0u)
            << "one answer each";
    }
}

TEST_F(RouterShutdownTest, LeavesStreamsThatHaveBegun) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    harness->handle(30, FirstToken{"a", 1, 11, 5});
    harness->handle(40, Shutdown{});
    EXPECT_TRUE(harness->actions.empty());
}

}  // namespace
}  // namespace gorsenotch::test
