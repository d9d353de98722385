// StallDetector alone, then in the gateway's RequestLifecycle driven by a clock of the test: no endpoint is
// blamed for a standstill of this process.
#include "control/stall_detector.h"

#include "gateway/fakes.h"

namespace gorsenotch::test {
namespace {

using control::StallDetector;

TEST(StallDetector, ASleepIsNoStandstillButAnOversleptOneIs) {
    StallDetector detector(15);
    detector.before_poll(0, 50);
    EXPECT_EQ(detector.on_activity(20), 0);  // woken by an event
    detector.before_poll(20, 50);
    EXPECT_EQ(detector.on_activity(60), 0);  // less than counts
    detector.before_poll(60, 100);
    EXPECT_EQ(detector.on_activity(2100), 2000);
    EXPECT_EQ(detector.on_activity(2101), 0);  // reported once
    EXPECT_EQ(detector.stalled_for(), 2000);
    EXPECT_EQ(detector.longest_stall(), 2000);
}

TEST(StallDetector, ALongRunOfWorkCountsAsItGrows) {
    StallDetector detector(15);
    detector.before_poll(0, 10);
    detector.on_activity(10);
    EXPECT_EQ(detector.on_activity(20), 0);
    EXPECT_EQ(detector.on_activity(30), 20);  // since the work began nothing was handled
    EXPECT_EQ(detector.on_activity(33), 3);
    detector.before_poll(40, 60);
    EXPECT_EQ(detector.stalled_for(), 30);
    detector.after_poll(50);
    EXPECT_EQ(detector.stalled_for(), 30);
}

TEST(StallDetector, AStandstillWithinARunOfWorkIsFoundAtItsEnd) {
    StallDetector detector(15);
    detector.before_poll(0, 10);
    detector.on_activity(5);
    detector.before_poll(505, 600);
    EXPECT_EQ(detector.stalled_for(), 500);
}

TEST(StallDetector, ATimeOutIsJudgedAfterAPollSinceItWasDue) {
    StallDetector detector;
    EXPECT_TRUE(detector.may_judge_timeout(1e9));  // a host that reports no polls
    detector.after_poll(100);
    EXPECT_TRUE(detector.may_judge_timeout(100));
    EXPECT_FALSE(detector.may_judge_timeout(101));
    detector.after_poll(101);
    EXPECT_TRUE(detector.may_judge_timeout(101));
}

struct Standstill : ::testing::Test, CoreBench {
    FakeClient client;
    Standstill() {
        for (auto& class_settings : p.router.classes) class_settings.deadline = 20000;
        begin();
    }
    // The loop sleeps until its next timer, is stopped, and goes on `ms` later.
    void stop_for(Millis ms) {
        core->before_poll(core->tick());
        world.clock += ms;
    }
    // A look at the sockets, in which the test has handed on what it wants to; then the timers.
    void look() {
        core->after_poll(world.clock);
        world.clock += 0.1;
        core->tick();
    }
};

TEST_F(Standstill, AnAnswerThatWaitedIsHeardBeforeItsTimeOutIsJudged) {
    arrive(client);
    core->after_poll(world.clock);
    const auto read = last().exchange;
    read->on_first_byte_sent();
    stop_for(5000);
    core->tick();  // the timers come first
    EXPECT_FALSE(last().closed);
    read->on_data(read_answer(last().id()));
    look();
    ASSERT_EQ(world.sent.size(), 2u);
    EXPECT_FALSE(last().read());
    EXPECT_EQ(client.finals, 0);
}

TEST_F(Standstill, AnEngineThatHadNotAnsweredIsLateAllTheSame) {
    arrive(client);
    core->after_poll(world.clock);
    const std::string first = last().address;
    last().exchange->on_first_byte_sent();
    stop_for(5000);
    core->tick();
    EXPECT_EQ(world.sent.size(), 1u);
    look();
    EXPECT_TRUE(world.sent[0].closed);
    ASSERT_EQ(world.sent.size(), 2u);
    EXPECT_NE(last().address, first);
}

TEST_F(Standstill, ARequestStillToBeHandedOverGetsItsWholeTime) {
    arrive(client);
    core->after_poll(world.clock);
    stop_for(5000);  // its connection opened meanwhile: no byte of it was sent
    core->tick();
    look();
    EXPECT_FALSE(last().closed);
    last().exchange->on_first_byte_sent();
    world.clock += 100;
    look();
    EXPECT_FALSE(last().closed);
    EXPECT_EQ(world.sent.size(), 1u);
    for (int i = 0; i < 200 && !world.sent[0].closed; ++i) {
        world.clock += 20;
        look();
    }
    EXPECT_TRUE(world.sent[0].closed);  // but not more than that
}

TEST_F(Standstill, AConnectionThatOpenedMeanwhileIsTheFirstThatIsHeard) {
    arrive(client);
    core->after_poll(world.clock);
    stop_for(5000);
    last().exchange->on_first_byte_sent();  // before anything else has found the standstill
    look();
    EXPECT_FALSE(last().closed);
    EXPECT_EQ(world.sent.size(), 1u);
}

TEST_F(Standstill, ADeadlineThatPassedGoesBeforeTheAnswerThatWaited) {
    arrive(client);
    core->after_poll(world.clock);
    const auto read = last().exchange;
    read->on_first_byte_sent();
    stop_for(30000);
    read->on_data(read_answer(last().id()));  // the sockets come first this time
    look();
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(world.sent.size(), 1u) << "sent for a client that has left";
    EXPECT_EQ(world.let_go.size(), 1u);
    EXPECT_EQ(core->open(), 0u);
}

TEST_F(Standstill, AFirstTokenThatWaitedPastTheDeadlineBeginsNoStream) {
    arrive(client);
    core->after_poll(world.clock);
    read_done();
    core->after_poll(world.clock);
    const auto write = last().exchange;
    write->on_first_byte_sent();
    stop_for(30000);
    write->on_data(stream_head() + delta("a"));
    look();
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.begun, 0);
    EXPECT_TRUE(last().closed);
    EXPECT_EQ(core->open(), 0u);
}

TEST_F(Standstill, AStreamThatSpokeMeanwhileIsNotSilent) {
    arrive(client);
    core->after_poll(world.clock);
    read_done();
    answer(last(), stream_head() + delta("a"));
    core->after_poll(world.clock);
    const auto write = last().exchange;
    stop_for(p.limits.stream_idle_ms + 5000);
    core->tick();
    EXPECT_FALSE(last().closed);
    write->on_data(delta("b"));
    look();
    EXPECT_FALSE(last().closed);
    write->on_data(stop_event() + usage_event(2) + done_event());
    EXPECT_NE(client.stream.find("message_stop"), std::string::npos);
}

TEST_F(Standstill, TheListIsLookedAtBeforeAnythingIsDecided) {
    struct World : FakeWorld {
        std::function<void()> look;
        void on_stall(Millis) override { look(); }
    } told;
    told.look = [&] {
        auto drained = engines;
        for (auto& engine : drained) {
            if (engine.endpoint.id == 11) engine.endpoint.status = EndpointStatus::draining;
        }
        core->on_endpoint_list(drained, false);
    };
    core = std::make_unique<RequestLifecycle>(p, 1, told, api::messages::error_body);
    core->on_endpoint_list(engines, false);
    std::vector<std::unique_ptr<FakeClient>> clients;
    for (int i = 0; i < 8; ++i) arrive(*clients.emplace_back(std::make_unique<FakeClient>()));
    core->after_poll(told.clock);
    core->before_poll(core->tick());
    told.clock += 700;
    const auto reads = told.sent.size();
    for (std::size_t i = 0; i < reads; ++i) {
        const auto exchange = told.sent[i].exchange;
        exchange->on_first_byte_sent();
        exchange->on_data(read_answer(told.sent[i].id()));
    }
    ASSERT_GT(told.sent.size(), reads);
    for (std::size_t i = reads; i < told.sent.size(); ++i) EXPECT_NE(told.sent[i].address, "10.0.0.11:80");
}

TEST_F(Standstill, ARequestThatWaitedInTheSocketHasLessTimeLeft) {
    const auto ask = [&](Millis age, Millis patience) {
        gateway::NewRequest request;
        request.id = "req_age" + std::to_string(++count);
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
        EXPECT_TRUE(core->on_request(std::move(request)));
    };
    ask(3000, 2000);  // gone already
    EXPECT_EQ(client.status, 529);
    EXPECT_TRUE(world.sent.empty());
    client.status = 0;
    ask(1500, 2000);
    EXPECT_EQ(world.sent.size(), 1u);
    advance(450);
    EXPECT_EQ(client.status, 0);
    advance(60);
    EXPECT_EQ(client.status, 529);
}

TEST_F(Standstill, NoAlarmOfAnEndedRequestStaysQueued) {
    const auto before = core->pending_timers();
    for (int i = 0; i < 50; ++i) {
        FakeClient impatient;
        arrive(impatient);
        read_done();
        answer(last(), stream_head() + delta("a") + stop_event() + usage_event(1) + done_event());
        EXPECT_EQ(impatient.finals, 1);
    }
    // What is left are the Router's own timers, which must come: one a request until its deadline.
    EXPECT_LE(core->pending_timers(), before + 50);
    advance(21000);
    EXPECT_LE(core->pending_timers(), before);
}

}  // namespace
}  // namespace gorsenotch::test
