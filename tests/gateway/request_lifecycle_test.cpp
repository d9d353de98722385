// Tests of RequestLifecycle without sockets and on a clock that the test sets: single sequences of events,
// then random ones.
#include <random>

#include "gateway/fakes.h"

namespace gorsenotch::test {
namespace {

struct RequestLifecycleTest : ::testing::Test, CoreBench {
    RequestLifecycleTest() { begin(); }
    FakeClient client;
    // Expects that no request is open, that `sends` attempts were sent in all, and that no more follow.
    void expect_no_more_attempts(std::size_t sends) {
        EXPECT_EQ(core->open(), 0u);
        const auto before = world.sent.size();
        advance(10000);
        EXPECT_EQ(world.sent.size(), before);
        EXPECT_EQ(world.sent.size(), sends);
    }
};

TEST_F(RequestLifecycleTest, StreamedRequestIsPrefilledThenDecoded) {
    arrive(client);
    ASSERT_EQ(world.sent.size(), 1u);
    EXPECT_TRUE(last().read());
    read_done();
    ASSERT_EQ(world.sent.size(), 2u);
    EXPECT_FALSE(last().read());
    EXPECT_NE(last().request.body.find("remote_request_id"), std::string::npos);
    answer(last(), stream_head() + delta("a") + delta("b") + stop_event() + usage_event(2) + done_event());
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.begun, 1);
    EXPECT_NE(client.stream.find("message_stop"), std::string::npos);
    EXPECT_NE(client.stream.find("\"output_tokens\":2"), std::string::npos);
    EXPECT_TRUE(last().exchange->is_reusable());
    EXPECT_TRUE(world.let_go.empty());
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, CompleteResponseIsSentOnceAtTheEnd) {
    arrive(client, 0, false);
    read_done();
    answer(last(), stream_head() + delta("a") + delta("b"));
    EXPECT_EQ(client.finals, 0);
    answer(last(), stop_event() + usage_event(2) + done_event());
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.status, 200);
    EXPECT_NE(client.stream.find("\"text\":\"ab\""), std::string::npos);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsDuringPrefill) {
    const auto id = arrive(client);
    client.disconnected = true;
    core->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    ASSERT_EQ(world.let_go.size(), 1u);
    EXPECT_EQ(world.let_go[0].second, id + ".0");
    last().exchange->on_data(read_answer(last().id()));  // the response arrives after the cancellation
    expect_no_more_attempts(1);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsBetweenPrefillAndFirstToken) {
    const auto id = arrive(client);
    read_done();
    client.disconnected = true;
    core->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    ASSERT_EQ(world.let_go.size(), 1u);
    EXPECT_EQ(world.let_go[0].second, id + ".0");
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsDuringTheStream) {
    const auto id = arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a"));
    client.disconnected = true;
    core->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    EXPECT_TRUE(world.let_go.empty());  // the decode engine had fetched the KV cache
    answer(last(), delta("b"));
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsInTheSameTurnAsTheLastEvent) {
    const auto id = arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a") + stop_event() + done_event());
    EXPECT_EQ(client.finals, 1);
    client.disconnected = true;
    core->on_client_disconnected(id);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, PrefillWithoutTransferParametersIsReleasedAndRepeated) {
    arrive(client);
    const auto first = last().id();
    answer(last(), http_response(200, "application/json", "{\"choices\":[]}"));
    ASSERT_EQ(world.sent.size(), 2u);
    EXPECT_TRUE(last().read());
    ASSERT_EQ(world.let_go.size(), 1u);  // it may still have left a KV cache
    EXPECT_EQ(world.let_go[0].second, first);
}

TEST_F(RequestLifecycleTest, MissingKvCacheLeadsToAnotherPrefill) {
    arrive(client);
    read_done();
    answer(last(), http_response(424, "application/json", "{\"error\":{\"type\":\"kv_transfer_error\"}}"));
    ASSERT_EQ(world.sent.size(), 3u);
    EXPECT_TRUE(last().read());
}

TEST_F(RequestLifecycleTest, RejectedDecodeIsRetriedElsewhereWithTheSameKvCache) {
    arrive(client);
    read_done();
    const std::string first = last().address;
    answer(last(), http_response(429, "application/json", "{}"));
    ASSERT_EQ(world.sent.size(), 3u);
    EXPECT_FALSE(last().read());
    EXPECT_NE(last().address, first);
    EXPECT_NE(last().request.body.find("remote_request_id"), std::string::npos);
    EXPECT_TRUE(world.let_go.empty());
}

