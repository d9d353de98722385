// The life of a request in RequestLifecycle, against a fake environment: answers, releases, stops, clients
// that disconnect, and every order of them.
#include <map>
#include <random>
#include <set>

#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, PrefillThenDecodeThenServedUnchanged) {
    send_request("t1", client);
    EXPECT_NE(last().request.find("\r\nx-txn: t1\r\n"), std::string::npos);
    EXPECT_NE(last().request.find("\r\nx-remaining: "), std::string::npos);
    EXPECT_TRUE(last().request.ends_with("\r\n\r\n{}"));
    EXPECT_NE(last().address, "10.0.0.3:1");
    answer_prefill();
    EXPECT_EQ(last().address, "10.0.0.3:1");
    EXPECT_TRUE(last().request.ends_with("\r\n\r\n{}"));
    answer(kStream + chunked("data: a\n\n"));
    EXPECT_EQ(client.begun, 1);
    answer(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    EXPECT_EQ(client.events, "data: a\n\ndata: [DONE]\n\n");
    EXPECT_EQ(client.ended, 1);
    EXPECT_EQ(releases(), 0u) << "the write took the state";
}

TEST_F(PlatformTest, AnOpenIdIsRejectedAndMayComeAgainLater) {
    send_request("t1", client);
    RecordingClient other;
    EXPECT_EQ(send_request("t1", other), 0u);
    answer_prefill();
    answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
    EXPECT_EQ(other.ended, 0);
    EXPECT_NE(send_request("t1", other), 0u);
    answer_prefill();
    answer(kStream + chunked("data: b\n\n") + "0\r\n\r\n");
    EXPECT_EQ(other.events, "data: b\n\n");
}

TEST_F(PlatformTest, AStopMigratesStreamsAndAnswersTheRest) {
    send_request("t1", client);
    answer_prefill();
    answer(kStream + chunked("data: a\n\n"));
    RecordingClient waiting;
    send_request("t2", waiting);
    EXPECT_EQ(lifecycle.streams(), 1u);
    lifecycle.migrate_streams(5);
    EXPECT_TRUE(client.cutoff);
    EXPECT_EQ(lifecycle.streams(), 0u);
    EXPECT_EQ(waiting.ended, 0);
    lifecycle.shutdown();
    EXPECT_EQ(waiting.status, 503);
    answer_all_releases();
}

// Every order of arrivals, answers, breaks, leaving clients, lists and a stop: one end for each client, one
// attempt of a request at a time, nothing new to what drains, no state left.
TEST_F(PlatformTest, InvariantsHoldInEveryOrder) {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
        struct Asked {
            RecordingClient client;
            std::uint64_t handle = 0;
            bool gone = false;
        };
        std::map<std::string, Asked> asked;
        std::set<std::string> held;
        world.sent.clear();
        std::size_t seen = 0;
        bool drained = false;
        const auto txn = [](const FakeEnvironment::Sent& sent) {
            const auto at = sent.request.find("x-txn: ") + 7;
            return sent.request.substr(at, sent.request.find("\r\n", at) - at);
        };
        const auto release = [](const FakeEnvironment::Sent& sent) {
            return sent.request.rfind("DELETE", 0) == 0;
        };
        const auto look = [&] {  // at what was sent since
            for (; seen < world.sent.size(); ++seen) {
                const auto& sent = world.sent[seen];
                if (release(sent)) {  // it counts once it has reached a server, answered or not
                    const auto from = sent.request.find("rooms/") + 6;
                    held.erase(sent.request.substr(from, sent.request.find(' ', from) - from));
                }
                if (sent.request.empty() || release(sent)) continue;
                EXPECT_FALSE(drained && sent.address == "10.0.0.3:1");
                for (std::size_t i = 0; i < seen; ++i) {
                    const auto& o = world.sent[i];
                    EXPECT_FALSE(!o.request.empty() && !release(o) && txn(o) == txn(sent) && !o.closed &&
                                 !o.attempt->is_over())
                        << "two attempts of " << txn(sent);
                }
            }
        };
        const auto engine = [&](bool kindly) {  // one of those that wait does something
            std::vector<std::size_t> out;
            for (std::size_t i = 0; i < world.sent.size(); ++i) {
                if (!world.sent[i].request.empty() && !world.sent[i].closed &&
                    !world.sent[i].attempt->is_over())
                    out.push_back(i);
            }
            if (out.empty()) return false;
            // Copies: an answer may send more.
            const auto sent = world.sent[out[below(out.size())]];
            const std::size_t how = kindly ? 0 : below(6);
            if (release(sent)) {
                if (how > 4)
                    sent.attempt->on_connection_closed();
                else
                    sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (how == 5) {
                sent.attempt->on_connection_closed();
            } else if (how == 4) {
                sent.attempt->on_data("HTTP/1.1 503 no\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n");
            } else if (sent.address != "10.0.0.3:1") {
                held.insert(txn(sent));
                sent.attempt->on_data("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}");
            } else if (how == 3) {
                sent.attempt->on_data("noise");
            } else {
                held.erase(txn(sent));  // the write has taken it
                if (how < 2)
                    sent.attempt->on_data(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
                else
                    sent.attempt->on_data(kStream + chunked("data: a\n\n") + "zz");
            }
            return true;
        };
        for (int step = 0; step < 120; ++step) {
            const std::size_t what = below(10);
            if (what < 3) {
                const std::string id = std::to_string(seed) + "-" + std::to_string(step);
                Asked& a = asked[id];
                a.handle = send_request(id, a.client);
            } else if (what < 7) {
                engine(false);
            } else if (what == 7 && !asked.empty()) {
                auto it = std::next(asked.begin(), static_cast<std::ptrdiff_t>(below(asked.size())));
                if (it->second.client.ended == 0 && !it->second.gone)
                    it->second.gone = true, lifecycle.on_client_disconnected(it->second.handle);
            } else if (what == 8 && below(3) == 0) {
                drained = !drained;
                drain_decode_endpoint(drained);
            } else {
                advance(static_cast<Millis>(5 * below(40)));
            }
            look();
        }
        if (below(2) == 0) lifecycle.migrate_streams(lifecycle.streams()), lifecycle.shutdown();
        for (int i = 0; i < 40; ++i) {
            while (engine(true)) look();
            advance(400);
        }
        for (const auto& [id, a] : asked) EXPECT_EQ(a.client.ended, a.gone ? 0 : 1) << id;
        EXPECT_TRUE(held.empty()) << *held.begin() << " is still held";
        EXPECT_EQ(lifecycle.open_requests(), 0u);
        EXPECT_EQ(lifecycle.attempts_in_flight(), 0u);
        EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
        if (drained) drain_decode_endpoint(false);
        if (HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
