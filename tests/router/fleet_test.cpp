// Fleets too large to compare all endpoints: a choice compares a window of them, and the rules of small
// fleets hold all the same.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "router/router_harness.h"
#include "stats/hash_ring.h"

namespace gorsenotch::test {
namespace {

constexpr int kEndpoints = 3200;
constexpr int kCellSize = 6;

std::vector<Endpoint> fleet() {
    std::vector<Endpoint> entries;
    for (int i = 0; i < kEndpoints; ++i) {
        const auto id = static_cast<EndpointId>(1000 + i);
        entries.push_back(i % 2 == 0 ? prefill_endpoint(id, i / kCellSize % 2)
                                     : decode_endpoint(id, i / kCellSize % 2));
        entries.back().cell = static_cast<std::uint64_t>(i) / kCellSize + 1;
    }
    return entries;
}

struct LargeFleetTest : ::testing::Test {
    std::vector<Endpoint> entries = fleet();
    Settings settings = [] {
        Settings large = test_settings();
        large.gateways = 300;
        large.connect_timeout = 250;
        return large;
    }();
    // The endpoint of the first attempt among the latest actions, 0 if there is none.
    static EndpointId attempted_endpoint(const RouterHarness& harness) {
        for (const auto& action : harness.actions) {
            if (const auto* attempt = std::get_if<StartAttempt>(&action)) return attempt->endpoint;
        }
        return 0;
    }
    EndpointId arrive(RouterHarness& harness, const RequestId& id, Millis now, std::uint64_t session) {
        Arrival request = arrival(id, now);
        request.session = session;
        harness.handle(now, request);
        return attempted_endpoint(harness);
    }
};

TEST_F(LargeFleetTest, GatewaysAgreeOnASessionsEndpointAndSessionsAreSpread) {
    RouterHarness one(settings, 1);
    RouterHarness other(settings, 2);
    one.handle(1, full_list(entries));
    other.handle(1, full_list(entries));
    std::map<EndpointId, int> used;
    for (std::uint64_t session = 1; session <= 400; ++session) {
        const auto now = 10 + static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        const EndpointId endpoint = arrive(one, id, now, session);
        ASSERT_NE(endpoint, 0u);
        EXPECT_EQ(arrive(other, id, now, session), endpoint);
        ++used[endpoint];
    }
    EXPECT_GT(used.size(), 300u) << "400 sessions over 1,600 prefill endpoints";
    EXPECT_TRUE(one.checker.violations.empty());
}

TEST_F(LargeFleetTest, DecodeStaysInThePrefillsCell) {
    RouterHarness harness(settings, 1);
    harness.handle(1, full_list(entries));
    int same_cell = 0;
    for (std::uint64_t session = 1; session <= 60; ++session) {
        const auto now = 10 + static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        const EndpointId prefill_at = arrive(harness, id, now, session);
        harness.handle(now, attempt_ended(id, 0, prefill_at, AttemptResult::prefill_done));
        const EndpointId decode_at = attempted_endpoint(harness);
        ASSERT_NE(decode_at, 0u);
        same_cell += (decode_at - 1000) / kCellSize == (prefill_at - 1000) / kCellSize;
    }
    EXPECT_GT(same_cell, 50);
}

// All but two endpoints drain: no window may hide those that are left.
TEST_F(LargeFleetTest, LastHealthyEndpointsAreFoundWhereverTheyAre) {
    RouterHarness harness(settings, 1);
    harness.handle(1, full_list(entries));
    EndpointUpdate drains{EndpointUpdate::Kind::incremental, {}};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (i == 1234 || i == 1235) continue;
        drains.endpoints.push_back(entries[i]);
        drains.endpoints.back().status = EndpointStatus::draining;
    }
    harness.handle(2, drains);
    for (std::uint64_t session = 1; session <= 20; ++session) {
        const auto now = 500 + 100 * static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        ASSERT_EQ(arrive(harness, id, now, session), entries[1234].id);
        harness.handle(now + 10, attempt_ended(id, 0, entries[1234].id, AttemptResult::prefill_done));
        ASSERT_EQ(attempted_endpoint(harness), entries[1235].id);
        FirstToken first{id, 1, entries[1235].id, 20};
        harness.handle(now + 30, first);
        harness.handle(now + 60, attempt_ended(id, 1, entries[1235].id, AttemptResult::served, true));
    }
    EXPECT_TRUE(harness.checker.violations.empty()) << harness.checker.violations.front();
}

TEST_F(LargeFleetTest, WhereMostPrefillEndpointsDrainAllOthersAreUsed) {
    RouterHarness harness(settings, 1);
    // The window of each request is taken from the healthy ones, however few they are.
    std::vector<Endpoint> some;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        some.push_back(entries[i]);
        if (i % 2 == 0 && i % 160 != 0) some.back().status = EndpointStatus::draining;
    }
    harness.handle(1, full_list(some));
    std::set<EndpointId> used;
    for (std::uint64_t session = 1; session <= 200; ++session)
        used.insert(
            arrive(harness, "s" + std::to_string(session), 10 + static_cast<Millis>(session), session));
    EXPECT_EQ(used.count(0), 0u);
    EXPECT_EQ(used.size(), 20u) << "all twenty healthy prefill endpoints are used";
}

TEST(HashRing, ContainsWhatWasInsertedAndFindsTheSameWindowForAKey) {
    std::vector<int> items(50);
    stats::HashRing<int> ring;
    stats::HashRing<int> other;
    for (std::size_t i = 0; i < items.size(); ++i) ring.insert(i, &items[i]);
    for (std::size_t i = items.size(); i-- > 0;) other.insert(i, &items[i]);
    ring.insert(3, &items[3]);
    EXPECT_EQ(ring.size(), 50u);
    EXPECT_TRUE(std::is_sorted(ring.by_id().begin(), ring.by_id().end()));
    for (std::uint64_t key = 1; key < 20; ++key) {
        std::vector<int*> window;
        std::vector<int*> same;
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
