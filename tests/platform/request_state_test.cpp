// The state of requests and attempts: attempt phases, lookups, handles that are never reused.
#include "platform/request_state.h"

#include <gtest/gtest.h>

namespace gorsenotch::test {
namespace {

using namespace gorsenotch::platform;

constexpr Millis kReleaseTimeout = 1000;

Inbound inbound_with_id(const std::string& txn) {
    Inbound inbound;
    inbound.txn = txn;
    return inbound;
}

TEST(AttemptStateTest, TheEndedPhaseRecordsWhetherAStreamHadBegun) {
    AttemptState unanswered;
    EXPECT_TRUE(unanswered.in_flight());
    EXPECT_FALSE(unanswered.stream_begun());
    unanswered.mark_ended();
    EXPECT_EQ(unanswered.phase, AttemptPhase::ended);
    EXPECT_FALSE(unanswered.in_flight());
    EXPECT_FALSE(unanswered.stream_begun());

    AttemptState streaming;
    streaming.phase = AttemptPhase::streaming;
    EXPECT_TRUE(streaming.in_flight());
    EXPECT_TRUE(streaming.stream_begun());
    streaming.mark_ended();
    EXPECT_EQ(streaming.phase, AttemptPhase::ended_after_stream);
    EXPECT_FALSE(streaming.in_flight());
    EXPECT_TRUE(streaming.stream_begun());
}

TEST(RequestStateTest, OnlyTheLatestAttemptDeterminesWhetherAStreamHasBegun) {
    RequestState request(kReleaseTimeout);
    EXPECT_FALSE(request.stream_begun());
    EXPECT_FALSE(request.attempt_in_flight());
    request.attempts.emplace_back();
    EXPECT_TRUE(request.attempt_in_flight());
    request.attempts.back().mark_ended();
    EXPECT_FALSE(request.attempt_in_flight());
    request.attempts.emplace_back().phase = AttemptPhase::streaming;
    EXPECT_TRUE(request.stream_begun());
    EXPECT_TRUE(request.stream_in_flight());
    request.attempts.back().mark_ended();
    EXPECT_TRUE(request.stream_begun());
    EXPECT_FALSE(request.stream_in_flight());
}

TEST(RequestStateTest, FindAttemptChecksTheIndexRange) {
    RequestState request(kReleaseTimeout);
    request.attempts.emplace_back();
    EXPECT_EQ(request.find_attempt(0), &request.attempts[0]);
    EXPECT_EQ(request.find_attempt(-1), nullptr);
    EXPECT_EQ(request.find_attempt(1), nullptr);
}

TEST(RequestTableTest, HandlesAreNeverReusedAndTransactionIdsMayBe) {
    RequestTable table(kReleaseTimeout);
    const std::uint64_t first = table.add(inbound_with_id("t1")).handle;
    EXPECT_EQ(first, 1u);
    EXPECT_TRUE(table.contains_transaction("t1"));
    EXPECT_EQ(table.find(first)->router_id(), "1");
    EXPECT_EQ(table.find(RequestId("1")), table.find(first));
    table.remove(first);
    EXPECT_FALSE(table.contains_transaction("t1"));
    EXPECT_EQ(table.find(first), nullptr);
    EXPECT_EQ(table.find_attempt(first, 0), nullptr);
    EXPECT_EQ(table.add(inbound_with_id("t1")).handle, 2u);
    EXPECT_EQ(table.size(), 1u);
    table.remove(first);
    EXPECT_EQ(table.size(), 1u) << "an unknown handle changes nothing";
}

}  // namespace
}  // namespace gorsenotch::test
