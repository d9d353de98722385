// Tests of RequestLifecycle without sockets and on a clock that the test sets: single sequences of events,
// then random ones.
#include <random>

#include "gateway/fakes.h"

namespace gorsenotch::test {
namespace {

struct RequestLifecycleTest : ::testing::Test, LifecycleHarness {
    RequestLifecycleTest() { start(); }
    FakeClient client;
    // Expects that no request is open, that `sends` attempts were sent in all, and that no more follow.
    void expect_no_more_attempts(std::size_t sends) {
        EXPECT_EQ(lifecycle->open(), 0u);
        const auto before = environment.sent.size();
        advance(10000);
        EXPECT_EQ(environment.sent.size(), before);
        EXPECT_EQ(environment.sent.size(), sends);
    }
};

TEST_F(RequestLifecycleTest, StreamedRequestIsPrefilledThenDecoded) {
    send_request(client);
    ASSERT_EQ(environment.sent.size(), 1u);
    EXPECT_TRUE(last().is_prefill());
    finish_prefill();
    ASSERT_EQ(environment.sent.size(), 2u);
    EXPECT_FALSE(last().is_prefill());
    EXPECT_NE(last().request.body.find("remote_request_id"), std::string::npos);
    answer(last(), stream_head() + delta("a") + delta("b") + stop_event() + usage_event(2) + done_event());
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.stream_begins, 1);
    EXPECT_NE(client.stream.find("message_stop"), std::string::npos);
    EXPECT_NE(client.stream.find("\"output_tokens\":2"), std::string::npos);
    EXPECT_TRUE(last().exchange->is_reusable());
    EXPECT_TRUE(environment.releases.empty());
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, CompleteResponseIsSentOnceAtTheEnd) {
    send_request(client, 0, false);
    finish_prefill();
    answer(last(), stream_head() + delta("a") + delta("b"));
    EXPECT_EQ(client.final_calls, 0);
    answer(last(), stop_event() + usage_event(2) + done_event());
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.status, 200);
    EXPECT_NE(client.stream.find("\"text\":\"ab\""), std::string::npos);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsDuringPrefill) {
    const auto id = send_request(client);
    client.disconnected = true;
    lifecycle->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    ASSERT_EQ(environment.releases.size(), 1u);
    EXPECT_EQ(environment.releases[0].second, id + ".0");
    last().exchange->on_data(prefill_response(last().id()));  // the response arrives after the cancellation
    expect_no_more_attempts(1);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsBetweenPrefillAndFirstToken) {
    const auto id = send_request(client);
    finish_prefill();
    client.disconnected = true;
    lifecycle->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    ASSERT_EQ(environment.releases.size(), 1u);
    EXPECT_EQ(environment.releases[0].second, id + ".0");
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsDuringTheStream) {
    const auto id = send_request(client);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    client.disconnected = true;
    lifecycle->on_client_disconnected(id);
    EXPECT_TRUE(last().closed);
    EXPECT_TRUE(environment.releases.empty());  // the decode engine had fetched the KV cache
    answer(last(), delta("b"));
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ClientDisconnectsInTheSameTurnAsTheLastEvent) {
    const auto id = send_request(client);
    finish_prefill();
    answer(last(), stream_head() + delta("a") + stop_event() + done_event());
    EXPECT_EQ(client.final_calls, 1);
    client.disconnected = true;
    lifecycle->on_client_disconnected(id);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, PrefillWithoutTransferParametersIsReleasedAndRepeated) {
    send_request(client);
    const auto first = last().id();
    answer(last(), http_response(200, "application/json", "{\"choices\":[]}"));
    ASSERT_EQ(environment.sent.size(), 2u);
    EXPECT_TRUE(last().is_prefill());
    ASSERT_EQ(environment.releases.size(), 1u);  // it may still have left a KV cache
    EXPECT_EQ(environment.releases[0].second, first);
}

