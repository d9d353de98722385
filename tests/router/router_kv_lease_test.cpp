// When the Router releases the KV lease of a request, and how it continues after a lease has ended.
#include <gtest/gtest.h>

#include <string>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterKvLeaseTest : public RouterFixture {};

TEST_F(RouterKvLeaseTest, LeaseOfADisconnectedClientIsReleased) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(15, ClientDisconnected{"a"});
    EXPECT_EQ(harness->actions_of<StopAttempt>().size(), 1u);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done, true));
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
}

TEST_F(RouterKvLeaseTest, KvCacheThatCannotBeFetchedIsReleasedAndItsRequestIsPrefilledAgain) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    AttemptEnded fetch_failed = attempt_ended("a", 1, 11, AttemptResult::rejected);
    // The decode endpoint could not fetch the KV cache, which may still be at the prefill endpoint.
    fetch_failed.detail = 1;
    harness->handle(30, fetch_failed);
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
    EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u);  // the repeated prefill
}

// After the host has released the lease (control/lease_ledger), no further decode attempt may use it.
TEST_F(RouterKvLeaseTest, RequestWhoseLeaseHasEndedIsPrefilledAgain) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    const EndpointId at = harness->actions_of<StartAttempt>()[0].endpoint;
    harness->handle(320, LeaseReleased{"a"});
    EXPECT_TRUE(harness->actions_of<StartAttempt>().empty()) << "the pending decode attempt continues";
    harness->handle(330, attempt_ended("a", 1, at, AttemptResult::unreachable));
    ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    EXPECT_EQ(harness->actions_of<StartAttempt>()[0].endpoint, prefill_at);
    EXPECT_EQ(harness->checker.violations, std::vector<std::string>{});
    harness->handle(340, LeaseReleased{"unknown"});
    EXPECT_TRUE(harness->actions.empty());
}

TEST_F(RouterKvLeaseTest, DecodeAnsweredAfterItsLeaseHasEndedIsServed) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, prefill_at, AttemptResult::prefill_done));
    harness->handle(320, LeaseReleased{"a"});
    harness->handle(400, FirstToken{"a", 1, 11, 380});
    harness->handle(500, attempt_ended("a", 1, 11, AttemptResult::served, true));
    EXPECT_TRUE(harness->actions_of<StartAttempt>().empty());
    EXPECT_EQ(harness->checker.violations, std::vector<std::string>{});
}

TEST_F(RouterKvLeaseTest, LeaseOfAPrefillWhoseAnswerWasLostIsReleased) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    const EndpointId prefill_at = arrive("a", 10);
    harness->handle(400, attempt_ended("a", 0, prefill_at, AttemptResult::reset));
    EXPECT_EQ(harness->actions_of<ReleaseLease>().size(), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
