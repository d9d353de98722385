// StallDetector on its own, then in the gateway's RequestLifecycle with a fake clock. The tests guard against
// blaming an endpoint for a stall of this process.
#include "control/stall_detector.h"

#include "gateway/fakes.h"

namespace gorsenotch::test {
namespace {

using control::StallDetector;

TEST(StallDetector, WakingWithinTheMinimumStallIsNoStallAndWakingLaterIs) {
    StallDetector detector(15);
    detector.before_poll(0, 50);
    EXPECT_EQ(detector.on_activity(20), 0);  // woken by an event
    detector.before_poll(20, 50);
    EXPECT_EQ(detector.on_activity(60), 0);  // shorter than the minimum stall
    detector.before_poll(60, 100);
    EXPECT_EQ(detector.on_activity(2100), 2000);
    EXPECT_EQ(detector.on_activity(2101), 0);  // reported once
    EXPECT_EQ(detector.stalled_for(), 2000);
    EXPECT_EQ(detector.longest_stall(), 2000);
}

TEST(StallDetector, ALongPeriodOfWorkIsCountedAsItGrows) {
    StallDetector detector(15);
    detector.before_poll(0, 10);
    detector.on_activity(10);
    EXPECT_EQ(detector.on_activity(20), 0);
    EXPECT_EQ(detector.on_activity(30), 20);  // no events were handled since the work began
    EXPECT_EQ(detector.on_activity(33), 3);
    detector.before_poll(40, 60);
    EXPECT_EQ(detector.stalled_for(), 30);
    detector.after_poll(50);
    EXPECT_EQ(detector.stalled_for(), 30);
}

TEST(StallDetector, AStallWithinAPeriodOfWorkIsDetectedAtItsEnd) {
    StallDetector detector(15);
    detector.before_poll(0, 10);
    detector.on_activity(5);
    detector.before_poll(505, 600);
    EXPECT_EQ(detector.stalled_for(), 500);
}

TEST(StallDetector, ATimeOutIsEvaluatedOnlyAfterAPollOnceItIsDue) {
    StallDetector detector;
    EXPECT_TRUE(detector.may_evaluate_timeout(1e9));  // the event loop reports no polls
    detector.after_poll(100);
    EXPECT_TRUE(detector.may_evaluate_timeout(100));
    EXPECT_FALSE(detector.may_evaluate_timeout(101));
    detector.after_poll(101);
    EXPECT_TRUE(detector.may_evaluate_timeout(101));
}

struct StallTest : ::testing::Test, LifecycleHarness {
    FakeClient client;
    StallTest() {
        for (auto& class_settings : program.router.classes) class_settings.deadline = 20000;
        start();
    }
    // The loop polls until its next timer, is stalled, and continues `ms` later.
    void stall_for(Millis ms) {
        lifecycle->before_poll(lifecycle->tick());
        environment.clock += ms;
    }
    // Completes a poll, whose events the test has delivered before, and then runs the timers.
    void finish_poll() {
        lifecycle->after_poll(environment.clock);
        environment.clock += 0.1;
        lifecycle->tick();
    }
};

TEST_F(StallTest, AnAnswerReceivedDuringAStallIsHandledBeforeTheTimeOut) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    const auto prefill = last().exchange;
    prefill->on_first_byte_sent();
    stall_for(5000);
    lifecycle->tick();  // the timers run before the sockets are polled
    EXPECT_FALSE(last().closed);
    prefill->on_data(prefill_response(last().id()));
    finish_poll();
    ASSERT_EQ(environment.sent.size(), 2u);
    EXPECT_FALSE(last().is_prefill());
    EXPECT_EQ(client.final_calls, 0);
}

TEST_F(StallTest, AnEngineThatDidNotAnswerDuringAStallTimesOut) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    const std::string first_address = last().address;
    last().exchange->on_first_byte_sent();
    stall_for(5000);
    lifecycle->tick();
    EXPECT_EQ(environment.sent.size(), 1u);
    finish_poll();
    EXPECT_TRUE(environment.sent[0].closed);
    ASSERT_EQ(environment.sent.size(), 2u);
    EXPECT_NE(last().address, first_address);
}

TEST_F(StallTest, ARequestNotYetWrittenGetsItsFullTimeOut) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    stall_for(5000);  // the connection opened during the stall, and no byte was sent
    lifecycle->tick();
    finish_poll();
    EXPECT_FALSE(last().closed);
    last().exchange->on_first_byte_sent();
    environment.clock += 100;
    finish_poll();
    EXPECT_FALSE(last().closed);
    EXPECT_EQ(environment.sent.size(), 1u);
    for (int i = 0; i < 200 && !environment.sent[0].closed; ++i) {
        environment.clock += 20;
        finish_poll();
    }
    EXPECT_TRUE(environment.sent[0].closed);  // no more than the full time-out
}

TEST_F(StallTest, AStallIsDetectedByTheFirstWriteOnAConnectionThatOpenedDuringIt) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    stall_for(5000);
    last().exchange->on_first_byte_sent();  // the first call that can detect the stall
    finish_poll();
    EXPECT_FALSE(last().closed);
    EXPECT_EQ(environment.sent.size(), 1u);
}