TEST_F(RequestLifecycleTest, MissingKvCacheLeadsToAnotherPrefill) {
    send_request(client);
    finish_prefill();
    answer(last(), http_response(424, "application/json", "{\"error\":{\"type\":\"kv_transfer_error\"}}"));
    ASSERT_EQ(environment.sent.size(), 3u);
    EXPECT_TRUE(last().is_prefill());
}

TEST_F(RequestLifecycleTest, RejectedDecodeIsRetriedElsewhereWithTheSameKvCache) {
    send_request(client);
    finish_prefill();
    const std::string first = last().address;
    answer(last(), http_response(429, "application/json", "{}"));
    ASSERT_EQ(environment.sent.size(), 3u);
    EXPECT_FALSE(last().is_prefill());
    EXPECT_NE(last().address, first);
    EXPECT_NE(last().request.body.find("remote_request_id"), std::string::npos);
    EXPECT_TRUE(environment.releases.empty());
}

TEST_F(RequestLifecycleTest, BrokenStreamEndsOnceAndIsNotRetried) {
    send_request(client);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    last().exchange->on_connection_closed();
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_NE(client.stream.find("event: error"), std::string::npos);
    EXPECT_EQ(client.stream.find("message_stop"), std::string::npos);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, BrokenCompleteResponseIsAnError) {
    send_request(client, 0, false);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    last().exchange->on_connection_closed();
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.status, 500);
    EXPECT_EQ(client.should_retry, true);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, UnsafeRequestThatMayHaveRunFailsWithoutRetry) {
    send_request(client, 1);
    finish_prefill();
    last().exchange->on_first_byte_sent();
    last().exchange->on_connection_closed();  // reset after the request was sent
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.status, 500);
    EXPECT_EQ(client.should_retry, false);
    EXPECT_EQ(environment.sent.size(), 2u);
    EXPECT_EQ(environment.releases.size(), 1u);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, UnsafeRequestThatWasNeverSentIsRetriedElsewhere) {
    send_request(client, 1);
    finish_prefill();
    last().exchange->on_connect_failed();
    ASSERT_EQ(environment.sent.size(), 3u);
    EXPECT_FALSE(last().is_prefill());
}

TEST_F(RequestLifecycleTest, RejectionHasARetryAfter) {
    engines = {engine(1, 0), engine(11, 1, EndpointStatus::draining)};
    lifecycle->on_endpoint_list(engines, false);
    send_request(client);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(client.should_retry, true);
    EXPECT_GE(client.retry_after, 0);
    EXPECT_TRUE(environment.sent.empty());
    expect_no_more_attempts(0);
}

TEST_F(RequestLifecycleTest, UnresponsiveEnginesLeadToOneAnswerWithinTheDeadline) {
    const Millis started_at = environment.clock;
    send_request(client);
    for (int i = 0; i < 4000 && client.final_calls == 0; ++i) {
        for (auto& sent : environment.sent) sent.exchange->on_first_byte_sent();
        advance(1);
    }
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_LE(environment.clock - started_at,
              program.router.classes[0].deadline + program.router.answer_slack);
    EXPECT_GE(environment.sent.size(), 2u);
    std::size_t prefills = 0;
    for (const auto& sent : environment.sent) prefills += sent.is_prefill();
    EXPECT_EQ(environment.releases.size(), prefills);
    expect_no_more_attempts(environment.sent.size());
}

TEST_F(RequestLifecycleTest, ClientTimeoutShorterThanTheDeadlineApplies) {
    const Millis started_at = environment.clock;
    send_request(client, 0, true, 300);
    while (client.final_calls == 0) advance(1);
    EXPECT_LE(environment.clock - started_at, 300 + program.router.answer_slack);
    EXPECT_EQ(client.status, 529);
}

