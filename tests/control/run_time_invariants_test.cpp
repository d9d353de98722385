// The permits asked before each effect, and the audit of what was done: one case for each reason and each
// rule.
#include <gtest/gtest.h>

#include "control/invariant_checker.h"
#include "control/send_preconditions.h"

namespace gorsenotch::control {
namespace {

SendFacts good() {
    SendFacts facts;
    facts.server = EndpointStatus::healthy;
    facts.now = 1000, facts.deadline = 5000;
    return facts;
}

TEST(MaySend, EachReasonIsNamed) {
    EXPECT_FALSE(may_send(good()));
    auto facts = good();
    facts.request_over = true;
    EXPECT_EQ(may_send(facts), SendDenial::request_over);
    facts = good(), facts.client_left = true;
    EXPECT_EQ(may_send(facts), SendDenial::client_left);
    facts = good(), facts.server.reset();
    EXPECT_EQ(may_send(facts), SendDenial::not_listed);
    for (const EndpointStatus mode : {EndpointStatus::draining, EndpointStatus::removed}) {
        facts = good(), facts.server = mode;
        EXPECT_EQ(may_send(facts), SendDenial::not_up);
    }
    facts = good(), facts.send_by = 1000;
    EXPECT_EQ(may_send(facts), SendDenial::window_over);
    facts.send_by = 1000.5;
    EXPECT_FALSE(may_send(facts));
    facts = good(), facts.now = 5000;
    EXPECT_EQ(may_send(facts), SendDenial::deadline_over);
}

TEST(MayClose, NeitherOverAnOpenRequestNorOverUnreadBytes) {
    EXPECT_FALSE(may_close({false, false}));
    EXPECT_EQ(may_close({true, false}), CloseDenial::request_open);
    EXPECT_EQ(may_close({false, true}), CloseDenial::unread_bytes);
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
    Audit audit{settings};
    std::vector<Rule> broken;

    AuditTest() {
        audit.on_breach = [this](Rule rule, Audit::Handle, const std::string&) { broken.push_back(rule); };
        for (int cls = 0; cls < 3; ++cls) audit.taken(static_cast<Audit::Handle>(cls), cls, 5000);
    }
    static Endpoint server(EndpointId id, int zone = 0) {
        Endpoint entry;
        entry.id = id, entry.zone = zone;
        return entry;
    }
    void write(Audit::Handle request, int attempt, Millis now, int zone = 0) {
        audit.sent(request, attempt, server(7, zone), Role::decode, now);
    }
};

TEST_F(AuditTest, AnOrdinaryRequestBreaksNothing) {
    audit.sent(0, 0, server(1), Role::prefill, 100);
    audit.ended(0, 0, false);
    write(0, 1, 150);
    audit.ended(0, 1, true);
    write(0, 2, 200);
    audit.answered(0, false, 300);
    audit.ended(0, 2, false);
    audit.forget(0);
    EXPECT_TRUE(broken.empty());
    EXPECT_EQ(audit.size(), 2u);
}

TEST_F(AuditTest, NothingIsSentAfterTheEndNorForAClientThatLeft) {
    audit.answered(0, true, 100);
    write(0, 0, 200);
    audit.client_left(1);
    write(1, 0, 200);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::sent_after_end, Rule::sent_after_end}));
}

TEST_F(AuditTest, ADrainIsKeptOnceItsGraceIsOver) {
    audit.listed(7, EndpointStatus::draining, 100);
    audit.listed(7, EndpointStatus::removed, 300);  // told before
    write(0, 0, 350);
    audit.ended(0, 0, true);
    EXPECT_TRUE(broken.empty());
    write(0, 1, 351);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::sent_to_drained}));
    audit.listed(7, EndpointStatus::healthy, 400);
    audit.ended(0, 1, true);
    write(0, 2, 1000);
    EXPECT_EQ(broken.size(), 1u);
}

TEST_F(AuditTest, AServerThatAWholeListLacksIsGone) {
    write(0, 0, 100);
    audit.ended(0, 0, true);
    audit.list_is_whole({server(1)}, 200);
    write(0, 1, 500);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::sent_to_drained}));
}

TEST_F(AuditTest, OneAttemptIsOutAtATime) {
    audit.sent(0, 0, server(1), Role::prefill, 100);
    write(0, 1, 150);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::two_out}));
}

TEST_F(AuditTest, AnUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
    write(2, 0, 100);
    audit.ended(2, 0, false);
    write(2, 1, 200);
    audit.ended(2, 1, true);
    audit.answered(2, true, 300);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::repeated_effect, Rule::harmless_promised}));
}

TEST_F(AuditTest, AKeyedRequestStaysInGroupAndWindow) {
    write(1, 0, 100);
    audit.ended(1, 0, false);
    write(1, 1, 1250);  // held up for 150 ms between clock and write
    audit.ended(1, 1, true);
    EXPECT_TRUE(broken.empty());
    write(1, 2, 1251);
    audit.ended(1, 2, true);
    write(1, 3, 1000, 1);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::outside_window, Rule::outside_group}));
}

TEST_F(AuditTest, WhatAReadLeavesIsTakenOrLetGoOfInTime) {
    settings.lease_release_timeout = 1000;
    const auto check_at = [&](Millis now, Millis stood = 0) {
        audit.server_answered(now);
        audit.check_held(now, stood);
    };
    audit.read_answered(0, 100, 0);
    check_at(1500);
    EXPECT_TRUE(broken.empty());
    check_at(1600);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::held_too_long}));
    check_at(1700);
    EXPECT_EQ(broken.size(), 1u) << "told once";
    audit.read_answered(1, 2000, 0);
    audit.write_answered(1);
    check_at(9000);
    EXPECT_EQ(broken.size(), 1u) << "a write that has arrived may wait for it";
    audit.write_ended(1, 9000, 0);
    check_at(10000);
    audit.release_answered(1, 8999);
    check_at(10500);
    EXPECT_EQ(broken.size(), 2u) << "a release sent before it stood anew proves nothing";
    audit.read_answered(1, 11000, 0);
    audit.forget(1);
    audit.release_answered(1, 11500);
    audit.read_answered(2, 11000, 0);
    audit.state_taken(2);
    audit.read_answered(0, 11000, 0);
    check_at(13000, 700);
    EXPECT_EQ(broken.size(), 2u) << "this process stood still for 700 ms";
    check_at(13300, 700);
    EXPECT_EQ(broken.size(), 3u);
}

TEST_F(AuditTest, WhatNoServerCouldBeToldIsNoBreach) {
    settings.lease_release_timeout = 1000;
    audit.server_answered(90);
    audit.read_answered(0, 100, 0);
    audit.check_held(5000, 0);
    EXPECT_TRUE(broken.empty());
    EXPECT_EQ(audit.held_unanswered(), 1u);
    audit.read_answered(1, 6000, 0);
    for (int call = 0; call < 3; ++call) audit.release_called(1);
    audit.server_answered(7000);
    audit.check_held(8000, 0);
    EXPECT_TRUE(broken.empty()) << "three servers were asked, and hang";
    EXPECT_EQ(audit.held_unanswered(), 2u);
}

TEST_F(AuditTest, OneAnswerInTime) {
    audit.answered(0, false, 5200);
    EXPECT_TRUE(broken.empty());
    audit.answered(1, false, 5201);
    audit.answered(1, false, 5100);
    EXPECT_EQ(broken, (std::vector<Rule>{Rule::late_answer, Rule::second_answer}));
    EXPECT_EQ(audit.breaches()[static_cast<std::size_t>(Rule::late_answer)], 1u);
}

}  // namespace
}  // namespace gorsenotch::control