TEST_F(RequestLifecycleTest, BrokenStreamEndsOnceAndIsNotRetried) {
    arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a"));
    last().exchange->on_connection_closed();
    EXPECT_EQ(client.finals, 1);
    EXPECT_NE(client.stream.find("event: error"), std::string::npos);
    EXPECT_EQ(client.stream.find("message_stop"), std::string::npos);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, BrokenCompleteResponseIsAnError) {
    arrive(client, 0, false);
    read_done();
    answer(last(), stream_head() + delta("a"));
    last().exchange->on_connection_closed();
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.status, 500);
    EXPECT_EQ(client.should_retry, true);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, UnsafeRequestThatMayHaveRunFailsWithoutRetry) {
    arrive(client, 1);
    read_done();
    last().exchange->on_first_byte_sent();
    last().exchange->on_connection_closed();  // reset after the request was sent
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.status, 500);
    EXPECT_EQ(client.should_retry, false);
    EXPECT_EQ(world.sent.size(), 2u);
    EXPECT_EQ(world.let_go.size(), 1u);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, UnsafeRequestThatWasNeverSentIsRetriedElsewhere) {
    arrive(client, 1);
    read_done();
    last().exchange->on_connect_failed();
    ASSERT_EQ(world.sent.size(), 3u);
    EXPECT_FALSE(last().read());
}

TEST_F(RequestLifecycleTest, RejectionHasARetryAfter) {
    engines = {engine(1, 0), engine(11, 1, EndpointStatus::draining)};
    core->on_endpoint_list(engines, false);
    arrive(client);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(client.should_retry, true);
    EXPECT_GE(client.retry_after, 0);
    EXPECT_TRUE(world.sent.empty());
    expect_no_more_attempts(0);
}

TEST_F(RequestLifecycleTest, UnresponsiveEnginesLeadToOneRejectionWithinTheDeadline) {
    const Millis started_at = world.clock;
    arrive(client);
    for (int i = 0; i < 4000 && client.finals == 0; ++i) {
        for (auto& sent : world.sent) sent.exchange->on_first_byte_sent();
        advance(1);
    }
    EXPECT_EQ(client.finals, 1);
    EXPECT_LE(world.clock - started_at, p.router.classes[0].deadline + p.router.answer_slack);
    EXPECT_GE(world.sent.size(), 2u);
    std::size_t prefills = 0;
    for (const auto& sent : world.sent) prefills += sent.read();
    EXPECT_EQ(world.let_go.size(), prefills);
    expect_no_more_attempts(world.sent.size());
}

TEST_F(RequestLifecycleTest, ClientTimeoutShorterThanTheDeadlineApplies) {
    const Millis started_at = world.clock;
    arrive(client, 0, true, 300);
    while (client.finals == 0) advance(1);
    EXPECT_LE(world.clock - started_at, 300 + p.router.answer_slack);
    EXPECT_EQ(client.status, 529);
}

TEST_F(RequestLifecycleTest, CompleteResponseBeyondTheClientTimeoutFailsInTime) {
    const Millis started_at = world.clock;
    arrive(client, 0, false, 1000);
    read_done();
    answer(last(), stream_head() + delta("a"));
    while (client.finals == 0) advance(1);
    EXPECT_LE(world.clock - started_at, 1000);
    EXPECT_EQ(client.status, 504);
    EXPECT_TRUE(last().closed);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ResponseReadBeforeItsTimeoutFiresInTheSameTurn) {
    arrive(client);
    SentAttempt prefill = last();
    // The timeout is due, but the response is read first; then the timer fires in the same turn.
    world.clock += 2500;
    answer(prefill, read_answer(prefill.id()));
    core->tick();
    EXPECT_EQ(world.sent.size(), 2u);
    EXPECT_FALSE(last().read());
}

TEST_F(RequestLifecycleTest, DecodeEnginesRemovedDuringPrefillLeadToRejection) {
    arrive(client);
    const std::string prefill_address = last().address;
    engines = {engine(prefill_address == "10.0.0.1:80" ? 1 : 2, 0)};  // both decode engines are removed
    core->on_endpoint_list(engines, false);
    read_done();
    EXPECT_EQ(client.finals, 1);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(world.let_go.size(), 1u);
    expect_no_more_attempts(1);
}

