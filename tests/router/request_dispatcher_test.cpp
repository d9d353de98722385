#include "router/request_dispatcher.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

class RequestDispatcherTest : public ::testing::Test {
protected:
    RequestDispatcherTest() : RequestDispatcherTest(test_settings()) {}
    explicit RequestDispatcherTest(const Settings& settings) : fleet(settings) {
        actions.begin_event(emitted);
    }

    template <class Kind>
    std::vector<Kind> actions_of() const {
        std::vector<Kind> found;
        for (const Action& action : emitted) {
            if (const Kind* kind = std::get_if<Kind>(&action)) found.push_back(*kind);
        }
        return found;
    }

    RouterComponents fleet;
    std::vector<Action> emitted;
    router::ActionList actions;
    router::RetryBudget retry_budget{fleet.settings.gateways};
    router::RequestDispatcher dispatcher{
        router::DispatchServices{fleet.settings, fleet.completion_times, fleet.eligibility, fleet.slow_start,
                                 fleet.attempt_timeout, fleet.prefill_selector, fleet.decode_selector,
                                 fleet.wait_estimator, fleet.in_flight_requests, retry_budget, actions}};
};

class UnsafeRequestDispatcherTest : public RequestDispatcherTest {
protected:
    UnsafeRequestDispatcherTest() : RequestDispatcherTest(unsafe_settings()) {}
    static Settings unsafe_settings() {
        Settings settings = test_settings();
        settings.classes[0].idempotency = Idempotency::unsafe;
        return settings;
    }
};

TEST_F(RequestDispatcherTest, ANewRequestGoesToAPrefillEndpointAndThenToADecodeEndpoint) {
    RequestState& request = fleet.add_request("r");
    dispatcher.dispatch_next_stage(0, request);
    ASSERT_EQ(actions_of<StartAttempt>().size(), 1u);
    EXPECT_EQ(actions_of<StartAttempt>()[0].endpoint, 1u);
    fleet.in_flight_requests.end_attempt(request);
    request.prefill_endpoint = 1;
    fleet.in_flight_requests.set_kv_lease(request, true);
    dispatcher.dispatch_next_stage(10, request);
    ASSERT_EQ(actions_of<StartAttempt>().size(), 2u);
    EXPECT_EQ(actions_of<StartAttempt>()[1].endpoint, 11u) << "in the cell of the prefill endpoint";
    EXPECT_TRUE(retry_budget.available()) << "neither attempt is a retry";
}

TEST_F(RequestDispatcherTest, ARetryNeedsTheRetryBudget) {
    while (retry_budget.available()) retry_budget.spend();
    RequestState& request = fleet.add_request("r");
    request.attempt_count = 1;
    dispatcher.dispatch_next_stage(0, request);
    ASSERT_EQ(actions_of<Reject>().size(), 1u);
    EXPECT_EQ(actions_of<Reject>()[0].cause, EndCause::retry_budget);
    EXPECT_EQ(fleet.in_flight_requests.find("r"), nullptr);
}

TEST_F(RequestDispatcherTest, ADeadlineCancelsTheAttemptInFlightAndKeepsTheRequestUntilItEnds) {
    RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    dispatcher.finish_with(5000, request, EndCause::deadline);
    EXPECT_EQ(actions_of<Reject>().size(), 1u);
    EXPECT_EQ(actions_of<StopAttempt>().size(), 1u);
    ASSERT_NE(fleet.in_flight_requests.find("r"), nullptr);
    dispatcher.finish_with(5001, request, EndCause::shutdown);
    EXPECT_EQ(actions_of<Reject>().size(), 1u) << "only one final answer";
}

TEST_F(RequestDispatcherTest, ErasingARequestReleasesItsLeases) {
    RequestState& request = fleet.send_request("r", 11, Stage::decode_queued);
    fleet.in_flight_requests.end_attempt(request);
    dispatcher.release_and_erase(request);
    EXPECT_EQ(actions_of<ReleaseLease>().size(), 1u);
    EXPECT_EQ(fleet.in_flight_requests.find("r"), nullptr);
}

TEST_F(RequestDispatcherTest, MigratesWaitingRequestsAndStreamsOffAnEndpointWithinTheRetryBudget) {
    RequestState& stream = fleet.send_request("stream", 11, Stage::decode_queued);
    fleet.in_flight_requests.begin_stream(10, stream, fleet.endpoint(11));
    fleet.send_request("waiting", 11, Stage::decode_queued);
    fleet.send_request("elsewhere", 12, Stage::decode_queued);
    dispatcher.migrate_off(100, fleet.endpoint(11));
    ASSERT_EQ(actions_of<MigrateStream>().size(), 1u);
    EXPECT_EQ(actions_of<MigrateStream>()[0].request, "stream");
    ASSERT_EQ(actions_of<StopAttempt>().size(), 1u);
    EXPECT_EQ(actions_of<StopAttempt>()[0].request, "waiting");
    while (retry_budget.available()) retry_budget.spend();
    dispatcher.migrate_off(200, fleet.endpoint(12));
    EXPECT_EQ(actions_of<StopAttempt>().size(), 1u);
}

TEST_F(UnsafeRequestDispatcherTest, ARequestThatMayHaveRunIsNotRetriedAndFails) {
    RequestState& request = fleet.add_request("r");
    request.attempt_count = 1;
    request.possible_run = {11, 0};
    dispatcher.dispatch_next_stage(10, request);
    EXPECT_TRUE(actions_of<StartAttempt>().empty());
    ASSERT_EQ(actions_of<Fail>().size(), 1u);
    EXPECT_EQ(actions_of<Fail>()[0].cause, EndCause::may_have_run);
}

TEST_F(UnsafeRequestDispatcherTest, ARequestThatDidNotRunIsRejected) {
    dispatcher.finish_with(10, fleet.add_request("r"), EndCause::no_endpoint);
    EXPECT_EQ(actions_of<Reject>().size(), 1u);
    EXPECT_TRUE(actions_of<Fail>().empty());
}

}  // namespace
}  // namespace gorsenotch::test
