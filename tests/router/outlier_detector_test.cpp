#include "router/outlier_detector.h"

#include <gtest/gtest.h>

#include "router/router_components.h"

namespace gorsenotch::test {
namespace {

using router::RequestState;
using router::Stage;

class OutlierDetectorTest : public ::testing::Test {
protected:
    // Sends a new request to the endpoint and records its result.
    void send_and_record(EndpointId to, AttemptResult result, Millis now) {
        RequestState& request =
            fleet.send_request("r" + std::to_string(++requests), to, Stage::decode_queued, now);
        fleet.record_result(request, result, now);
    }
    const router::EndpointHealth& health(EndpointId id) { return fleet.endpoint(id).health; }

    RouterComponents fleet;
    int requests = 0;
};

TEST_F(OutlierDetectorTest, TwoFailuresInARowEject) {
    send_and_record(11, AttemptResult::error, 100);
    EXPECT_FALSE(health(11).ejected);
    send_and_record(11, AttemptResult::error, 200);
    EXPECT_TRUE(health(11).ejected);
}

TEST_F(OutlierDetectorTest, OneFailedConnectionDoesNotEjectButTwoDo) {
    send_and_record(11, AttemptResult::unreachable, 100);
    EXPECT_FALSE(health(11).ejected);
    send_and_record(11, AttemptResult::unreachable, 200);
    EXPECT_TRUE(health(11).ejected);
    EXPECT_TRUE(fleet.outlier_detector.any_decode_reachable(201)) << "endpoint 12 is reachable";
    send_and_record(12, AttemptResult::unreachable, 300);
    send_and_record(12, AttemptResult::unreachable, 400);
    EXPECT_FALSE(fleet.outlier_detector.any_decode_reachable(401));
}

TEST_F(OutlierDetectorTest, ReturnsByTrialRequestsAfterItsBackoff) {
    send_and_record(11, AttemptResult::unreachable, 100);
    send_and_record(11, AttemptResult::unreachable, 200);
    RequestState& request = fleet.add_request("trial", 200);
    EXPECT_FALSE(fleet.outlier_detector.admits(1199, fleet.endpoint(11), request));
    EXPECT_TRUE(fleet.outlier_detector.admits(1200, fleet.endpoint(11), request));
    fleet.in_flight_requests.begin_attempt(1200, request, fleet.endpoint(11), Stage::decode_queued);
    EXPECT_FALSE(fleet.outlier_detector.admits(1201, fleet.endpoint(11), request))
        << "one trial request at a time";
    fleet.record_result(request, AttemptResult::served, 1300);
    EXPECT_EQ(health(11).concurrency_limit, 2);
    EXPECT_EQ(fleet.endpoint(11).warming_since, 1300) << "it was unreachable, so it may have restarted";
    for (int i = 0; i < 4; ++i) send_and_record(11, AttemptResult::served, 1400);
    EXPECT_FALSE(health(11).ejected);
}

TEST_F(OutlierDetectorTest, AFailedTrialDoublesTheBackoffUpToItsLimit) {
    Millis now = 100;
    send_and_record(11, AttemptResult::error, now);
    send_and_record(11, AttemptResult::error, now);
    for (const Millis backoff : {1000, 2000, 4000, 8000, 8000}) {
        EXPECT_EQ(health(11).ejection_backoff, backoff);
        now = health(11).ejected_until;
        send_and_record(11, AttemptResult::error, now);
    }
}

TEST_F(OutlierDetectorTest, ARejectionIsNoFailureButBlocksNewAttemptsForAWhile) {
    RequestState& request = fleet.add_request("waiting", 100);
    send_and_record(11, AttemptResult::rejected, 100);
    EXPECT_FALSE(health(11).ejected);
    EXPECT_EQ(health(11).error_rate, 0);
    EXPECT_FALSE(fleet.outlier_detector.admits(101, fleet.endpoint(11), request));
    EXPECT_TRUE(fleet.outlier_detector.admits(100 + 1000.0 / 12 + 1, fleet.endpoint(11), request));
}

TEST_F(OutlierDetectorTest, ABrokenStreamIsNoFailure) {
    RequestState& request = fleet.send_request("stream", 11, Stage::decode_queued, 0);
    fleet.in_flight_requests.begin_stream(50, request, fleet.endpoint(11));
    fleet.record_result(request, AttemptResult::reset, 100);
    EXPECT_EQ(health(11).error_rate, 0);
}

TEST_F(OutlierDetectorTest, APendingAttemptIsEvidenceOfSlownessThatEjectsADelayedEndpoint) {
    const RequestState& request = fleet.send_request("slow", 11, Stage::decode_queued, 0);
    const RequestState& peer_request = fleet.send_request("fast", 12, Stage::decode_queued, 0);
    router::OutlierDetector::StagesByEndpoint delayed;
    for (Millis now = 50; now <= 2000; now += 50) {
        fleet.outlier_detector.record_first_token(fleet.endpoint(12), peer_request);
        if (fleet.outlier_detector.record_pending(now, fleet.endpoint(11), request, 50))
            delayed[11][Stage::decode_queued] = true;
    }
    const auto slow = fleet.outlier_detector.eject_slow(2000, delayed);
    ASSERT_EQ(slow.size(), 1u);
    EXPECT_EQ(slow[0]->info.id, 11u);
    EXPECT_TRUE(health(11).ejected);
}

TEST_F(OutlierDetectorTest, AtMostAboutHalfOfARoleIsEjectedForFailures) {
    fleet.registry.apply(0, full_list({decode_endpoint(11), decode_endpoint(12), decode_endpoint(13),
                                       decode_endpoint(14), decode_endpoint(15)}));
    for (EndpointId id = 11; id <= 15; ++id) {
        for (int i = 0; i < 3; ++i) send_and_record(id, AttemptResult::error, 100);
    }
    int ejected = 0;
    for (EndpointId id = 11; id <= 15; ++id) ejected += health(id).ejected;
    EXPECT_EQ(ejected, 3);
}

}  // namespace
}  // namespace gorsenotch::test
