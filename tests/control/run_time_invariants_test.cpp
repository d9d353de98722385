// The permits asked before each effect, and the audit of what was done: one case for each reason and each
// rule.
#include <gtest/gtest.h>

#include "control/invariant_checker.h"
#include "control/send_preconditions.h"

namespace gorsenotch::control {
namespace {

SendPreconditions good() {
    SendPreconditions facts;
    facts.endpoint_status = EndpointStatus::healthy;
    facts.now = 1000, facts.deadline = 5000;
    return facts;
}

TEST(MaySend, EachReasonIsNamed) {
    EXPECT_FALSE(check_send(good()));
    auto facts = good();
    facts.request_over = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::request_over);
    facts = good(), facts.client_disconnected = true;
    EXPECT_EQ(check_send(facts), SendBlockReason::client_disconnected);
    facts = good(), facts.endpoint_status.reset();
    EXPECT_EQ(check_send(facts), SendBlockReason::not_listed);
    for (const EndpointStatus mode : {EndpointStatus::draining, EndpointStatus::removed}) {
        facts = good(), facts.endpoint_status = mode;
        EXPECT_EQ(check_send(facts), SendBlockReason::not_healthy);
    }
    facts = good(), facts.send_by = 1000;
    EXPECT_EQ(check_send(facts), SendBlockReason::send_window_over);
    facts.send_by = 1000.5;
    EXPECT_FALSE(check_send(facts));
    facts = good(), facts.now = 5000;
    EXPECT_EQ(check_send(facts), SendBlockReason::deadline_exceeded);
}

TEST(MayClose, NeitherOverAnOpenRequestNorOverUnreadBytes) {
    EXPECT_FALSE(check_close({false, false}));
    EXPECT_EQ(check_close({true, false}), CloseBlockReason::request_open);
    EXPECT_EQ(check_close({false, true}), CloseBlockReason::unread_bytes);
}

struct AuditTest : ::testing::Test {
    Settings settings = [] {
        Settings s;
        ClassSettings repeatable, keyed, once;
        keyed.idempotency = Idempotency::with_key, keyed.dedup_scope = DedupScope::zone,
        keyed.dedup_window = 1000;
        once.idempotency = Idempotency::unsafe;
        s.classes = {repeatable, keyed, once};
        s.drain_grace = 250, s.answer_slack = 50;
        return s;
    }();
    InvariantChecker audit{settings};
    std::vector<Invariant> broken;

    AuditTest() {
        audit.on_violation = [this](Invariant rule, InvariantChecker::Handle, const std::string&) {
            broken.push_back(rule);
        };
        for (int cls = 0; cls < 3; ++cls)
            audit.on_request_accepted(static_cast<InvariantChecker::Handle>(cls), cls, 5000);
    }
    static Endpoint server(EndpointId id, int zone = 0) {
        Endpoint entry;
        entry.id = id, entry.zone = zone;
        return entry;
    }
    void write(InvariantChecker::Handle request, int attempt, Millis now, int zone = 0) {
        audit.on_attempt_sent(request, attempt, server(7, zone), Role::decode, now);
    }
};

TEST_F(AuditTest, AnOrdinaryRequestBreaksNothing) {
    audit.on_attempt_sent(0, 0, server(1), Role::prefill, 100);
    audit.on_attempt_ended(0, 0, false);
    write(0, 1, 150);
    audit.on_attempt_ended(0, 1, true);
    write(0, 2, 200);
    audit.on_answered(0, false, 300);
    audit.on_attempt_ended(0, 2, false);
    audit.forget(0);
    EXPECT_TRUE(broken.empty());
    EXPECT_EQ(audit.size(), 2u);
}

TEST_F(AuditTest, NothingIsSentAfterTheEndNorForAClientThatLeft) {
    audit.on_answered(0, true, 100);
    write(0, 0, 200);
    audit.on_client_disconnected(1);
    write(1, 0, 200);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::sent_after_end, Invariant::sent_after_end}));
}

TEST_F(AuditTest, ADrainIsKeptOnceItsGraceIsOver) {
    audit.on_endpoint_listed(7, EndpointStatus::draining, 100);
    audit.on_endpoint_listed(7, EndpointStatus::removed, 300);  // told before
    write(0, 0, 350);
    audit.on_attempt_ended(0, 0, true);
    EXPECT_TRUE(broken.empty());
    write(0, 1, 351);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::sent_while_draining}));
    audit.on_endpoint_listed(7, EndpointStatus::healthy, 400);
    audit.on_attempt_ended(0, 1, true);
    write(0, 2, 1000);
    EXPECT_EQ(broken.size(), 1u);
}

