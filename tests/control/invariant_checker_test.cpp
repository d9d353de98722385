// InvariantChecker: one case for each invariant, with effects that violate it and effects that do not.
#include "control/invariant_checker.h"

#include <gtest/gtest.h>

namespace gorsenotch::control {
namespace {

struct InvariantCheckerTest : ::testing::Test {
    Settings settings = [] {
        Settings initial;
        ClassSettings idempotent;
        ClassSettings keyed;
        keyed.idempotency = Idempotency::with_key;
        keyed.dedup_scope = DedupScope::zone;
        keyed.dedup_window = 1000;
        ClassSettings unsafe;
        unsafe.idempotency = Idempotency::unsafe;
        initial.classes = {idempotent, keyed, unsafe};
        initial.drain_grace = 250;
        initial.answer_slack = 50;
        return initial;
    }();
    InvariantChecker checker{settings};
    std::vector<Invariant> violated;

    InvariantCheckerTest() {
        checker.on_violation = [this](Invariant invariant, InvariantChecker::Handle, const std::string&) {
            violated.push_back(invariant);
        };
        for (int cls = 0; cls < 3; ++cls)
            checker.on_request_accepted(static_cast<InvariantChecker::Handle>(cls), cls, 5000);
    }
    static Endpoint endpoint(EndpointId id, int zone = 0) {
        Endpoint entry;
        entry.id = id;
        entry.zone = zone;
        return entry;
    }
    void send_decode(InvariantChecker::Handle request, int attempt, Millis now, int zone = 0) {
        checker.on_attempt_sent(request, attempt, endpoint(7, zone), Role::decode, now);
    }
};

TEST_F(InvariantCheckerTest, ARequestThatFollowsTheRulesViolatesNothing) {
    checker.on_attempt_sent(0, 0, endpoint(1), Role::prefill, 100);
    checker.on_attempt_ended(0, 0, false);
    send_decode(0, 1, 150);
    checker.on_attempt_ended(0, 1, true);
    send_decode(0, 2, 200);
    checker.on_answered(0, false, 300);
    checker.on_attempt_ended(0, 2, false);
    checker.drop_request(0);
    EXPECT_TRUE(violated.empty());
    EXPECT_EQ(checker.size(), 2u);
}

TEST_F(InvariantCheckerTest, AttemptsAfterTheEndOrForADisconnectedClientAreViolations) {
    checker.on_answered(0, true, 100);
    send_decode(0, 0, 200);
    checker.on_client_disconnected(1);
    send_decode(1, 0, 200);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::sent_after_end, Invariant::sent_after_end}));
}

TEST_F(InvariantCheckerTest, AnAttemptToADrainingEndpointAfterItsGraceIsAViolation) {
    checker.on_endpoint_listed(7, EndpointStatus::draining, 100);
    checker.on_endpoint_listed(7, EndpointStatus::removed, 300);  // not healthy since 100
    send_decode(0, 0, 350);
    checker.on_attempt_ended(0, 0, true);
    EXPECT_TRUE(violated.empty());
    send_decode(0, 1, 351);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::sent_while_draining}));
    checker.on_endpoint_listed(7, EndpointStatus::healthy, 400);
    checker.on_attempt_ended(0, 1, true);
    send_decode(0, 2, 1000);
    EXPECT_EQ(violated.size(), 1u);
}

TEST_F(InvariantCheckerTest, AnEndpointMissingFromAFullListIsRemoved) {
    send_decode(0, 0, 100);
    checker.on_attempt_ended(0, 0, true);
    checker.on_full_list({endpoint(1)}, 200);
    send_decode(0, 1, 500);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::sent_while_draining}));
}

TEST_F(InvariantCheckerTest, ASecondAttemptInFlightIsAViolation) {
    checker.on_attempt_sent(0, 0, endpoint(1), Role::prefill, 100);
    send_decode(0, 1, 150);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::overlapping_attempts}));
}

