// Attempts at endpoints: whether one may be sent, at its decision and right before its first byte; the time
// that the endpoint is told; what counts as never run.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, NoAttemptGoesToADrainingEndpoint) {
    drain_decode_endpoint();
    send_request("t1", client);
    for (const auto& sent : world.sent) EXPECT_NE(sent.address, "10.0.0.3:1");
    EXPECT_EQ(client.status, 503);
}

TEST_F(PlatformTest, ADrainReportedWhileConnectingStopsTheAttempt) {
    send_request("t1", client);
    answer_prefill();
    ASSERT_EQ(last().address, "10.0.0.3:1");
    const auto write = last().attempt;
    EXPECT_TRUE(write->may_start());
    drain_decode_endpoint();
    EXPECT_FALSE(write->may_start());
    write->on_not_sent();
    EXPECT_EQ(client.status, 503);
    answer_all_releases();
}

// Guards against attempts for clients that have gone while their close waits unread behind other work.
TEST_F(PlatformTest, NoAttemptForAClientWhoseCloseIsUnread) {
    client.closed = true;
    send_request("t1", client);
    EXPECT_TRUE(world.sent.empty()) << "no first attempt";
    client.closed = false;
    const auto handle = send_request("t2", client);
    ASSERT_EQ(world.sent.size(), 1u);
    client.closed = true;
    answer_prefill();
    for (std::size_t i = 1; i < world.sent.size(); ++i) {
        EXPECT_EQ(world.sent[i].request.rfind("DELETE", 0), 0u)
            << "no further one, only what releases the state";
    }
    EXPECT_EQ(releases(), 1u);
    lifecycle.on_client_disconnected(handle);  // and now it is read
    EXPECT_EQ(client.ended, 0);
    answer_all_releases();
}

// The connection of an attempt takes its whole dial time to come up, and meanwhile its reason goes away.
TEST_F(PlatformTest, AnAttemptWhoseReasonEndsWhileConnectingIsNotSent) {
    world.dials_wait = true;
    const auto write_of = [&](const std::string& txn, RecordingClient& asker) {
        const auto handle = send_request(txn, asker);
        last().attempt->may_start();
        last().attempt->on_request_written();
        answer_prefill();
        return std::pair(handle, last().attempt);
    };
    RecordingClient closes;
    RecordingClient leaves;
    RecordingClient expires;
    const auto [closing, unread] = write_of("t1", closes);
    EXPECT_TRUE(unread->may_start());
    closes.closed = true;
    EXPECT_FALSE(unread->may_start()) << "its client has closed, which has not been read yet";
    unread->on_not_sent();
    EXPECT_EQ(closes.ended, 0);
    const auto [leaving, orphan] = write_of("t2", leaves);
    lifecycle.on_client_disconnected(leaving);
    EXPECT_FALSE(orphan->may_start()) << "its client has gone";
    orphan->on_not_sent();
    const auto [expiring, late] = write_of("t3", expires);
    EXPECT_TRUE(late->may_start());
    world.clock += 5000;
    EXPECT_FALSE(late->may_start()) << "its time is over";
    late->on_not_sent();
    EXPECT_EQ(expires.status, 503);
    answer_all_releases();
}

TEST_F(PlatformTest, ARequestNotFullyWrittenNeverRan) {
    world.dials_wait = true;
    send_request("t1", client, 1);  // of the class whose requests may run once
    last().attempt->may_start();
    last().attempt->on_request_written();
    answer_prefill();
    const auto write = last().attempt;
    ASSERT_TRUE(write->may_start());
    write->on_first_byte_sent();  // but its last byte is not out when the gateway ends
    lifecycle.shutdown();
    EXPECT_EQ(client.ended, 1);
    EXPECT_TRUE(write->is_over()) << "called off";
    EXPECT_EQ(lifecycle.counters().results[static_cast<int>(AttemptResult::not_sent)], 1u);
    EXPECT_EQ(lifecycle.counters().results[static_cast<int>(AttemptResult::cancelled)], 0u);
    answer_all_releases();
}

// Guards against servers told more time than is left, as connections may take long to come up.
TEST_F(PlatformTest, RemainingTimeIsTakenAtTheSend) {
    const auto told = [&] {
        const auto at = last().request.find("x-remaining: ");
        return std::stol(last().request.substr(at + 13));
    };
    world.dial = 240;
    const Millis arrived = world.clock;
    send_request("t1", client);
    const Millis deadline = arrived + 5000;
    EXPECT_LE(told(), deadline - world.clock);
    answer_prefill();
    EXPECT_LE(told(), deadline - world.clock) << "further attempts too";
    EXPECT_EQ(last().request.find("x-remaining", last().request.find("x-remaining") + 1), std::string::npos);
    EXPECT_NE(last().request.find("\r\n\r\n{}"), std::string::npos);
    world.dial = 0;
    answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