TEST_F(StallTest, ADeadlineThatPassedDuringAStallPrecedesAReceivedAnswer) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    const auto prefill = last().exchange;
    prefill->on_first_byte_sent();
    stall_for(30000);
    prefill->on_data(prefill_response(last().id()));  // the sockets are handled before the timers
    finish_poll();
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(environment.sent.size(), 1u) << "a decode was sent after the deadline";
    EXPECT_EQ(environment.releases.size(), 1u);
    EXPECT_EQ(lifecycle->open(), 0u);
}

TEST_F(StallTest, AFirstTokenHandledAfterTheDeadlineBeginsNoStream) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    finish_prefill();
    lifecycle->after_poll(environment.clock);
    const auto decode = last().exchange;
    decode->on_first_byte_sent();
    stall_for(30000);
    decode->on_data(stream_head() + delta("a"));
    finish_poll();
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.stream_begins, 0);
    EXPECT_TRUE(last().closed);
    EXPECT_EQ(lifecycle->open(), 0u);
}

TEST_F(StallTest, AStreamThatSentBytesDuringAStallIsNotIdle) {
    send_request(client);
    lifecycle->after_poll(environment.clock);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    lifecycle->after_poll(environment.clock);
    const auto decode = last().exchange;
    stall_for(program.limits.stream_idle_ms + 5000);
    lifecycle->tick();
    EXPECT_FALSE(last().closed);
    decode->on_data(delta("b"));
    finish_poll();
    EXPECT_FALSE(last().closed);
    decode->on_data(stop_event() + usage_event(2) + done_event());
    EXPECT_NE(client.stream.find("message_stop"), std::string::npos);
}

TEST_F(StallTest, TheEndpointListIsReadAfterAStallBeforeAnyDecision) {
    struct StallObserver : FakeGatewayEnvironment {
        std::function<void()> reload_list;
        void on_stall(Millis) override { reload_list(); }
    } observer;
    observer.reload_list = [&] {
        auto drained = engines;
        for (auto& engine : drained) {
            if (engine.endpoint.id == 11) engine.endpoint.status = EndpointStatus::draining;
        }
        lifecycle->on_endpoint_list(drained, false);
    };
    lifecycle = std::make_unique<RequestLifecycle>(program, 1, observer, api::messages::error_body);
    lifecycle->on_endpoint_list(engines, false);
    std::vector<std::unique_ptr<FakeClient>> clients;
    for (int i = 0; i < 8; ++i) send_request(*clients.emplace_back(std::make_unique<FakeClient>()));
    lifecycle->after_poll(observer.clock);
    lifecycle->before_poll(lifecycle->tick());
    observer.clock += 700;
    const auto prefill_count = observer.sent.size();
    for (std::size_t i = 0; i < prefill_count; ++i) {
        const auto exchange = observer.sent[i].exchange;
        exchange->on_first_byte_sent();
        exchange->on_data(prefill_response(observer.sent[i].id()));
    }
    ASSERT_GT(observer.sent.size(), prefill_count);
    for (std::size_t i = prefill_count; i < observer.sent.size(); ++i)
        EXPECT_NE(observer.sent[i].address, "10.0.0.11:80");
}

TEST_F(StallTest, TheTimeThatARequestWaitedInTheSocketCountsTowardsItsTimeOut) {
    const auto send_aged_request = [&](Millis age, Millis patience) {
        gateway::NewRequest request;
        request.id = "req_age" + std::to_string(++request_count);
        request.chat.model = "m";
        request.chat.messages = {{"user", "hello"}};
        request.chat.max_tokens = 10;
        request.chat.stream = true;
        request.chat.prompt_tokens = 100;
        request.tenant = 0;
        request.client = &client;
        request.patience = patience;
        request.age = age;
        request.answer = api::messages::streamed_response("msg_1", "m", 100, request.id);
        EXPECT_TRUE(lifecycle->on_request(std::move(request)));
    };
    send_aged_request(3000, 2000);  // its time-out has already passed
    EXPECT_EQ(client.status, 529);
    EXPECT_TRUE(environment.sent.empty());
    client.status = 0;
    send_aged_request(1500, 2000);
    EXPECT_EQ(environment.sent.size(), 1u);
    advance(450);
    EXPECT_EQ(client.status, 0);
    advance(60);
    EXPECT_EQ(client.status, 529);
}

TEST_F(StallTest, TimersOfEndedRequestsAreRemoved) {
    const auto timers_before = lifecycle->pending_timers();
    for (int i = 0; i < 50; ++i) {
        FakeClient short_lived_client;
        send_request(short_lived_client);
        finish_prefill();
        answer(last(), stream_head() + delta("a") + stop_event() + usage_event(1) + done_event());
        EXPECT_EQ(short_lived_client.final_calls, 1);
    }
    // The Router's own timers remain: one per request until its deadline.
    EXPECT_LE(lifecycle->pending_timers(), timers_before + 50);
    advance(21000);
    EXPECT_LE(lifecycle->pending_timers(), timers_before);
}

}  // namespace
}  // namespace gorsenotch::test