TEST_F(RequestLifecycleTest, StreamWithoutDataTimesOut) {
    p.limits.stream_idle_ms = 1000;
    arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a"));
    advance(900);
    EXPECT_EQ(client.finals, 0);
    answer(last(), delta("b"));
    advance(900);
    EXPECT_EQ(client.finals, 0);
    advance(200);
    EXPECT_EQ(client.finals, 1);
    EXPECT_NE(client.stream.find("event: error"), std::string::npos);
    EXPECT_TRUE(last().closed);
}

TEST_F(RequestLifecycleTest, IdleStreamGetsKeepalivePings) {
    p.limits.ping_ms = 300;
    p.limits.stream_idle_ms = 5000;
    arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a"));
    const auto pings = [&] {
        std::size_t matches = 0;
        for (std::size_t at = 0; (at = client.stream.find("event: ping", at)) != std::string::npos; ++at)
            ++matches;
        return matches;
    };
    EXPECT_EQ(pings(), 1u);
    advance(1000);
    EXPECT_EQ(pings(), 4u);
}

TEST_F(RequestLifecycleTest, SlowClientPausesItsEngineWithoutStreamTimeout) {
    p.limits.stream_idle_ms = 1000;
    const auto id = arrive(client);
    read_done();
    answer(last(), stream_head() + delta("a"));
    core->on_client_congested(id, true);
    EXPECT_TRUE(last().paused);
    advance(3000);
    EXPECT_EQ(client.finals, 0);
    core->on_client_congested(id, false);
    EXPECT_FALSE(last().paused);
    answer(last(), stop_event() + done_event());
    EXPECT_EQ(client.finals, 1);
}

TEST_F(RequestLifecycleTest, RequestBeyondTheLimitOfOpenRequestsIsNotAccepted) {
    p.limits.open_requests = 1;
    arrive(client);
    gateway::NewRequest request;
    request.id = "req_more";
    request.chat.messages = {{"user", "x"}};
    request.client = &client;
    EXPECT_FALSE(core->on_request(std::move(request)));
    EXPECT_EQ(client.finals, 0);
}

TEST_F(RequestLifecycleTest, EndAllAnswersEveryRequestAndReleasesItsLeases) {
    FakeClient prefilling;
    FakeClient waiting_for_decode;
    FakeClient streaming;
    FakeClient unsafe;
    arrive(streaming);
    read_done();
    answer(last(), stream_head() + delta("a"));
    arrive(waiting_for_decode);
    read_done();
    arrive(unsafe, 1);
    read_done();
    last().exchange->on_first_byte_sent();
    arrive(prefilling);
    core->end_all();
    for (auto* each : {&prefilling, &waiting_for_decode, &streaming, &unsafe}) EXPECT_EQ(each->finals, 1);
    EXPECT_EQ(prefilling.status, 529);
    EXPECT_EQ(unsafe.status, 500);
    EXPECT_EQ(unsafe.should_retry, false);
    EXPECT_NE(streaming.stream.find("event: error"), std::string::npos);
    EXPECT_EQ(world.let_go.size(), 3u);
    EXPECT_EQ(core->open(), 0u);
}

