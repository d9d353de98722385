// The ordinary path: each expected pick is worked out by hand.
#include <gtest/gtest.h>

#include <set>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

class Logic : public ::testing::Test {
protected:
    void start(const std::vector<Endpoint>& servers) { bench.feed(0, list(servers)); }
    // The server that the one attempt among the latest actions goes to, or 0.
    EndpointId sent() const {
        const auto attempts = bench.all<StartAttempt>();
        return attempts.size() == 1 ? attempts[0].endpoint : 0;
    }
    EndpointId arrive(const RequestId& id, Millis now, double prompt = 1000, std::uint64_t session = 0) {
        Arrival a = arrival(id, now, prompt);
        a.session = session;
        bench.feed(now, a);
        return sent();
    }
    EndpointId read_done(const RequestId& id, Millis now, EndpointId at) {
        bench.feed(now, outcome(id, 0, at, AttemptResult::prefill_done));
        return sent();
    }
    void TearDown() override { EXPECT_EQ(bench.checker.breaches, std::vector<std::string>{}); }
    Bench bench{plain_settings()};
};

TEST_F(Logic, ReadsGoToTheLeastMemoryHeld) {
    start({reader(1), reader(2), writer(11), writer(12), writer(13), writer(14)});
    // One after the other without any ending: held memory evens out within the margin of two prompts.
    std::map<EndpointId, int> n;
    for (int i = 0; i < 10; ++i) ++n[arrive("r" + std::to_string(i), 13 + i, 1000)];
    EXPECT_EQ(n[1] + n[2], 10);
    EXPECT_LE(std::abs(n[1] - n[2]), 2);
}

TEST_F(Logic, ReportedMemoryDecides) {
    start({reader(1), reader(2), writer(11)});
    // Reader 1 tells 50,000 of 100,000 tokens held, reader 2 tells 10,000; two prompts are the margin.
    for (const EndpointId id : {1u, 2u}) {
        AttemptEnded ended = outcome("gone", 0, id, AttemptResult::prefill_done);
        ended.report.memory_utilization = id == 1 ? 0.5 : 0.1;
        bench.actions.clear();
        bench.router.handle(5, ended, bench.actions);  // of a request long forgotten: only its report counts
    }
    for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("r" + std::to_string(i), 10 + i), 2u);
}

TEST_F(Logic, AnUnheardReaderCountsAsAverage) {
    start({reader(1), reader(2), reader(3), writer(11)});
    for (const EndpointId id : {1u, 2u}) {
        AttemptEnded ended = outcome("gone", 0, id, AttemptResult::prefill_done);
        ended.report.memory_utilization = id == 1 ? 0.9 : 0.1;
        bench.actions.clear();
        bench.router.handle(5, ended, bench.actions);
    }
    for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("r" + std::to_string(i), 10 + i), 2u);  // 3 counts as 0.5
}

TEST_F(Logic, OwnZoneIsPreferredWithinTheMargin) {
    start({reader(1, 1), reader(2, 0), writer(11)});
    EXPECT_EQ(arrive("a", 10), 2u);
}

TEST_F(Logic, ASessionComesBackToItsHome) {
    start({reader(1), reader(2), reader(3), reader(4), writer(11)});
    std::set<EndpointId> homes;
    for (std::uint64_t session = 1; session <= 8; ++session) {
        EndpointId first = 0;
        for (int turn = 0; turn < 3; ++turn) {
            const RequestId id = "s" + std::to_string(session) + "." + std::to_string(turn);
            const Millis now = 100.0 * static_cast<double>(session) + 20 * turn;
            const EndpointId at = arrive(id, now, 1000, session);
            if (!turn) first = at;
            EXPECT_EQ(at, first);
            read_done(id, now + 5, at);
            bench.feed(now + 10, FirstToken{id, 1, 11, 5});
        }
        homes.insert(first);
    }
    EXPECT_GT(homes.size(), 1u);
}

TEST_F(Logic, SessionsThatShareABeginningShareItsHome) {
    start({reader(1), reader(2), reader(3), reader(4), writer(11)});
    std::set<EndpointId> homes;
    for (std::uint64_t session = 1; session <= 4; ++session) {
        Arrival a = arrival("s" + std::to_string(session), 10, 1000);
        a.session = session, a.shared_prefix = 77, a.shared_prefix_tokens = 900;
        bench.feed(10, a);
        homes.insert(sent());
    }
    EXPECT_EQ(homes.size(), 1u);  // 1,000 over 300 to read: a margin of 3.3 prompts
}

TEST_F(Logic, AnOwnZoneWithFewReadersSpillsOver) {
    start({reader(1, 0), reader(2, 1), reader(3, 1), writer(11), writer(12), writer(13), writer(14)});
    std::map<EndpointId, int> n;
    for (int i = 0; i < 12; ++i) ++n[arrive("r" + std::to_string(i), 10)];
    EXPECT_GE(n[1], 3);  // own zone up to two prompts above the least
    EXPECT_LE(n[1], 7);
    EXPECT_GE(n[2] + n[3], 5);
}