TEST_F(AuditTest, AServerThatAWholeListLacksIsGone) {
    write(0, 0, 100);
    audit.on_attempt_ended(0, 0, true);
    audit.on_full_list({server(1)}, 200);
    write(0, 1, 500);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::sent_while_draining}));
}

TEST_F(AuditTest, OneAttemptIsOutAtATime) {
    audit.on_attempt_sent(0, 0, server(1), Role::prefill, 100);
    write(0, 1, 150);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::overlapping_attempts}));
}

TEST_F(AuditTest, AnUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
    write(2, 0, 100);
    audit.on_attempt_ended(2, 0, false);
    write(2, 1, 200);
    audit.on_attempt_ended(2, 1, true);
    audit.on_answered(2, true, 300);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::duplicate_execution,
                                              Invariant::rejected_after_possible_run}));
}

TEST_F(AuditTest, AKeyedRequestStaysInGroupAndWindow) {
    write(1, 0, 100);
    audit.on_attempt_ended(1, 0, false);
    write(1, 1, 1250);  // held up for 150 ms between clock and write
    audit.on_attempt_ended(1, 1, true);
    EXPECT_TRUE(broken.empty());
    write(1, 2, 1251);
    audit.on_attempt_ended(1, 2, true);
    write(1, 3, 1000, 1);
    EXPECT_EQ(broken,
              (std::vector<Invariant>{Invariant::outside_dedup_window, Invariant::outside_dedup_scope}));
}

TEST_F(AuditTest, WhatAReadLeavesIsTakenOrLetGoOfInTime) {
    settings.lease_release_timeout = 1000;
    const auto check_at = [&](Millis now, Millis stood = 0) {
        audit.on_endpoint_answered(now);
        audit.check_leases(now, stood);
    };
    audit.on_prefill_answered(0, 100, 0);
    check_at(1500);
    EXPECT_TRUE(broken.empty());
    check_at(1600);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::lease_overrun}));
    check_at(1700);
    EXPECT_EQ(broken.size(), 1u) << "told once";
    audit.on_prefill_answered(1, 2000, 0);
    audit.on_decode_answered(1);
    check_at(9000);
    EXPECT_EQ(broken.size(), 1u) << "a write that has arrived may wait for it";
    audit.on_decode_ended(1, 9000, 0);
    check_at(10000);
    audit.on_release_answered(1, 8999);
    check_at(10500);
    EXPECT_EQ(broken.size(), 2u) << "a release sent before it stood anew proves nothing";
    audit.on_prefill_answered(1, 11000, 0);
    audit.forget(1);
    audit.on_release_answered(1, 11500);
    audit.on_prefill_answered(2, 11000, 0);
    audit.on_lease_taken(2);
    audit.on_prefill_answered(0, 11000, 0);
    check_at(13000, 700);
    EXPECT_EQ(broken.size(), 2u) << "this process stood still for 700 ms";
    check_at(13300, 700);
    EXPECT_EQ(broken.size(), 3u);
}

TEST_F(AuditTest, WhatNoServerCouldBeToldIsNoBreach) {
    settings.lease_release_timeout = 1000;
    audit.on_endpoint_answered(90);
    audit.on_prefill_answered(0, 100, 0);
    audit.check_leases(5000, 0);
    EXPECT_TRUE(broken.empty());
    EXPECT_EQ(audit.unanswered_leases(), 1u);
    audit.on_prefill_answered(1, 6000, 0);
    for (int call = 0; call < 3; ++call) audit.on_release_called(1);
    audit.on_endpoint_answered(7000);
    audit.check_leases(8000, 0);
    EXPECT_TRUE(broken.empty()) << "three servers were asked, and hang";
    EXPECT_EQ(audit.unanswered_leases(), 2u);
}

TEST_F(AuditTest, OneAnswerInTime) {
    audit.on_answered(0, false, 5200);
    EXPECT_TRUE(broken.empty());
    audit.on_answered(1, false, 5201);
    audit.on_answered(1, false, 5100);
    EXPECT_EQ(broken, (std::vector<Invariant>{Invariant::late_answer, Invariant::duplicate_answer}));
    EXPECT_EQ(audit.violations()[static_cast<std::size_t>(Invariant::late_answer)], 1u);
}

}  // namespace
}  // namespace gorsenotch::control
