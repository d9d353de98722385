// Each request gets exactly one final answer, and the answer states its cause.
#include <gtest/gtest.h>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterFinalAnswerTest : public RouterFixture {};

// Guards against logs that do not state why a request was rejected or failed: one case for each of several
// causes.
TEST_F(RouterFinalAnswerTest, AnswerCarriesItsCause) {
    const auto cause = [this] {
        const auto rejected = harness->actions_of<Reject>();
        const auto failed = harness->actions_of<Fail>();
        EXPECT_EQ(rejected.size() + failed.size(), 1u);
        return rejected.empty() ? failed.at(0).cause : rejected.at(0).cause;
    };
    start_router(test_settings(), {});
    harness->handle(10, arrival("a", 10));
    EXPECT_EQ(cause(), EndCause::no_decode_endpoint);

    start_router(test_settings(), {decode_endpoint(11)});
    harness->handle(10, arrival("a", 10));
    EXPECT_EQ(cause(), EndCause::no_endpoint) << "no prefill endpoint";

    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    arrive("a", 10);
    harness->advance_to(5010);
    EXPECT_EQ(cause(), EndCause::deadline);

    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    arrive("a", 10);
    harness->handle(20, Shutdown{});
    EXPECT_EQ(cause(), EndCause::shutdown);

    Settings once = test_settings();
    once.classes[0].idempotency = Idempotency::unsafe;
    start_router(once, {prefill_endpoint(1), decode_endpoint(11)});
    harness->handle(20, attempt_ended("a", 0, arrive("a", 10), AttemptResult::prefill_done));
    harness->handle(30, attempt_ended("a", 1, 11, AttemptResult::reset));
    EXPECT_EQ(cause(), EndCause::may_have_run);

    Settings two = test_settings();
    two.max_attempts = 2;
    start_router(two, {prefill_endpoint(1), decode_endpoint(11)});
    harness->handle(20, attempt_ended("a", 0, arrive("a", 10), AttemptResult::prefill_done));
    harness->handle(30, attempt_ended("a", 1, 11, AttemptResult::rejected));
    EXPECT_EQ(cause(), EndCause::attempts_exhausted);
}

TEST_F(RouterFinalAnswerTest, RejectionsByAllEndpointsEndInOneRejectAndOneLeaseRelease) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    Millis now = 30;
    int attempt = 1;
    while (!harness->actions_of<StartAttempt>().empty())
        harness->handle(now++, attempt_ended("a", attempt++, 11, AttemptResult::rejected));
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
    EXPECT_LE(attempt, 6);
}

TEST_F(RouterFinalAnswerTest, EmptyPromptAndPastDeadlineGetOneAnswerEach) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    harness->handle(10, arrival("empty", 10, 0));
    EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    Arrival late = arrival("late", 10);
    late.deadline = 5;
    harness->checker.on_event(10, late);
    harness->actions.clear();
    harness->router.handle(10, late, harness->actions);
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
    harness->checker.on_event(10, ClientDisconnected{"late"});
}

TEST_F(RouterFinalAnswerTest, DeadlineRejectsAndReleasesTheLeaseOfALatePrefill) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->advance_to(5010);
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
    harness->handle(5012, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
    EXPECT_TRUE(harness->actions_of<StartAttempt>().empty());
}

TEST_F(RouterFinalAnswerTest, StreamCancelledAtItsFirstTokenIsRetriedOrRejected) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    harness->handle(30, FirstToken{"a", 1, 11, 5});
    harness->checker.violations.clear();
    // The simulator reports such an attempt as cancelled and its request as still open.
    harness->actions.clear();
    harness->router.handle(40, attempt_ended("a", 1, 11, AttemptResult::cancelled), harness->actions);
    EXPECT_EQ(harness->actions_of<StartAttempt>().size() + harness->actions_of<Reject>().size(), 1u);
}

TEST_F(RouterFinalAnswerTest, EventsOfUnknownRequestsAndEndpointsAreIgnored) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    harness->actions.clear();
    harness->router.handle(1, attempt_ended("unknown", 0, 1, AttemptResult::served, true), harness->actions);
    harness->router.handle(1, attempt_ended("unknown", 0, 999, AttemptResult::reset), harness->actions);
    harness->router.handle(1, FirstToken{"unknown", 0, 1, 1}, harness->actions);
    harness->router.handle(1, ReservationReply{"unknown", 1, true}, harness->actions);
    harness->router.handle(1, HealthCheckResult{999, true, 1, {}}, harness->actions);
    harness->router.handle(1, ClientDisconnected{"unknown"}, harness->actions);
    harness->router.handle(1, TimerFired{12345}, harness->actions);
    EXPECT_TRUE(harness->actions.empty());
}

}  // namespace
}  // namespace gorsenotch::test
