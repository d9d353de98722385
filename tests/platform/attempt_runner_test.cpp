// Attempts at endpoints: whether one may be sent, when the Router starts it and right before its first byte;
// the remaining time announced to the endpoint; which attempts count as never run.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, NoAttemptGoesToADrainingEndpoint) {
    drain_decode_endpoint();
    send_request("t1", client);
    for (const auto& sent : environment.exchanges) EXPECT_NE(sent.address, "10.0.0.3:1");
    EXPECT_EQ(client.status, 503);
}

TEST_F(PlatformTest, ADrainReportedWhileConnectingStopsTheAttempt) {
    send_request("t1", client);
    answer_prefill();
    ASSERT_EQ(last_exchange().address, "10.0.0.3:1");
    const auto decode = last_exchange().exchange;
    EXPECT_TRUE(decode->may_start());
    drain_decode_endpoint();
    EXPECT_FALSE(decode->may_start());
    decode->on_not_sent();
    EXPECT_EQ(client.status, 503);
    answer_all_releases();
}

// Guards against attempts for a client that has disconnected, while its FIN is not read yet.
TEST_F(PlatformTest, NoAttemptForAClientWhoseFinIsUnread) {
    client.disconnected = true;
    send_request("t1", client);
    EXPECT_TRUE(environment.exchanges.empty()) << "no first attempt";
    client.disconnected = false;
    const auto handle = send_request("t2", client);
    ASSERT_EQ(environment.exchanges.size(), 1u);
    client.disconnected = true;
    answer_prefill();
    for (std::size_t i = 1; i < environment.exchanges.size(); ++i) {
        EXPECT_EQ(environment.exchanges[i].request.rfind("DELETE", 0), 0u)
            << "no further attempt, only a release";
    }
    EXPECT_EQ(release_calls(), 1u);
    lifecycle.on_client_disconnected(handle);  // the FIN is read
    EXPECT_EQ(client.answers_ended, 0);
    answer_all_releases();
}

// Guards against sending an attempt that has become pointless while its connection was being established.
TEST_F(PlatformTest, AnAttemptThatBecomesPointlessWhileConnectingIsNotSent) {
    environment.manual_connect = true;
    const auto start_decode = [&](const std::string& txn, RecordingClient& recorder) {
        const auto handle = send_request(txn, recorder);
        last_exchange().exchange->may_start();
        last_exchange().exchange->on_request_written();
        answer_prefill();
        return std::pair(handle, last_exchange().exchange);
    };
    RecordingClient closing_client;
    RecordingClient disconnected_client;
    RecordingClient expired_client;
    const auto [closing_request, closing_decode] = start_decode("t1", closing_client);
    EXPECT_TRUE(closing_decode->may_start());
    closing_client.disconnected = true;
    EXPECT_FALSE(closing_decode->may_start()) << "its client has closed; the FIN is unread";
    closing_decode->on_not_sent();
    EXPECT_EQ(closing_client.answers_ended, 0);
    const auto [disconnected_request, disconnected_decode] = start_decode("t2", disconnected_client);
    lifecycle.on_client_disconnected(disconnected_request);
    EXPECT_FALSE(disconnected_decode->may_start()) << "its client has disconnected";
    disconnected_decode->on_not_sent();
    const auto [expired_request, expired_decode] = start_decode("t3", expired_client);
    EXPECT_TRUE(expired_decode->may_start());
    environment.now_ms += 5000;
    EXPECT_FALSE(expired_decode->may_start()) << "its deadline has passed";
    expired_decode->on_not_sent();
    EXPECT_EQ(expired_client.status, 503);
    answer_all_releases();
}

TEST_F(PlatformTest, AnAttemptThatWasNotFullyWrittenNeverRan) {
    environment.manual_connect = true;
    send_request("t1", client, 1);  // a class that is not idempotent
    last_exchange().exchange->may_start();
    last_exchange().exchange->on_request_written();
    answer_prefill();
    const auto decode = last_exchange().exchange;
    ASSERT_TRUE(decode->may_start());
    decode->on_first_byte_sent();  // its last byte is not written when the gateway stops
    lifecycle.shutdown();
    EXPECT_EQ(client.answers_ended, 1);
    EXPECT_TRUE(decode->has_outcome()) << "cancelled";
    EXPECT_EQ(lifecycle.counters().results[static_cast<int>(AttemptResult::not_sent)], 1u);
    EXPECT_EQ(lifecycle.counters().results[static_cast<int>(AttemptResult::cancelled)], 0u);
    answer_all_releases();
}

// Guards against announcing more time to an endpoint than remains, as connecting may take long.
TEST_F(PlatformTest, RemainingTimeIsComputedRightBeforeTheFirstByte) {
    const auto announced_ms = [&] {
        const auto at = last_exchange().request.find("x-remaining: ");
        return std::stol(last_exchange().request.substr(at + 13));
    };
    environment.connect_time = 240;
    const Millis arrived = environment.now_ms;
    send_request("t1", client);
    const Millis deadline = arrived + 5000;
    EXPECT_LE(announced_ms(), deadline - environment.now_ms);
    answer_prefill();
    EXPECT_LE(announced_ms(), deadline - environment.now_ms) << "further attempts too";
    EXPECT_EQ(last_exchange().request.find("x-remaining", last_exchange().request.find("x-remaining") + 1),
              std::string::npos);
    EXPECT_NE(last_exchange().request.find("\r\n\r\n{}"), std::string::npos);
    environment.connect_time = 0;
    answer(kWholeAnswer);
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
