// RequestLifecycle with a fake environment: answers, releases, shutdown, client disconnects, and random
// orders of these events.
#include <map>
#include <random>
#include <set>

#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, APrefillAndADecodeServeTheStreamUnchanged) {
    send_request("t1", client);
    EXPECT_NE(last_exchange().request.find("\r\nx-txn: t1\r\n"), std::string::npos);
    EXPECT_NE(last_exchange().request.find("\r\nx-remaining: "), std::string::npos);
    EXPECT_TRUE(last_exchange().request.ends_with("\r\n\r\n{}"));
    EXPECT_NE(last_exchange().address, "10.0.0.3:1");
    answer_prefill();
    EXPECT_EQ(last_exchange().address, "10.0.0.3:1");
    EXPECT_TRUE(last_exchange().request.ends_with("\r\n\r\n{}"));
    answer(kStreamHead + chunked("data: a\n\n"));
    EXPECT_EQ(client.streams_begun, 1);
    answer(kStreamEnd);
    EXPECT_EQ(client.events, "data: a\n\ndata: [DONE]\n\n");
    EXPECT_EQ(client.answers_ended, 1);
    EXPECT_EQ(release_calls(), 0u) << "the decode has fetched the KV cache";
}

TEST_F(PlatformTest, AnOpenTransactionIdIsRejectedAndMayBeReusedLater) {
    send_request("t1", client);
    RecordingClient other;
    EXPECT_EQ(send_request("t1", other), 0u);
    answer_prefill();
    answer(kWholeAnswer);
    EXPECT_EQ(other.answers_ended, 0);
    EXPECT_NE(send_request("t1", other), 0u);
    answer_prefill();
    answer(kStreamHead + chunked("data: b\n\n") + kStreamEnd);
    EXPECT_EQ(other.events, "data: b\n\ndata: [DONE]\n\n");
}

TEST_F(PlatformTest, AShutdownMigratesStreamsAndAnswersOtherRequests) {
    send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    RecordingClient waiting;
    send_request("t2", waiting);
    EXPECT_EQ(lifecycle.open_streams(), 1u);
    lifecycle.migrate_streams(5);
    EXPECT_TRUE(client.stream_aborted);
    EXPECT_EQ(lifecycle.open_streams(), 0u);
    EXPECT_EQ(waiting.answers_ended, 0);
    lifecycle.shutdown();
    EXPECT_EQ(waiting.status, 503);
    answer_all_releases();
}

// Random orders of arrivals, answers, broken connections, client disconnects, list updates and a shutdown:
// each client gets one end, a request has one attempt at a time, draining endpoints get no attempts, and no
// KV cache stays leased.
TEST_F(PlatformTest, InvariantsHoldInRandomOrders) {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
        struct TestRequest {
            RecordingClient client;
            std::uint64_t handle = 0;
            bool disconnected = false;
        };
        std::map<std::string, TestRequest> requests;
        std::set<std::string> leased;
        environment.exchanges.clear();
        std::size_t checked = 0;
        bool draining = false;
        const auto txn = [](const FakeEnvironment::StartedExchange& sent) {
            const auto at = sent.request.find("x-txn: ") + 7;
            return sent.request.substr(at, sent.request.find("\r\n", at) - at);
        };
        const auto is_release = [](const FakeEnvironment::StartedExchange& sent) {
            return sent.request.rfind("DELETE", 0) == 0;
        };
        const auto check_new_exchanges = [&] {
            for (; checked < environment.exchanges.size(); ++checked) {
                const auto& sent = environment.exchanges[checked];
                if (is_release(sent)) {  // takes effect when it reaches an endpoint, answered or not
                    const auto from = sent.request.find("rooms/") + 6;
                    leased.erase(sent.request.substr(from, sent.request.find(' ', from) - from));
                }
                if (sent.request.empty() || is_release(sent)) continue;
                EXPECT_FALSE(draining && sent.address == "10.0.0.3:1");
                for (std::size_t i = 0; i < checked; ++i) {
                    const auto& earlier = environment.exchanges[i];
                    EXPECT_FALSE(!earlier.request.empty() && !is_release(earlier) &&
                                 txn(earlier) == txn(sent) && !earlier.closed &&
                                 !earlier.exchange->has_outcome())
                        << "two attempts of " << txn(sent);
                }
            }
        };
        // Lets a random exchange in flight succeed, or end in a random way; returns false if there is none.
        const auto step_endpoint = [&](bool succeed) {
            std::vector<std::size_t> in_flight;
            for (std::size_t i = 0; i < environment.exchanges.size(); ++i) {
                if (!environment.exchanges[i].request.empty() && !environment.exchanges[i].closed &&
                    !environment.exchanges[i].exchange->has_outcome())
                    in_flight.push_back(i);
            }
            if (in_flight.empty()) return false;
            // Copied, because an answer may start further exchanges.
            const auto sent = environment.exchanges[in_flight[below(in_flight.size())]];
            const std::size_t behaviour = succeed ? 0 : below(6);
            if (is_release(sent)) {
                if (behaviour > 4)
                    sent.exchange->on_connection_closed();
                else
                    sent.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (behaviour == 5) {
                sent.exchange->on_connection_closed();
            } else if (behaviour == 4) {
                sent.exchange->on_data("HTTP/1.1 503 no\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n");
            } else if (sent.address != "10.0.0.3:1") {
                leased.insert(txn(sent));
                sent.exchange->on_data(kPrefillAnswer);
            } else if (behaviour == 3) {
                sent.exchange->on_data("noise");
            } else {
                leased.erase(txn(sent));  // the decode has fetched the KV cache
                if (behaviour < 2)
                    sent.exchange->on_data(kWholeAnswer);
                else
                    sent.exchange->on_data(kStreamHead + chunked("data: a\n\n") + "zz");
            }
            return true;
        };
        for (int step = 0; step < 120; ++step) {
            const std::size_t event = below(10);
            if (event < 3) {
                const std::string id = std::to_string(seed) + "-" + std::to_string(step);
                TestRequest& request = requests[id];
                request.handle = send_request(id, request.client);
            } else if (event < 7) {
                step_endpoint(false);
            } else if (event == 7 && !requests.empty()) {
                auto it = std::next(requests.begin(), static_cast<std::ptrdiff_t>(below(requests.size())));
                if (it->second.client.answers_ended == 0 && !it->second.disconnected)
                    it->second.disconnected = true, lifecycle.on_client_disconnected(it->second.handle);
            } else if (event == 8 && below(3) == 0) {
                draining = !draining;
                drain_decode_endpoint(draining);
            } else {
                advance(static_cast<Millis>(5 * below(40)));
            }
            check_new_exchanges();
        }
        if (below(2) == 0) lifecycle.migrate_streams(lifecycle.open_streams()), lifecycle.shutdown();
        for (int i = 0; i < 40; ++i) {
            while (step_endpoint(true)) check_new_exchanges();
            advance(400);
        }
        for (const auto& [id, request] : requests)
            EXPECT_EQ(request.client.answers_ended, request.disconnected ? 0 : 1) << id;
        EXPECT_TRUE(leased.empty()) << *leased.begin() << " is still leased";
        EXPECT_EQ(lifecycle.open_requests(), 0u);
        EXPECT_EQ(lifecycle.attempts_in_flight(), 0u);
        EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
        if (draining) drain_decode_endpoint(false);
        if (HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