TEST_F(InvariantCheckerTest, RetryAndRejectionOfAnUnsafeRequestThatMayHaveRunAreViolations) {
    send_decode(2, 0, 100);
    checker.on_attempt_ended(2, 0, false);
    send_decode(2, 1, 200);
    checker.on_attempt_ended(2, 1, true);
    checker.on_answered(2, true, 300);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::duplicate_execution,
                                                Invariant::rejected_after_possible_run}));
}

TEST_F(InvariantCheckerTest, AKeyedRequestRetriedOutsideItsDedupScopeOrWindowIsAViolation) {
    send_decode(1, 0, 100);
    checker.on_attempt_ended(1, 0, false);
    send_decode(1, 1, 1250);  // 150 ms over the window: the tolerated process delay
    checker.on_attempt_ended(1, 1, true);
    EXPECT_TRUE(violated.empty());
    send_decode(1, 2, 1251);
    checker.on_attempt_ended(1, 2, true);
    send_decode(1, 3, 1000, 1);
    EXPECT_EQ(violated,
              (std::vector<Invariant>{Invariant::outside_dedup_window, Invariant::outside_dedup_scope}));
}

TEST_F(InvariantCheckerTest, AKvCacheNeitherTakenNorReleasedInTimeIsAViolation) {
    settings.lease_release_timeout = 1000;
    const auto check_at = [&](Millis now, Millis stalled_for = 0) {
        checker.on_endpoint_answered(now);
        checker.check_leases(now, stalled_for);
    };
    checker.on_prefill_answered(0, 100, 0);
    check_at(1500);
    EXPECT_TRUE(violated.empty());
    check_at(1600);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::lease_overrun}));
    check_at(1700);
    EXPECT_EQ(violated.size(), 1u) << "reported once";
    checker.on_prefill_answered(1, 2000, 0);
    checker.on_decode_answered(1);
    check_at(9000);
    EXPECT_EQ(violated.size(), 1u) << "a decode that arrived may be waiting for the KV cache";
    checker.on_decode_ended(1, 9000, 0);
    check_at(10000);
    checker.on_release_answered(1, 8999);
    check_at(10500);
    EXPECT_EQ(violated.size(), 2u) << "a release sent before the lease restarted proves nothing";
    checker.on_prefill_answered(1, 11000, 0);
    checker.drop_request(1);
    checker.on_release_answered(1, 11500);
    checker.on_prefill_answered(2, 11000, 0);
    checker.on_lease_taken(2);
    checker.on_prefill_answered(0, 11000, 0);
    check_at(13000, 700);
    EXPECT_EQ(violated.size(), 2u) << "this process was stalled for 700 ms";
    check_at(13300, 700);
    EXPECT_EQ(violated.size(), 3u);
}

TEST_F(InvariantCheckerTest, AnOverrunWhileNoEndpointRespondsIsNoViolation) {
    settings.lease_release_timeout = 1000;
    checker.on_endpoint_answered(90);
    checker.on_prefill_answered(0, 100, 0);
    checker.check_leases(5000, 0);
    EXPECT_TRUE(violated.empty());
    EXPECT_EQ(checker.unresponsive_overruns(), 1u);
    checker.on_prefill_answered(1, 6000, 0);
    for (int call = 0; call < 3; ++call) checker.on_release_called(1);
    checker.on_endpoint_answered(7000);
    checker.check_leases(8000, 0);
    EXPECT_TRUE(violated.empty()) << "three releases were sent and none was answered";
    EXPECT_EQ(checker.unresponsive_overruns(), 2u);
}

TEST_F(InvariantCheckerTest, ALateOrSecondAnswerIsAViolation) {
    checker.on_answered(0, false, 5200);
    EXPECT_TRUE(violated.empty());
    checker.on_answered(1, false, 5201);
    checker.on_answered(1, false, 5100);
    EXPECT_EQ(violated, (std::vector<Invariant>{Invariant::late_answer, Invariant::duplicate_answer}));
    EXPECT_EQ(checker.violations()[static_cast<std::size_t>(Invariant::late_answer)], 1u);
}

}  // namespace
}  // namespace gorsenotch::control
