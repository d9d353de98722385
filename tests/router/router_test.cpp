// Endpoint selection without failures. The expected selections are derived by hand.
#include <gtest/gtest.h>

#include <set>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

class EndpointChoiceTest : public ::testing::Test {
protected:
    void start_router(const std::vector<Endpoint>& servers) { harness.handle(0, full_list(servers)); }
    // The endpoint of the only attempt in the latest actions, 0 if there is none or more than one.
    EndpointId attempted_endpoint() const {
        const auto attempts = harness.actions_of<StartAttempt>();
        return attempts.size() == 1 ? attempts[0].endpoint : 0;
    }
    EndpointId arrive(const RequestId& id, Millis now, double prompt = 1000, std::uint64_t session = 0) {
        Arrival request = arrival(id, now, prompt);
        request.session = session;
        harness.handle(now, request);
        return attempted_endpoint();
    }
    EndpointId finish_prefill(const RequestId& id, Millis now, EndpointId at) {
        harness.handle(now, attempt_ended(id, 0, at, AttemptResult::prefill_done));
        return attempted_endpoint();
    }
    void TearDown() override { EXPECT_EQ(harness.checker.violations, std::vector<std::string>{}); }
    RouterHarness harness{test_settings()};
};

TEST_F(EndpointChoiceTest, PrefillsAreBalancedByMemoryInUse) {
    start_router({prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11), decode_endpoint(12),
                  decode_endpoint(13), decode_endpoint(14)});
    // No prefill ends, so memory use balances within the margin of two prompts.
    std::map<EndpointId, int> prefills;
    for (int i = 0; i < 10; ++i) ++prefills[arrive("r" + std::to_string(i), 13 + i, 1000)];
    EXPECT_EQ(prefills[1] + prefills[2], 10);
    EXPECT_LE(std::abs(prefills[1] - prefills[2]), 2);
}

TEST_F(EndpointChoiceTest, PrefillGoesToTheLeastReportedMemory) {
    start_router({prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    // Endpoint 1 reports 50,000 of 100,000 tokens in use, endpoint 2 reports 10,000. The margin is two
    // prompts.
    for (const EndpointId id : {1u, 2u}) {
        AttemptEnded ended = attempt_ended("unknown", 0, id, AttemptResult::prefill_done);
        ended.report.memory_utilization = id == 1 ? 0.5 : 0.1;
        harness.actions.clear();
        harness.router.handle(
            5, ended, harness.actions);  // the request is unknown, so only the load report has an effect
    }
    for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("r" + std::to_string(i), 10 + i), 2u);
}

TEST_F(EndpointChoiceTest, PrefillEndpointWithoutAReportCountsAsAverage) {
    start_router({prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3), decode_endpoint(11)});
    for (const EndpointId id : {1u, 2u}) {
        AttemptEnded ended = attempt_ended("unknown", 0, id, AttemptResult::prefill_done);
        ended.report.memory_utilization = id == 1 ? 0.9 : 0.1;
        harness.actions.clear();
        harness.router.handle(5, ended, harness.actions);
    }
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(arrive("r" + std::to_string(i), 10 + i), 2u);  // endpoint 3 counts as 0.5
}

TEST_F(EndpointChoiceTest, OwnZoneIsPreferredWithinTheLoadMargin) {
    start_router({prefill_endpoint(1, 1), prefill_endpoint(2, 0), decode_endpoint(11)});
    EXPECT_EQ(arrive("a", 10), 2u);
}

TEST_F(EndpointChoiceTest, SessionReturnsToItsPrefillEndpoint) {
    start_router({prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3), prefill_endpoint(4),
                  decode_endpoint(11)});
    std::set<EndpointId> endpoints;
    for (std::uint64_t session = 1; session <= 8; ++session) {
        EndpointId first = 0;
        for (int turn = 0; turn < 3; ++turn) {
            const RequestId id = "s" + std::to_string(session) + "." + std::to_string(turn);
            const Millis now = 100.0 * static_cast<double>(session) + 20 * turn;
            const EndpointId at = arrive(id, now, 1000, session);
            if (!turn) first = at;
            EXPECT_EQ(at, first);
            finish_prefill(id, now + 5, at);
            harness.handle(now + 10, FirstToken{id, 1, 11, 5});
        }
        endpoints.insert(first);
    }
    EXPECT_GT(endpoints.size(), 1u);
}

TEST_F(EndpointChoiceTest, SessionsWithOneSharedPrefixUseOnePrefillEndpoint) {
    start_router({prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3), prefill_endpoint(4),
                  decode_endpoint(11)});
    std::set<EndpointId> endpoints;
    for (std::uint64_t session = 1; session <= 4; ++session) {
        Arrival request = arrival("s" + std::to_string(session), 10, 1000);
        request.session = session;
        request.shared_prefix = 77;
        request.shared_prefix_tokens = 900;
        harness.handle(10, request);
        endpoints.insert(attempted_endpoint());
    }
    EXPECT_EQ(endpoints.size(), 1u);  // 1,000 tokens over 300 to process: a margin of 3.3 prompts
}

TEST_F(EndpointChoiceTest, OwnZoneWithFewPrefillEndpointsSpillsOver) {
    start_router({prefill_endpoint(1, 0), prefill_endpoint(2, 1), prefill_endpoint(3, 1), decode_endpoint(11),
                  decode_endpoint(12), decode_endpoint(13), decode_endpoint(14)});
    std::map<EndpointId, int> prefills;
    for (int i = 0; i < 12; ++i) ++prefills[arrive("r" + std::to_string(i), 10)];
    EXPECT_GE(prefills[1], 3);  // the own zone is used up to two prompts above the lowest load
    EXPECT_LE(prefills[1], 7);
    EXPECT_GE(prefills[2] + prefills[3], 5);
}