TEST_F(RequestLifecycleTest, CompleteResponseBeyondTheClientTimeoutFailsInTime) {
    const Millis started_at = environment.clock;
    send_request(client, 0, false, 1000);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    while (client.final_calls == 0) advance(1);
    EXPECT_LE(environment.clock - started_at, 1000);
    EXPECT_EQ(client.status, 504);
    EXPECT_TRUE(last().closed);
    expect_no_more_attempts(2);
}

TEST_F(RequestLifecycleTest, ResponseReadBeforeItsTimeoutFiresInTheSameTurn) {
    send_request(client);
    SentAttempt prefill = last();
    // The timeout is due, but the response is read first; then the timer fires in the same turn.
    environment.clock += 2500;
    answer(prefill, prefill_response(prefill.id()));
    lifecycle->tick();
    EXPECT_EQ(environment.sent.size(), 2u);
    EXPECT_FALSE(last().is_prefill());
}

TEST_F(RequestLifecycleTest, DecodeEnginesRemovedDuringPrefillLeadToRejection) {
    send_request(client);
    const std::string prefill_address = last().address;
    engines = {engine(prefill_address == "10.0.0.1:80" ? 1 : 2, 0)};  // both decode engines are removed
    lifecycle->on_endpoint_list(engines, false);
    finish_prefill();
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_EQ(client.status, 529);
    EXPECT_EQ(environment.releases.size(), 1u);
    expect_no_more_attempts(1);
}

TEST_F(RequestLifecycleTest, StreamWithoutDataTimesOut) {
    program.limits.stream_idle_ms = 1000;
    send_request(client);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    advance(900);
    EXPECT_EQ(client.final_calls, 0);
    answer(last(), delta("b"));
    advance(900);
    EXPECT_EQ(client.final_calls, 0);
    advance(200);
    EXPECT_EQ(client.final_calls, 1);
    EXPECT_NE(client.stream.find("event: error"), std::string::npos);
    EXPECT_TRUE(last().closed);
}

TEST_F(RequestLifecycleTest, IdleStreamGetsKeepalivePings) {
    program.limits.ping_ms = 300;
    program.limits.stream_idle_ms = 5000;
    send_request(client);
    finish_prefill();
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
    program.limits.stream_idle_ms = 1000;
    const auto id = send_request(client);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    lifecycle->on_client_congested(id, true);
    EXPECT_TRUE(last().paused);
    advance(3000);
    EXPECT_EQ(client.final_calls, 0);
    lifecycle->on_client_congested(id, false);
    EXPECT_FALSE(last().paused);
    answer(last(), stop_event() + done_event());
    EXPECT_EQ(client.final_calls, 1);
}

TEST_F(RequestLifecycleTest, RequestBeyondTheLimitOfOpenRequestsIsNotAccepted) {
    program.limits.open_requests = 1;
    send_request(client);
    gateway::NewRequest request;
    request.id = "req_more";
    request.chat.messages = {{"user", "x"}};
    request.client = &client;
    EXPECT_FALSE(lifecycle->on_request(std::move(request)));
    EXPECT_EQ(client.final_calls, 0);
}

TEST_F(RequestLifecycleTest, EndAllAnswersEveryRequestAndReleasesItsLeases) {
    FakeClient prefilling;
    FakeClient waiting_for_decode;
    FakeClient streaming;
    FakeClient unsafe;
    send_request(streaming);
    finish_prefill();
    answer(last(), stream_head() + delta("a"));
    send_request(waiting_for_decode);
    finish_prefill();
    send_request(unsafe, 1);
    finish_prefill();
    last().exchange->on_first_byte_sent();
    send_request(prefilling);
    lifecycle->end_all();
    for (auto* each : {&prefilling, &waiting_for_decode, &streaming, &unsafe})
        EXPECT_EQ(each->final_calls, 1);
    EXPECT_EQ(prefilling.status, 529);
    EXPECT_EQ(unsafe.status, 500);
    EXPECT_EQ(unsafe.should_retry, false);
    EXPECT_NE(streaming.stream.find("event: error"), std::string::npos);
    EXPECT_EQ(environment.releases.size(), 3u);
    EXPECT_EQ(lifecycle->open(), 0u);
}

