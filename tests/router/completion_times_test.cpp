#include "router/completion_times.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::CompletionTimes;
using router::RequestState;
using router::Stage;

TEST(CompletionTimes, StartAtPriorsFromTheObjectives) {
    RouterComponents fleet;
    const RequestState& request = fleet.add_request("r");
    EXPECT_EQ(fleet.completion_times.mean(Stage::prefill, request), 1000.0 / 20);
    EXPECT_EQ(fleet.completion_times.mean(Stage::decode_queued, request), 1000.0 / 12);
    EXPECT_EQ(fleet.completion_times.mean(Stage::streaming, request), 3000) << "50 times 60 ms";
}

TEST(CompletionTimes, TheExpectedDurationGrowsWithTheQueuedWork) {
    RouterComponents fleet;
    RequestState& request = fleet.add_request("r");
    request.attempt.work_units = 4;
    EXPECT_EQ(fleet.completion_times.expected(Stage::prefill, request), 200);
}

TEST(CompletionTimes, TheTypicalTimeIgnoresAttemptsThatHang) {
    RouterComponents fleet;
    CompletionTimes& times = fleet.completion_times;
    const RequestState& request = fleet.add_request("r");
    times.add_time(Stage::decode_queued, request, 10000);
    EXPECT_EQ(times.typical(Stage::decode_queued, request), times.mean(Stage::decode_queued, request))
        << "the mean is used before the first completion";
    times.add_completion(Stage::decode_queued, request);
    EXPECT_LT(times.typical(Stage::decode_queued, request), times.mean(Stage::decode_queued, request) / 10);
}

TEST(CompletionTimes, AFailureShorterThanTheQuantileIsNoSample) {
    RouterComponents fleet;
    CompletionTimes& times = fleet.completion_times;
    const RequestState& request = fleet.send_request("r", 1, Stage::prefill, 0);
    const Millis before = times.low_quantile(Stage::prefill);
    times.record_stage_end(1, request, false);
    EXPECT_EQ(times.low_quantile(Stage::prefill), before);
    times.record_stage_end(1, request, true);
    EXPECT_LT(times.low_quantile(Stage::prefill), before);
    times.record_stage_end(10000, request, false);
    EXPECT_GT(times.low_quantile(Stage::prefill), before * 0.5);
}

}  // namespace
}  // namespace gorsenotch::test
