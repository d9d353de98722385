// Session: batches of simulator messages and the replies to them.
#include "simulator_adapter/wire.h"

#include <gtest/gtest.h>

#include <sstream>

namespace gorsenotch::simulator_adapter {
namespace {

const char* const kInit =
    "init\tgateway_1\t7\tAzs=near\tFlavors=r,w\tFamilyInfo.RoleByKind=read,write\tLanes.count=1\t"
    "Lanes.0.Name=talk\tLanes.0.SloMs=1000\tLanes.0.DeadlineMs=5000\tLanes.0.Effect=repeatable\t"
    "Ceilings.AttemptsCap=4\tUnknown.Key=9\tZone=near\tStepMs=4\n";
const char* const kList =
    "snapshot_rows\t0\t2\nm\t5\tnear\tr\t0\thealthy\t1\t-\nm\t6\tnear\tw\t0\thealthy\t1\t-\n"
    "fleet\tgateway_1\tF\t1\t0\n";

// The output of a session that reads `input`.
std::string run_session(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out;
    Session(in, out).run();
    return out.str();
}

// The WireError's text for malformed `input`; empty if there is no error.
std::string error_of(const std::string& input) {
    try {
        run_session(input);
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}

TEST(Wire, AnEmptyBatchIsAnsweredByYield) { EXPECT_EQ(run_session("clock\t1\nover_to_you\n\n"), "yield\n"); }

TEST(Wire, ARequestIsSentToThePrefillEndpoint) {
    const std::string reply = run_session(
        std::string("clock\t10\n") + kInit + kList +
        "knock\tgateway_1\tid-1\ttalk\t-\t3\t5010\t-\t-\t100\t0\t50\t0\nsomething_new\tx\nover_to_you\n");
    EXPECT_NE(reply.find("attempt\tgateway_1\tid-1\t5\t"), std::string::npos);
    EXPECT_EQ(reply.substr(reply.size() - 6), "yield\n");
}

TEST(Wire, AKilledInstanceIgnoresLaterMessages) {
    const std::string reply =
        run_session(std::string("clock\t10\n") + kInit + kList +
                    "killed\tgateway_1\n"
                    "knock\tgateway_1\tid-1\ttalk\t-\t3\t5010\t-\t-\t100\t0\t50\t0\nover_to_you\n");
    EXPECT_EQ(reply.find("attempt"), std::string::npos);
}

TEST(Wire, SettingsThatTheRouterRejectsAreReported) {
    const std::string reply = run_session("clock\t1\ninit\tgateway_1\t7\tLanes.count=0\nover_to_you\n");
    EXPECT_EQ(reply.rfind("bug\tgateway_1\t", 0), 0u);
}

TEST(Wire, MalformedInputIsReportedWithLineAndReason) {
    EXPECT_EQ(error_of("over_to_you\n").rfind("line 1: ", 0), 0u);
    EXPECT_NE(error_of("clock\tx\nover_to_you\n").find("expected a number or '-', got 'x'"),
              std::string::npos);
    EXPECT_NE(error_of("clock\t1\n").find("input ends inside a batch"), std::string::npos);
    EXPECT_NE(error_of("clock\t1\nkilled\nover_to_you\n").find("line 2: field 1 is missing"),
              std::string::npos);
    EXPECT_NE(error_of("clock\t1\nfleet\tgateway_1\tF\t1\t9\nover_to_you\n")
                  .find("endpoint list 9 was not received"),
              std::string::npos);
}

}  // namespace
}  // namespace gorsenotch::simulator_adapter