// Applies random events to a RequestLifecycle: requests, responses and faults of engines, disconnecting and
// slow clients, new endpoint lists and the passing of time. Checks that each client gets exactly one answer
// in time and nothing after it, that no request has two attempts in flight, and that each KV cache that a
// prefill has left is fetched or released.
class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed) : random_(seed) {
        harness_.program.router.cancellation = draw(4) > 0;
        harness_.start(seed);
    }

    // Stops at the first failed expectation.
    void run() {
        for (int i = 0; i < kEvents; ++i) {
            apply_random_event();
            expect_one_attempt_in_flight();
            expect_answers_in_time();
            if (::testing::Test::HasFailure()) return;
        }
        harness_.lifecycle->end_all();
        harness_.advance(6000);
        EXPECT_EQ(harness_.lifecycle->open(), 0u);
        for (const auto& known : requests_)
            EXPECT_EQ(known.client->final_calls + (known.client->disconnected ? 1 : 0), 1) << known.id;
        expect_kv_caches_fetched_or_released();
    }

private:
    static constexpr int kEvents = 400;
    static constexpr std::size_t kMaxRequests = 40;
    static constexpr Millis kClassDeadline = 3000;  // as in test_program()

    // A request that was sent.
    struct KnownRequest {
        std::unique_ptr<FakeClient> client = std::make_unique<FakeClient>();
        std::string id;
        Millis deadline = 0;
        bool stream = true;
        bool has_timeout = false;  // the client has stated a timeout of its own
    };

    // A random number from 0 to `bound` - 1.
    int draw(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
    std::size_t draw_index(std::size_t size) {
        return static_cast<std::size_t>(draw(static_cast<int>(size)));
    }

    void apply_random_event() {
        const int event = draw(20);
        if (event < 4 && requests_.size() < kMaxRequests) {
            send_random_request();
        } else if (event < 13 && !harness_.environment.sent.empty()) {
            SentAttempt sent = harness_.environment.sent[draw_index(harness_.environment.sent.size())];
            advance_engine(sent, 4 + draw(3) - (draw(6) ? 0 : 4 + draw(3)));
        } else if (event == 13 && !requests_.empty()) {
            auto& known = requests_[draw_index(requests_.size())];
            if (known.client->final_calls == 0) known.client->disconnected = true;
            harness_.lifecycle->on_client_disconnected(known.id);
        } else if (event == 14) {
            send_endpoint_list();
        } else if (event == 15 && !requests_.empty()) {
            harness_.lifecycle->on_client_congested(requests_[draw_index(requests_.size())].id, draw(2));
        } else {
            harness_.advance(draw(4) ? draw(30) : draw(600));
        }
    }

    void send_random_request() {
        auto& known = requests_.emplace_back();
        known.stream = draw(3) > 0;
        const int cls = draw(3);
        const Millis patience = draw(3) ? 0 : 200 + draw(2000);
        known.has_timeout = patience > 0;
        known.deadline =
            harness_.environment.clock + (patience > 0 ? std::min(patience, kClassDeadline) : kClassDeadline);
        known.id = harness_.send_request(*known.client, cls, known.stream, patience);
    }

    // The attempt's engine fails in the way `step` says, or sends the next part of its response.
    void advance_engine(SentAttempt& sent, int step) {
        const auto exchange = sent.exchange;
        if (exchange->has_outcome() || sent.closed) return;
        int& parts_sent = parts_sent_[sent.id()];
        if (step == 0)
            return parts_sent == 0 ? exchange->on_connect_failed() : exchange->on_connection_closed();
        if (step == 1) return exchange->on_first_byte_sent(), exchange->on_connection_closed();
        exchange->on_first_byte_sent();
        if (step == 2) return exchange->on_data(http_response(draw(2) ? 500 : 429, "application/json", "{}"));
        if (step == 3 && parts_sent == 0) return exchange->on_data("HTTP/1.1 200 OK\r\ncontent-le");
        if (sent.is_prefill()) return exchange->on_data(parts_sent++ ? "" : prefill_response(sent.id()));
        exchange->on_data(stream_part(parts_sent++));
    }

    static std::string stream_part(int number) {
        switch (number) {
            case 0:
                return stream_head();
            case 1:
                return delta("a");
            case 2:
                return delta("b") + delta("c");
            case 3:
                return stop_event();
            case 4:
                return usage_event(3) + done_event();
            default:
                return delta("late");
        }
    }

    void send_endpoint_list() {
        auto engines = harness_.engines;
        for (auto& engine : engines) {
            if (draw(3) == 0)
                engine.endpoint.status = draw(2) ? EndpointStatus::removed : EndpointStatus::draining;
        }
        harness_.lifecycle->on_endpoint_list(engines, draw(2));
    }

    void expect_one_attempt_in_flight() const {
        std::map<std::string, int> in_flight;
        for (const auto& sent : harness_.environment.sent) {
            const auto request = request_of(sent);
            if (!sent.exchange->has_outcome() && ++in_flight[request] > 1)
                FAIL() << "two attempts in flight for " << request;
        }
    }

    void expect_answers_in_time() const {
        for (const auto& known : requests_) {
            EXPECT_LE(known.client->final_calls, 1) << known.id;
            const bool is_answered = known.client->final_calls > 0 || known.client->stream_begins > 0 ||
                                     known.client->disconnected || is_decoding_without_timeout(known);
            if (!is_answered) {
                EXPECT_LE(harness_.environment.clock, known.deadline + harness_.program.router.answer_slack)
                    << known.id << " unanswered";
            }
        }
    }

    // A complete response that an engine has begun is in time as long as its client waits, and this client
    // has not stated for how long it does.
    bool is_decoding_without_timeout(const KnownRequest& known) const {
        return !known.stream && !known.has_timeout &&
               std::any_of(harness_.environment.sent.begin(), harness_.environment.sent.end(),
                           [&](const SentAttempt& sent) {
                               return sent.id().rfind(known.id + ".", 0) == 0 && sent.exchange->begun();
                           });
    }

    void expect_kv_caches_fetched_or_released() {
        for (const auto& sent : harness_.environment.sent) {
            if (!sent.is_prefill() || parts_sent_[sent.id()] == 0) continue;  // no response, so no KV cache
            EXPECT_TRUE(is_released(sent) || is_fetched(sent))
                << sent.id() << " may have leaked its KV cache";
        }
    }

    bool is_released(const SentAttempt& prefill) const {
        const auto& releases = harness_.environment.releases;
        return std::any_of(releases.begin(), releases.end(), [&](const auto& release) {
            return release.second == prefill.id() && release.first == prefill.address;
        });
    }

    // Whether the stream of a decode attempt that was given this KV cache has begun.
    bool is_fetched(const SentAttempt& prefill) {
        const auto& sent = harness_.environment.sent;
        return std::any_of(sent.begin(), sent.end(), [&](const SentAttempt& decode) {
            return request_of(decode) == request_of(prefill) && !decode.is_prefill() &&
                   decode.request.body.find("\"" + prefill.id() + "\"") != std::string::npos &&
                   (decode.exchange->begun() || parts_sent_[decode.id()] >= 2);
        });
    }

    static std::string request_of(const SentAttempt& sent) {
        return sent.id().substr(0, sent.id().rfind('.'));
    }

    std::mt19937_64 random_;
    LifecycleHarness harness_;
    std::vector<KnownRequest> requests_;
    std::map<std::string, int> parts_sent_;  // by attempt id
};

TEST(RequestLifecycleRandomTest, InvariantsHoldInRandomOrdersOfEvents) {
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        RandomRun(seed).run();
        if (::testing::Test::HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
