// Streams that have begun: their breaks, the limit on silence, migration.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, ABrokenOrSilentStreamEndsWithoutTheLastChunk) {
    send_request("t1", client);
    answer_prefill();
    answer(kStream + chunked("data: a\n\n") + "zz");
    EXPECT_TRUE(client.cutoff);
    RecordingClient silent;
    send_request("t2", silent);
    answer_prefill();
    answer(kStream + chunked("data: a\n\n"));
    advance(3000);
    answer(chunked("data: b\n\n"));
    advance(3000);
    EXPECT_EQ(silent.ended, 0);
    advance(1500);
    EXPECT_TRUE(silent.cutoff);
    EXPECT_TRUE(last().closed);
}

TEST_F(PlatformTest, AMigratedStreamEndsOnce) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    answer(kStream + chunked("data: a\n\n"));
    lifecycle.execute(MigrateStream{std::to_string(handle)});
    lifecycle.execute(MigrateStream{std::to_string(handle)});
    EXPECT_TRUE(client.cutoff);
    EXPECT_EQ(client.ended, 1);
    EXPECT_TRUE(last().closed);
}

}  // namespace
}  // namespace gorsenotch::test
