// Streams that have begun: broken streams, the idle timeout, migration.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

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
    advance(1500);
    EXPECT_TRUE(stalled_client.stream_aborted);
    EXPECT_TRUE(last_exchange().closed);
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
