// The completion of requests: exactly one final answer, and its status.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, TheDeadlineGivesExactlyOneAnswer) {
    send_request("t1", client);
    advance(5100);
    EXPECT_EQ(client.answers_ended, 1);
    EXPECT_EQ(client.status, 503);
    for (auto& started : environment.exchanges) {
        if (started.request.rfind("DELETE", 0) == 0 && !started.exchange->has_outcome())
            started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
    }
    advance(3000);
}

TEST_F(PlatformTest, AShutdownAnswersDependOnWhetherAnAttemptMayHaveRun) {
    RecordingClient unsafe_sent;
    RecordingClient unsafe_unsent;
    RecordingClient idempotent;
    send_request("t1", unsafe_sent, 1);
    answer_prefill();  // the decode attempt is in flight
    drain_decode_endpoint();
    send_request("t2", unsafe_unsent, 1);
    send_request("t3", idempotent, 0);
    lifecycle.shutdown();
    EXPECT_EQ(unsafe_sent.status, 502);
    EXPECT_EQ(unsafe_unsent.status, 503) << "it never ran";
    EXPECT_EQ(idempotent.status, 503);
    for (const RecordingClient* each : {&unsafe_sent, &unsafe_unsent, &idempotent})
        EXPECT_EQ(each->answers_ended, 1);
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