TEST_F(Logic, TheWriterIsChosenAfterTheReadByFewestQueued) {
    start({reader(1), writer(11), writer(12)});
    std::map<EndpointId, int> queued;
    for (int i = 0; i < 8; ++i) {
        const RequestId id = "r" + std::to_string(i);
        arrive(id, 10 + i, 100);
        ++queued[read_done(id, 20 + i, 1)];
    }
    // Within one of the least counts as a tie, so the counts stay within two of each other.
    EXPECT_LE(std::abs(queued[11] - queued[12]), 2);
}

TEST_F(Logic, TiesGoToTheReadersCell) {
    start({reader(1, 0), writer(11, 1), writer(12, 0)});
    arrive("a", 10);
    EXPECT_EQ(read_done("a", 20, 1), 12u);
    arrive("b", 11);
    EXPECT_EQ(read_done("b", 21, 1), 12u);  // 1 against 0 queued is still within one of the least
    arrive("c", 12);
    EXPECT_EQ(read_done("c", 22, 1), 11u);  // 2 against 0 is not
}

TEST_F(Logic, TiesInACellGoToFewestStreams) {
    start({reader(1), writer(11), writer(12)});
    arrive("a", 10);
    const EndpointId first = read_done("a", 20, 1);
    bench.feed(25, FirstToken{"a", 1, first, 5});
    arrive("b", 30);
    EXPECT_EQ(read_done("b", 40, 1), first == 11 ? 12u : 11u);
}

TEST_F(Logic, ANearlyFullWriterIsSkippedUnlessAllAre) {
    start({reader(1), writer(11, 0), writer(12, 1)});
    arrive("a", 10);
    ASSERT_EQ(read_done("a", 20, 1), 11u);
    AttemptEnded done = outcome("a", 1, 11, AttemptResult::served, true);
    bench.feed(25, FirstToken{"a", 1, 11, 5});
    done.report.memory_utilization = 0.97;
    bench.feed(30, done);
    arrive("b", 40);
    EXPECT_EQ(read_done("b", 50, 1), 12u);  // though 11 is in the reader's cell
    bench.feed(55, FirstToken{"b", 1, 12, 5});
    done = outcome("b", 1, 12, AttemptResult::served, true);
    done.report.memory_utilization = 0.97;
    bench.feed(60, done);
    arrive("c", 70);
    EXPECT_EQ(read_done("c", 80, 1), 11u);  // all skipped, all count: the tie goes to the cell
}

TEST_F(Logic, AMixedServerReadsWhenThereIsNoPlainReader) {
    Endpoint mixed = writer(21);
    mixed.kind = 2;
    start({mixed});
    EXPECT_EQ(arrive("a", 10), 21u);
}

TEST_F(Logic, AMixedServerWithRoomWritesWhenTheWriterLacksIt) {
    Endpoint mixed = writer(21, 1);
    mixed.kind = 2;
    start({reader(1), writer(11), mixed});
    AttemptEnded full = outcome("gone", 0, 11, AttemptResult::served);
    full.report.memory_utilization = 0.97;
    bench.actions.clear();
    bench.router.handle(5, full, bench.actions);
    EXPECT_EQ(arrive("a", 10), 1u);
    EXPECT_EQ(read_done("a", 20, 1), 21u);  // though 11 is in the reader's cell
}

TEST_F(Logic, WhenAllWritersAreSkippedYoungStreamsCount) {
    start({reader(1, 0), writer(11, 0), writer(12, 1)});
    for (const RequestId id : {"a", "b"}) {  // two streams at 11, in the reader's cell
        arrive(id, 10);
        ASSERT_EQ(read_done(id, 20, 1), 11u);
        bench.feed(25, FirstToken{id, 1, 11, 5});
    }
    for (const EndpointId id : {11u, 12u}) {
        AttemptEnded full = outcome("gone", 0, id, AttemptResult::served);
        full.report.memory_utilization = 0.97;
        bench.actions.clear();
        bench.router.handle(30, full, bench.actions);
    }
    arrive("c", 40);
    EXPECT_EQ(read_done("c", 50, 1), 12u);  // two young streams against none is more than one apart
}

TEST_F(Logic, NoPlaceIsHeldAhead) {
    Settings settings = plain_settings();
    settings.slot_reservation = true;
    Bench b(settings);
    b.feed(0, list({reader(1), writer(11)}));
    b.feed(10, arrival("a", 10));
    b.feed(20, outcome("a", 0, 1, AttemptResult::prefill_done));
    EXPECT_TRUE(b.all<ReserveSlot>().empty());
}

}  // namespace
}  // namespace gorsenotch::test
