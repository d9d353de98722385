// Fleets too large for a look at every server: a choice looks at a window of them, and what holds for small
// fleets holds all the same.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "router/router_harness.h"
#include "stats/hash_ring.h"

namespace gorsenotch::test {
namespace {

constexpr int kServers = 3200, kCellSize = 6;

std::vector<Endpoint> fleet() {
    std::vector<Endpoint> entries;
    for (int i = 0; i < kServers; ++i) {
        const auto id = static_cast<EndpointId>(1000 + i);
        entries.push_back(i % 2 == 0 ? reader(id, i / kCellSize % 2) : writer(id, i / kCellSize % 2));
        entries.back().cell = static_cast<std::uint64_t>(i / kCellSize + 1);
    }
    return entries;
}

struct LargeFleet : ::testing::Test {
    std::vector<Endpoint> entries = fleet();
    Settings settings = [] {
        Settings s = plain_settings();
        s.gateways = 300;
        s.connect_timeout = 250;
        return s;
    }();
    // The server of the last action, if that is an attempt.
    static EndpointId attempted(const Bench& bench) {
        for (const auto& action : bench.actions) {
            if (const auto* attempt = std::get_if<StartAttempt>(&action)) return attempt->endpoint;
        }
        return 0;
    }
    EndpointId ask(Bench& bench, const RequestId& id, Millis now, std::uint64_t session) {
        Arrival a = arrival(id, now);
        a.session = session;
        bench.feed(now, a);
        return attempted(bench);
    }
};

TEST_F(LargeFleet, GatewaysAgreeOnASessionsHomeAndSessionsAreSpread) {
    Bench one(settings, 1), other(settings, 2);
    one.feed(1, list(entries));
    other.feed(1, list(entries));
    std::map<EndpointId, int> homes;
    for (std::uint64_t session = 1; session <= 400; ++session) {
        const auto now = 10 + static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        const EndpointId home = ask(one, id, now, session);
        ASSERT_NE(home, 0u);
        EXPECT_EQ(ask(other, id, now, session), home);
        ++homes[home];
    }
    EXPECT_GT(homes.size(), 300u) << "400 sessions over 1,600 readers";
    EXPECT_TRUE(one.checker.breaches.empty());
}

TEST_F(LargeFleet, AStateGoesToAWriterOfItsReadersCell) {
    Bench bench(settings, 1);
    bench.feed(1, list(entries));
    int same = 0;
    for (std::uint64_t session = 1; session <= 60; ++session) {
        const auto now = 10 + static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        const EndpointId read = ask(bench, id, now, session);
        bench.feed(now, outcome(id, 0, read, AttemptResult::prefill_done));
        const EndpointId written = attempted(bench);
        ASSERT_NE(written, 0u);
        same += (written - 1000) / kCellSize == (read - 1000) / kCellSize;
    }
    EXPECT_GT(same, 50);
}

// All but a few servers drain: no window may hide those that are left.
TEST_F(LargeFleet, TheLastServersThatAreUpAreFoundWhereverTheyAre) {
    Bench bench(settings, 1);
    bench.feed(1, list(entries));
    EndpointUpdate drains{EndpointUpdate::Kind::incremental, {}};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (i == 1234 || i == 1235) continue;
        drains.endpoints.push_back(entries[i]);
        drains.endpoints.back().status = EndpointStatus::draining;
    }
    bench.feed(2, drains);
    for (std::uint64_t session = 1; session <= 20; ++session) {
        const auto now = 500 + 100 * static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        ASSERT_EQ(ask(bench, id, now, session), entries[1234].id);
        bench.feed(now + 10, outcome(id, 0, entries[1234].id, AttemptResult::prefill_done));
        ASSERT_EQ(attempted(bench), entries[1235].id);
        FirstToken first{id, 1, entries[1235].id, 20};
        bench.feed(now + 30, first);
        bench.feed(now + 60, outcome(id, 1, entries[1235].id, AttemptResult::served, true));
    }
    EXPECT_TRUE(bench.checker.breaches.empty()) << bench.checker.breaches.front();
}

TEST_F(LargeFleet, WhereMostReadersDrainAllOthersTakePart) {
    Bench bench(settings, 1);
    // The window of each request is of those that are up, however few they are.
    std::vector<Endpoint> some;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        some.push_back(entries[i]);
        if (i % 2 == 0 && i % 160 != 0) some.back().status = EndpointStatus::draining;
    }
    bench.feed(1, list(some));
    std::set<EndpointId> used;
    for (std::uint64_t session = 1; session <= 200; ++session)
        used.insert(ask(bench, "s" + std::to_string(session), 10 + static_cast<Millis>(session), session));
    EXPECT_EQ(used.count(0), 0u);
    EXPECT_EQ(used.size(), 20u) << "all twenty readers that are up take part";
}

TEST(HashRing, HoldsWhatWasPutInAndFindsTheSameWindowForAKey) {
    std::vector<int> items(50);
    stats::HashRing<int> ring, other;
    for (std::size_t i = 0; i < items.size(); ++i) ring.insert(i, &items[i]);
    for (std::size_t i = items.size(); i-- > 0;) other.insert(i, &items[i]);
    ring.insert(3, &items[3]);
    EXPECT_EQ(ring.size(), 50u);
    EXPECT_TRUE(std::is_sorted(ring.by_id().begin(), ring.by_id().end()));
    for (std::uint64_t key = 1; key < 20; ++key) {
        std::vector<int*> window, same;
        ring.window(key, 12, window);
        other.window(key, 12, same);
        EXPECT_EQ(window, same) << "whatever the order in which they came";
        EXPECT_EQ(std::set<int*>(window.begin(), window.end()).size(), 12u);
    }
    ring.erase(7);
    ring.erase(7);
    ring.erase(99);
    std::vector<int*> all;
    ring.window(5, 100, all);
    EXPECT_EQ(all.size(), 49u);
    EXPECT_EQ(std::count(all.begin(), all.end(), &items[7]), 0);
    ring.clear();
    all.clear();
    ring.window(5, 100, all);
    EXPECT_TRUE(all.empty());
}

}  // namespace
}  // namespace gorsenotch::test
