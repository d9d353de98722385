// Releases: which endpoints are asked, how often, until when, and how many calls may be in flight.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(PlatformTest, ARetryGoesElsewhereUntilAnAnswer) {
    const auto handle = send_request("t1", client);
    answer_prefill();
    lifecycle.on_client_disconnected(handle);
    ASSERT_EQ(releases(), 1u);
    const std::string first = last().address;
    advance(200);
    ASSERT_EQ(releases(), 2u);
    EXPECT_NE(last().address, first);
    release();
    advance(300);
    EXPECT_EQ(releases(), 2u);
    advance(100);
    EXPECT_EQ(releases(), 3u) << "the end of the write may have been overtaken by the first";
    release();
    advance(2000);
    EXPECT_EQ(releases(), 3u);
}

// Guards against a release that goes from one silent server to the next of the same role while its time runs
// out.
TEST_F(PlatformTest, ARetryTurnsToTheOtherRoleThenToSeveralAtOnce) {
    std::string rows;
    for (int i = 0; i < 12; ++i) {
        const bool reads = i < 6;
        rows += std::string(i ? "," : "") + "{\"host\":\"" + (reads ? "r" : "w") + std::to_string(i) +
                "\",\"dial\":\"10.0.1." + std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" +
                (reads ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = send_request("t1", client);
    answer_prefill();
    lifecycle.on_client_disconnected(handle);
    advance(160);
    ASSERT_EQ(releases(), 2u);
    const auto reads = [](const std::string& address) { return address < std::string("10.0.1.6"); };
    std::vector<std::string> asked;
    for (const auto& sent : world.sent) {
        if (sent.request.rfind("DELETE", 0) == 0) asked.push_back(sent.address);
    }
    EXPECT_NE(reads(asked[0]), reads(asked[1])) << asked[0] << " " << asked[1];
    advance(350);
    EXPECT_GE(releases(), 6u) << "within its time more than half of a role has been asked";
    release();
    advance(2000);
}

struct ShortReleaseTimeoutTest : PlatformTest {
    ShortReleaseTimeoutTest() : PlatformTest(with(kConfig, "\"LetGoByMs\":1000.0", "\"LetGoByMs\":300.0")) {}
};

// Guards against times that only suit long settings: with 300 ms for a release, four servers in five silent.
TEST_F(ShortReleaseTimeoutTest, MostEndpointsAreAskedInTime) {
    std::string rows;
    for (int i = 0; i < 10; ++i) {
        rows += std::string(i ? "," : "") + "{\"host\":\"h" + std::to_string(i) + "\",\"dial\":\"10.0.1." +
                std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" + (i < 5 ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = send_request("t1", client);
    answer_prefill();
    const Millis began = world.clock;
    lifecycle.on_client_disconnected(handle);
    advance(250);
    EXPECT_GE(releases(), 8u) << "most servers have been asked";
    EXPECT_LE(world.clock, began + 300);
    advance(12000);  // nobody answers: it is asked on for some seconds, and given up
}

TEST_F(ShortReleaseTimeoutTest, TheSecondReleaseOfACutOffPrefillComesInTime) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    ASSERT_EQ(releases(), 1u);
    release();
    advance(120);
    EXPECT_EQ(releases(), 2u);
    release();
}

// Found by the soak: the process stood still when the second release of a pair was due, and it was skipped.
TEST_F(PlatformTest, AStallDoesNotSkipTheSecondRelease) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);  // its read may have ended well
    ASSERT_EQ(releases(), 1u);
    release();
    world.clock += 5000;
    advance(20);
    EXPECT_EQ(releases(), 2u);
    release();
    advance(2000);
}

// Guards against many releases, of many gateways, that add up to a storm of calls where nobody answers.
TEST_F(PlatformTest, CallsAreBoundedWhereEveryEndpointIsSilent) {
    for (int i = 0; i < 50; ++i) {
        const auto handle = send_request("t" + std::to_string(i), client);
        lifecycle.on_client_disconnected(handle);
    }
    advance(1300);
    EXPECT_LE(releases(), 50u * 13);
    const auto out = std::count_if(world.sent.begin(), world.sent.end(), [](const auto& call) {
        return call.request.rfind("DELETE", 0) == 0 && !call.closed && !call.attempt->is_over();
    });
    EXPECT_LE(out, 33);
    const std::size_t in_time = releases();
    advance(12000);
    EXPECT_LE(releases() - in_time, 50u * 7) << "and ever more seldom after that";
    EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
}

}  // namespace
}  // namespace gorsenotch::test
