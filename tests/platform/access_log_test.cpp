// Log lines of requests that were not served in time: their outcome, their text, and the rate limit.
#include "platform/access_log.h"

#include <gtest/gtest.h>

namespace gorsenotch::test {
namespace {

using namespace gorsenotch::platform;

Settings chat() {
    Settings settings;
    ClassSettings class_settings;
    class_settings.latency_objective = 1000, class_settings.latency_objective_per_1000_tokens = 100,
    class_settings.deadline = 5000, class_settings.inter_token_objective = 50;
    settings.classes = {class_settings};
    return settings;
}

TEST(AccessLog, ACompleteAnswerIsInTimeLateOrSlow) {
    const Settings settings = chat();
    const AccessLog log(settings);
    RequestRecord record;
    record.prompt_tokens = 2000;  // latency objective: 1,200 ms
    record.attempts = {{"r", /*is_prefill=*/true, /*in_flight=*/false, AttemptResult::prefill_done, 0, 100},
                       {"w", /*is_prefill=*/false, /*in_flight=*/false, AttemptResult::served, 100, 2000}};
    record.first_token = 200, record.ended = 2000, record.completion_tokens = 100;
    EXPECT_EQ(log.classify_served(record), RequestOutcome::in_time);
    record.completion_tokens = 20;
    EXPECT_EQ(log.classify_served(record), RequestOutcome::slow_stream);
    record.completion_tokens = 0;
    EXPECT_EQ(log.classify_served(record), RequestOutcome::in_time)
        << "without its number of tokens the inter-token time of an answer is unknown";
    record.first_token = 1300;
    EXPECT_EQ(log.classify_served(record), RequestOutcome::late_decode);
    record.attempts[0].ended_at = 1250;
    EXPECT_EQ(log.classify_served(record), RequestOutcome::late_prefill);
}

TEST(AccessLog, LinesAreRateLimitedAndSuppressedOnesCounted) {
    const Settings settings = chat();
    AccessLog log(settings);
    int logged = 0;
    for (int i = 0; i < 1000; ++i)
        logged += log.count_outcome(i, RequestOutcome::rejected, EndCause::shed_load);
    EXPECT_EQ(logged, AccessLog::kLinesPerSecond);
    EXPECT_EQ(log.not_logged(), 1000u - AccessLog::kLinesPerSecond);
    EXPECT_TRUE(log.count_outcome(1001, RequestOutcome::rejected));
    EXPECT_FALSE(log.count_outcome(5000, RequestOutcome::in_time))
        << "a request served in time is only counted";
    EXPECT_EQ(log.outcomes()[static_cast<std::size_t>(RequestOutcome::rejected)], 1001u);
    EXPECT_EQ(log.causes()[static_cast<std::size_t>(EndCause::shed_load)], 1000u);
    RequestRecord record;
    record.txn = "t1", record.ended = 900;
    record.cause = EndCause::retry_budget;
    for (int i = 0; i < 500; ++i)
        record.attempts.push_back({"w1", false, false, AttemptResult::unreachable, 1, 251});
    const std::string line = log.format_line(record, RequestOutcome::rejected);
    EXPECT_EQ(line.rfind("t1 rejected cause retry_budget class 0", 0), 0u) << line;
    EXPECT_NE(line.find("decode w1 1 +250 unreachable"), std::string::npos) << line;
    EXPECT_LT(line.size(), 400u);
}

TEST(AccessLog, CompletionTokensAreReadFromTheClosingEvent) {
    EXPECT_EQ(completion_tokens("data: {\"usage\":{\"completion_tokens\": 37,\"x\":1}}\n\n"), 37);
    EXPECT_EQ(completion_tokens("data: {\"choices\":[]}\n\n"), 0);
    EXPECT_EQ(completion_tokens("\"completion_tokens\":"), 0);
    EXPECT_EQ(completion_tokens("\"completion_tokens\":-5"), 0);
}

TEST(AccessLog, TheLeaseTimelineShowsItsOriginItsTimesAndWhetherItWasConfirmed) {
    control::LeaseLedger::Timeline timeline;
    timeline.acquired = 1023, timeline.expiring = 1623, timeline.written = 1024;
    // 677 ms is the lease's age. The other times are ms since the arrival of the request at 1000.
    EXPECT_EQ(describe_timeline(timeline, 1000, 1700, "r1", "w1"),
              "lease 677 prefill_done at r1, acquired 23, expiring 623; w1 sent 24 unconfirmed");
    timeline.arrived = 1650, timeline.released = 1640;
    timeline.origin = control::LeaseOrigin::slot_requested;
    EXPECT_EQ(
        describe_timeline(timeline, 1000, 1700, "w2", "w1"),
        "lease 677 slot_requested at w2, acquired 23, expiring 623, release 640; w1 sent 24 arrived 650");
    timeline.written = -1;
    EXPECT_EQ(describe_timeline(timeline, 1000, 1700, "w2", "w1"),
              "lease 677 slot_requested at w2, acquired 23, expiring 623, release 640");
}

TEST(LogRateLimiter, AllowsLinesPerSecondAndCountsTheRest) {
    LogRateLimiter limiter(2);
    EXPECT_TRUE(limiter.allow(0));
    EXPECT_TRUE(limiter.allow(10));
    EXPECT_FALSE(limiter.allow(999));
    EXPECT_TRUE(limiter.allow(1000));
    EXPECT_EQ(limiter.not_logged(), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
