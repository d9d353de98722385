// Streams that have begun: broken streams, the idle timeout, migration.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

// Within which a client sees the end of a broken stream: 5 s, and the process may be held up for twice 150
// ms.
constexpr Millis kStreamEndLimit = 4700;

TEST_F(PlatformTest, ABrokenOrStalledStreamIsAborted) {
    send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n") + "zz");
    EXPECT_TRUE(client.stream_aborted);
    RecordingClient stalled_client;
    send_request("t2", stalled_client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    advance(3000);
    answer(chunked("data: b\n\n"));
    advance(3000);
    EXPECT_EQ(stalled_client.answers_ended, 0);
    advance(kStreamEndLimit - 3000);
    EXPECT_TRUE(stalled_client.stream_aborted);
    EXPECT_TRUE(last_exchange().closed);
}

// Guards against cutting off a stream whose endpoint is slow but still writes.
TEST_F(PlatformTest, AStreamWithAnEventEveryFourAndAHalfSecondsIsNotCutOff) {
    send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    for (int i = 0; i < 3; ++i) {
        advance(4500);
        answer(chunked("data: b\n\n"));
    }
    answer(kStreamEnd);
    EXPECT_EQ(client.answers_ended, 1);
    EXPECT_FALSE(client.stream_aborted);
}

// Guards against a client that stops reading and stays: its stream would stay paused, and hold its place at
// the endpoint, without end.
TEST_F(PlatformTest, APausedStreamEndsOnceItsClientTakesNothingAnyMore) {
    send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    client.congested = true;
    answer(chunked("data: b\n\n"));
    EXPECT_TRUE(last_exchange().paused);
    for (int i = 0; i < 5; ++i) {  // slow, but not stalled
        advance(4000);
        client.acknowledged += 10;
    }
    EXPECT_EQ(client.answers_ended, 0);
    advance(10000);
    EXPECT_TRUE(client.stream_aborted);
    EXPECT_TRUE(last_exchange().closed);
}

// The time in which the endpoint was not read does not count as its silence.
TEST_F(PlatformTest, TheIdleTimeoutOfAResumedStreamStartsAnew) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    client.congested = true;
    answer(chunked("data: b\n\n"));
    advance(4500);
    client.congested = false;
    lifecycle.on_client_output_sent(handle);
    EXPECT_FALSE(last_exchange().paused);
    advance(4500);
    EXPECT_EQ(client.answers_ended, 0);
    advance(kStreamEndLimit - 4500);
    EXPECT_TRUE(client.stream_aborted);
}

// Guards against a stream that falls silent while it is paused, and whose client then waits for too long.
TEST_F(PlatformTest, AStreamResumedRightAfterACheckOfItsClientEndsInTime) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    client.congested = true;
    answer(chunked("data: b\n\n"));
    client.acknowledged += 10;
    advance(kStreamEndLimit);  // the idle timer fires and finds that the client still takes its answer
    EXPECT_EQ(client.answers_ended, 0);
    client.congested = false;
    lifecycle.on_client_output_sent(handle);
    advance(kStreamEndLimit);
    EXPECT_TRUE(client.stream_aborted);
}

TEST_F(PlatformTest, AMigratedStreamEndsOnce) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    answer(kStreamHead + chunked("data: a\n\n"));
    lifecycle.execute(MigrateStream{std::to_string(handle)});
    lifecycle.execute(MigrateStream{std::to_string(handle)});
    EXPECT_TRUE(client.stream_aborted);
    EXPECT_EQ(client.answers_ended, 1);
    EXPECT_TRUE(last_exchange().closed);
}

}  // namespace
}  // namespace gorsenotch::test