// Anything may happen at any time; whatever does, each client has exactly one answer in time, nothing is sent
// after it, never are two attempts out at once, and each read's state is taken or let go of.
void run_random(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto dice = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    CoreBench bench;
    bench.p.router.cancellation = dice(4) > 0;
    bench.begin(seed);
    struct Known {
        std::unique_ptr<FakeClient> client = std::make_unique<FakeClient>();
        std::string id;
        Millis deadline = 0, ended = -1;
        bool stream = true, patient = false;
    };
    std::vector<Known> all;
    std::map<std::string, std::size_t> settled;  // reads whose state went: by a write's first token or let go
    std::map<std::string, int> script;           // what an attempt's engine has done so far
    const auto step = [&](SentAttempt& sent, int what) {
        const auto exchange = sent.exchange;
        if (exchange->is_over() || sent.closed) return;
        int& at = script[sent.id()];
        if (what == 0) return at == 0 ? exchange->on_connect_failed() : exchange->on_connection_closed();
        if (what == 1) return exchange->on_first_byte_sent(), exchange->on_connection_closed();
        exchange->on_first_byte_sent();
        if (what == 2) return exchange->on_data(http_response(dice(2) ? 500 : 429, "application/json", "{}"));
        if (what == 3 && at == 0) return exchange->on_data("HTTP/1.1 200 OK\r\ncontent-le");
        if (sent.read()) return exchange->on_data(at++ ? "" : read_answer(sent.id()));
        switch (at++) {
            case 0:
                return exchange->on_data(stream_head());
            case 1:
                return exchange->on_data(delta("a"));
            case 2:
                return exchange->on_data(delta("b") + delta("c"));
            case 3:
                return exchange->on_data(stop_event());
            case 4:
                return exchange->on_data(usage_event(3) + done_event());
            default:
                return exchange->on_data(delta("late"));
        }
    };
    for (int i = 0; i < 400; ++i) {
        const int what = dice(20);
        if (what < 4 && all.size() < 40) {
            all.emplace_back();
            auto& known = all.back();
            known.stream = dice(3) > 0;
            const int cls = dice(3);
            const Millis patience = dice(3) ? 0 : 200 + dice(2000);
            known.patient = patience > 0;
            known.deadline = bench.world.clock + (patience > 0 ? std::min(patience, 3000.0) : 3000.0);
            known.id = bench.arrive(*known.client, cls, known.stream, patience);
        } else if (what < 13 && !bench.world.sent.empty()) {
            const auto n = static_cast<std::size_t>(dice(static_cast<int>(bench.world.sent.size())));
            SentAttempt sent = bench.world.sent[n];
            step(sent, 4 + dice(3) - (dice(6) ? 0 : 4 + dice(3)));
        } else if (what == 13 && !all.empty()) {
            auto& known = all[static_cast<std::size_t>(dice(static_cast<int>(all.size())))];
            if (known.client->finals == 0) known.client->disconnected = true;
            bench.core->on_client_disconnected(known.id);
        } else if (what == 14) {
            auto engines = bench.engines;
            for (auto& engine : engines) {
                if (dice(3) == 0)
                    engine.endpoint.status = dice(2) ? EndpointStatus::removed : EndpointStatus::draining;
            }
            bench.core->on_endpoint_list(engines, dice(2));
        } else if (what == 15 && !all.empty()) {
            bench.core->on_client_congested(
                all[static_cast<std::size_t>(dice(static_cast<int>(all.size())))].id, dice(2));
        } else {
            bench.advance(dice(4) ? dice(30) : dice(600));
        }
        std::map<std::string, int> out;
        for (const auto& sent : bench.world.sent) {
            const auto request = sent.id().substr(0, sent.id().rfind('.'));
            if (!sent.exchange->is_over() && ++out[request] > 1) FAIL() << "two attempts out for " << request;
        }
        for (const auto& known : all) {
            EXPECT_LE(known.client->finals, 1) << known.id;
            // A whole answer that has begun counts as long as its client waits, which it may not have said.
            const bool writing =
                !known.stream && !known.patient &&
                std::any_of(bench.world.sent.begin(), bench.world.sent.end(), [&](const SentAttempt& sent) {
                    return sent.id().rfind(known.id + ".", 0) == 0 && sent.exchange->begun();
                });
            const bool heard =
                known.client->finals > 0 || known.client->begun > 0 || known.client->disconnected || writing;
            if (!heard) {
                EXPECT_LE(bench.world.clock, known.deadline + bench.p.router.answer_slack)
                    << known.id << " unanswered";
            }
        }
        if (::testing::Test::HasFailure()) return;
    }
    bench.core->end_all();
    bench.advance(6000);
    EXPECT_EQ(bench.core->open(), 0u);
    for (const auto& known : all)
        EXPECT_EQ(known.client->finals + (known.client->disconnected ? 1 : 0), 1) << known.id;
    // A read that was delivered leaves no state: its request's write started_at, or it was let go of by its
    // id.
    for (const auto& sent : bench.world.sent) {
        if (!sent.read() || script[sent.id()] == 0) continue;
        const auto request = sent.id().substr(0, sent.id().rfind('.'));
        bool gone =
            std::any_of(bench.world.let_go.begin(), bench.world.let_go.end(), [&](const auto& release) {
                return release.second == sent.id() && release.first == sent.address;
            });
        for (const auto& decode : bench.world.sent) {
            if (decode.id().rfind(request + ".", 0) == 0 && !decode.read() &&
                decode.request.body.find("\"" + sent.id() + "\"") != std::string::npos &&
                (decode.exchange->begun() || script[decode.id()] >= 2))
                gone = true;
        }
        EXPECT_TRUE(gone) << sent.id() << " may be pinned";
    }
}

TEST(CoreRandom, RulesHoldInEveryOrder) {
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        run_random(seed);
        if (::testing::Test::HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
