// The end of a request towards its client: one final answer, and which one.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, TheDeadlineIsAnsweredAtOnceAndOnce) {
    send_request("t1", client);
    advance(5100);
    EXPECT_EQ(client.ended, 1);
    EXPECT_EQ(client.status, 503);
    for (auto& sent : world.sent) {
        if (sent.request.rfind("DELETE", 0) == 0 && !sent.attempt->is_over())
            sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
    }
    advance(3000);
}

TEST_F(PlatformTest, AShutdownAnswersByWhatAttemptsMayHaveRun) {
    RecordingClient once_sent;
    RecordingClient once_unsent;
    RecordingClient safe;
    send_request("t1", once_sent, 1);
    answer_prefill();  // and the write is out
    drain_decode_endpoint();
    send_request("t2", once_unsent, 1);
    send_request("t3", safe, 0);
    lifecycle.shutdown();
    EXPECT_EQ(once_sent.status, 502);
    EXPECT_EQ(once_unsent.status, 503) << "it never ran";
    EXPECT_EQ(safe.status, 503);
    for (const RecordingClient* each : {&once_sent, &once_unsent, &safe}) EXPECT_EQ(each->ended, 1);
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