TEST_F(EndpointChoiceTest, DecodeEndpointIsChosenAfterThePrefillByFewestQueued) {
    start_router({prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12)});
    std::map<EndpointId, int> queued;
    for (int i = 0; i < 8; ++i) {
        const RequestId id = "r" + std::to_string(i);
        arrive(id, 10 + i, 100);
        ++queued[finish_prefill(id, 20 + i, 1)];
    }
    // Queues that are longer by at most one rank equal, so the counts differ by at most two.
    EXPECT_LE(std::abs(queued[11] - queued[12]), 2);
}

TEST_F(EndpointChoiceTest, DecodeTiesGoToThePrefillsCell) {
    start_router({prefill_endpoint(1, 0), decode_endpoint(11, 1), decode_endpoint(12, 0)});
    arrive("a", 10);
    EXPECT_EQ(finish_prefill("a", 20, 1), 12u);
    arrive("b", 11);
    EXPECT_EQ(finish_prefill("b", 21, 1), 12u);  // queues of 1 and 0 still rank equal
    arrive("c", 12);
    EXPECT_EQ(finish_prefill("c", 22, 1), 11u);  // queues of 2 and 0 do not
}

TEST_F(EndpointChoiceTest, DecodeTiesInACellGoToFewestStreams) {
    start_router({prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12)});
    arrive("a", 10);
    const EndpointId first = finish_prefill("a", 20, 1);
    harness.handle(25, FirstToken{"a", 1, first, 5});
    arrive("b", 30);
    EXPECT_EQ(finish_prefill("b", 40, 1), first == 11 ? 12u : 11u);
}

TEST_F(EndpointChoiceTest, NearlyFullDecodeEndpointIsSkippedUnlessAllAre) {
    start_router({prefill_endpoint(1), decode_endpoint(11, 0), decode_endpoint(12, 1)});
    arrive("a", 10);
    ASSERT_EQ(finish_prefill("a", 20, 1), 11u);
    AttemptEnded done = attempt_ended("a", 1, 11, AttemptResult::served, true);
    harness.handle(25, FirstToken{"a", 1, 11, 5});
    done.report.memory_utilization = 0.97;
    harness.handle(30, done);
    arrive("b", 40);
    EXPECT_EQ(finish_prefill("b", 50, 1), 12u);  // although 11 is in the cell of the prefill endpoint
    harness.handle(55, FirstToken{"b", 1, 12, 5});
    done = attempt_ended("b", 1, 12, AttemptResult::served, true);
    done.report.memory_utilization = 0.97;
    harness.handle(60, done);
    arrive("c", 70);
    // All are full, so all are candidates. The tie goes to the cell of the prefill endpoint.
    EXPECT_EQ(finish_prefill("c", 80, 1), 11u);
}

TEST_F(EndpointChoiceTest, MixedEndpointPrefillsWhereThereIsNoPrefillEndpoint) {
    Endpoint mixed = decode_endpoint(21);
    mixed.kind = 2;
    start_router({mixed});
    EXPECT_EQ(arrive("a", 10), 21u);
}

TEST_F(EndpointChoiceTest, MixedEndpointWithCapacityDecodesWhereTheDecodeEndpointIsFull) {
    Endpoint mixed = decode_endpoint(21, 1);
    mixed.kind = 2;
    start_router({prefill_endpoint(1), decode_endpoint(11), mixed});
    AttemptEnded full = attempt_ended("unknown", 0, 11, AttemptResult::served);
    full.report.memory_utilization = 0.97;
    harness.actions.clear();
    harness.router.handle(5, full, harness.actions);
    EXPECT_EQ(arrive("a", 10), 1u);
    EXPECT_EQ(finish_prefill("a", 20, 1), 21u);  // although 11 is in the cell of the prefill endpoint
}

TEST_F(EndpointChoiceTest, WhereAllDecodeEndpointsAreFullYoungStreamsCount) {
    start_router({prefill_endpoint(1, 0), decode_endpoint(11, 0), decode_endpoint(12, 1)});
    for (const RequestId id : {"a", "b"}) {  // two streams at 11, in the cell of the prefill endpoint
        arrive(id, 10);
        ASSERT_EQ(finish_prefill(id, 20, 1), 11u);
        harness.handle(25, FirstToken{id, 1, 11, 5});
    }
    for (const EndpointId id : {11u, 12u}) {
        AttemptEnded full = attempt_ended("unknown", 0, id, AttemptResult::served);
        full.report.memory_utilization = 0.97;
        harness.actions.clear();
        harness.router.handle(30, full, harness.actions);
    }
    arrive("c", 40);
    EXPECT_EQ(finish_prefill("c", 50, 1), 12u);  // two young streams against none do not rank equal
}

TEST_F(EndpointChoiceTest, NoSlotIsReservedAheadOfThePrefill) {
    Settings settings = test_settings();
    settings.slot_reservation = true;
    RouterHarness reserving(settings);
    reserving.handle(0, full_list({prefill_endpoint(1), decode_endpoint(11)}));
    reserving.handle(10, arrival("a", 10));
    reserving.handle(20, attempt_ended("a", 0, 1, AttemptResult::prefill_done));
    EXPECT_TRUE(reserving.actions_of<ReserveSlot>().empty());
}

}  // namespace
}  // namespace gorsenotch::test
