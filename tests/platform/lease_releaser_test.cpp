// Releases: which endpoints are called, how often, for how long, and how many calls may be in flight.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, RetriesCallOtherEndpointsUntilAnAnswer) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    lifecycle.on_client_disconnected(handle);
    ASSERT_EQ(release_calls(), 1u);
    const std::string first = last_exchange().address;
    advance(200);
    ASSERT_EQ(release_calls(), 2u);
    EXPECT_NE(last_exchange().address, first);
    answer_release();
    advance(300);
    EXPECT_EQ(release_calls(), 2u);
    advance(100);
    EXPECT_EQ(release_calls(), 3u)
        << "the first release may have reached its endpoint before the cancelled decode ended";
    answer_release();
    advance(340);
    EXPECT_EQ(release_calls(), 3u);
    advance(20);
    EXPECT_EQ(release_calls(), 4u) << "nothing proves that the decode's endpoint has seen its end";
    answer_release();
    advance(2000);
    EXPECT_EQ(release_calls(), 4u);
}

// Guards against a release that times out by calling one unresponsive endpoint after another of the same
// role.
TEST_F(PlatformTest, RetriesCallTheOtherRoleThenSeveralEndpointsAtOnce) {
    std::string rows;
    for (int i = 0; i < 12; ++i) {
        const bool is_prefill = i < 6;
        rows += std::string(i ? "," : "") + "{\"host\":\"" + (is_prefill ? "r" : "w") + std::to_string(i) +
                "\",\"dial\":\"10.0.1." + std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" +
                (is_prefill ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    apply_list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = send_request("t1", client);
    answer_prefill();
    lifecycle.on_client_disconnected(handle);
    advance(160);
    ASSERT_EQ(release_calls(), 2u);
    const auto is_prefill = [](const std::string& address) { return address < std::string("10.0.1.6"); };
    std::vector<std::string> called;
    for (const auto& started : environment.exchanges) {
        if (started.request.rfind("DELETE", 0) == 0) called.push_back(started.address);
    }
    EXPECT_NE(is_prefill(called[0]), is_prefill(called[1])) << called[0] << " " << called[1];
    advance(350);
    EXPECT_GE(release_calls(), 6u) << "half of the endpoints are called before the release times out";
    answer_release();
    advance(2000);
}

struct ShortReleaseTimeoutTest : PlatformTest {
    ShortReleaseTimeoutTest()
        : PlatformTest(replace_once(kConfig, "\"LetGoByMs\":1000.0", "\"LetGoByMs\":300.0")) {}
};

// Guards against fixed intervals that only suit long release timeouts: with a timeout of 300 ms and four in
// five endpoints unresponsive, most endpoints have to be called in time.
TEST_F(ShortReleaseTimeoutTest, MostEndpointsAreCalledInTime) {
    std::string rows;
    for (int i = 0; i < 10; ++i) {
        rows += std::string(i ? "," : "") + "{\"host\":\"h" + std::to_string(i) + "\",\"dial\":\"10.0.1." +
                std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" + (i < 5 ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    apply_list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = send_request("t1", client);
    answer_prefill();
    const Millis started_at = environment.now_ms;
    lifecycle.on_client_disconnected(handle);
    advance(250);
    EXPECT_GE(release_calls(), 8u) << "most endpoints have been called";
    EXPECT_LE(environment.now_ms, started_at + 300);
    advance(12000);  // no endpoint answers: it is retried with backoff for some seconds, then ended
}

TEST_F(ShortReleaseTimeoutTest, TheSecondReleaseOfACancelledPrefillStartsInTime) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    ASSERT_EQ(release_calls(), 1u);
    answer_release();
    advance(120);
    EXPECT_EQ(release_calls(), 2u);
    answer_release();
    advance(220);
    EXPECT_EQ(release_calls(), 3u);
    answer_release();
}

// Guards against two releases that both overtake the close of the attempt before them. Found by the soak
// test.
TEST_F(ShortReleaseTimeoutTest, AReleaseFollowsTheProofThatAnAttemptsEndWasSeen) {
    const auto handle = send_request("t1", client);
    const auto prove_end = [&] { environment.exchanges.front().on_peer_closed(); };
    lifecycle.on_client_disconnected(handle);
    answer_release();
    advance(120);
    ASSERT_EQ(release_calls(), 2u);
    answer_release();
    advance(50);
    ASSERT_EQ(release_calls(), 2u);
    prove_end();
    EXPECT_EQ(release_calls(), 3u);
    answer_release();
    advance(2000);
    EXPECT_EQ(release_calls(), 3u) << "the last release was made";
}

// Guards against answers of several calls of one round that each count as one of the releases that have to
// follow.
TEST_F(PlatformTest, AnswersOfOneRoundCountOnce) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    advance(400);
    ASSERT_GE(release_calls(), 3u);
    const std::size_t first_round = release_calls();
    for (std::size_t index = 0; index < environment.exchanges.size(); ++index) {
        const auto& started = environment.exchanges[index];
        if (started.request.rfind("DELETE", 0) == 0 && !started.exchange->has_outcome())
            started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
    }
    advance(400);
    EXPECT_EQ(release_calls(), first_round + 1) << "the second release";
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), first_round + 2) << "the third release";
    answer_release();
}

TEST_F(PlatformTest, AProofBeforeTheFirstAnswerBringsTheSecondReleaseForward) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    environment.exchanges.front().on_peer_closed();
    EXPECT_EQ(release_calls(), 1u);
    answer_release();
    advance(10);
    EXPECT_EQ(release_calls(), 2u);
    answer_release();
    advance(690);
    EXPECT_EQ(release_calls(), 2u);
    advance(20);
    EXPECT_EQ(release_calls(), 3u) << "the proof may come from a proxy";
    answer_release();
    advance(2000);
    EXPECT_EQ(release_calls(), 3u);
}

// Guards against skipping the second release of a pair because the process was stalled when it was due.
TEST_F(PlatformTest, AStallDoesNotSkipTheSecondRelease) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);  // its prefill may have completed
    ASSERT_EQ(release_calls(), 1u);
    answer_release();
    environment.now_ms += 5000;
    advance(20);
    EXPECT_EQ(release_calls(), 2u);
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), 3u);
    answer_release();
    advance(2000);
}

// Guards against a retry storm of many releases, from many gateways, if no endpoint answers.
TEST_F(PlatformTest, CallsAreBoundedIfEveryEndpointIsUnresponsive) {
    for (int i = 0; i < 50; ++i) {
        const auto handle = send_request("t" + std::to_string(i), client);
        lifecycle.on_client_disconnected(handle);
    }
    advance(1300);
    EXPECT_LE(release_calls(), 50u * 13);
    const auto in_flight =
        std::count_if(environment.exchanges.begin(), environment.exchanges.end(), [](const auto& call) {
            return call.request.rfind("DELETE", 0) == 0 && !call.closed && !call.exchange->has_outcome();
        });
    EXPECT_LE(in_flight, 33);
    const std::size_t calls_in_time = release_calls();
    advance(12000);
    EXPECT_LE(release_calls() - calls_in_time, 50u * 7) << "the retry interval grows";
    EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
}

}  // namespace
}  // namespace gorsenotch::test
