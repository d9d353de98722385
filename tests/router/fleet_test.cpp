// Endpoint selection in fleets that are too large to scan in full: a selection considers a window of the
// endpoints, and the guarantees for small fleets still hold.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "router/router_harness.h"
#include "stats/hash_ring.h"

namespace gorsenotch::test {
namespace {

constexpr int kEndpoints = 3200;
constexpr int kCellSize = 6;

std::vector<Endpoint> large_fleet_list() {
    std::vector<Endpoint> listed;
    for (int i = 0; i < kEndpoints; ++i) {
        const auto id = static_cast<EndpointId>(1000 + i);
        listed.push_back(i % 2 == 0 ? prefill_endpoint(id, i / kCellSize % 2)
                                    : decode_endpoint(id, i / kCellSize % 2));
        listed.back().cell = static_cast<std::uint64_t>(i) / kCellSize + 1;
    }
    return listed;
}

struct LargeFleetTest : ::testing::Test {
    std::vector<Endpoint> listed = large_fleet_list();
    Settings settings = [] {
        Settings large = test_settings();
        large.gateways = 300;
        large.connect_timeout = 250;
        return large;
    }();
    // The endpoint of the first attempt in the latest actions, 0 if there is none.
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
    RouterHarness first_gateway(settings, 1);
    RouterHarness second_gateway(settings, 2);
    first_gateway.handle(1, full_list(listed));
    second_gateway.handle(1, full_list(listed));
    std::map<EndpointId, int> endpoints_used;
    for (std::uint64_t session = 1; session <= 400; ++session) {
        const auto now = 10 + static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        const EndpointId endpoint = arrive(first_gateway, id, now, session);
        ASSERT_NE(endpoint, 0u);
        EXPECT_EQ(arrive(second_gateway, id, now, session), endpoint);
        ++endpoints_used[endpoint];
    }
    EXPECT_GT(endpoints_used.size(), 300u) << "400 sessions over 1,600 prefill endpoints";
    EXPECT_TRUE(first_gateway.checker.violations.empty());
}

TEST_F(LargeFleetTest, DecodeStaysInThePrefillsCell) {
    RouterHarness harness(settings, 1);
    harness.handle(1, full_list(listed));
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

// Guards against healthy endpoints that no request finds because they are outside its window: all endpoints
// but two are draining.
TEST_F(LargeFleetTest, RemainingHealthyEndpointsAreFoundOutsideTheWindow) {
    RouterHarness harness(settings, 1);
    harness.handle(1, full_list(listed));
    EndpointUpdate drains{EndpointUpdate::Kind::incremental, {}};
    for (std::size_t i = 0; i < listed.size(); ++i) {
        if (i == 1234 || i == 1235) continue;
        drains.endpoints.push_back(listed[i]);
        drains.endpoints.back().status = EndpointStatus::draining;
    }
    harness.handle(2, drains);
    for (std::uint64_t session = 1; session <= 20; ++session) {
        const auto now = 500 + 100 * static_cast<Millis>(session);
        const RequestId id = "s" + std::to_string(session);
        ASSERT_EQ(arrive(harness, id, now, session), listed[1234].id);
        harness.handle(now + 10, attempt_ended(id, 0, listed[1234].id, AttemptResult::prefill_done));
        ASSERT_EQ(attempted_endpoint(harness), listed[1235].id);
        FirstToken first{id, 1, listed[1235].id, 20};
        harness.handle(now + 30, first);
        harness.handle(now + 60, attempt_ended(id, 1, listed[1235].id, AttemptResult::served, true));
    }
    EXPECT_TRUE(harness.checker.violations.empty()) << harness.checker.violations.front();
}

TEST_F(LargeFleetTest, WhereMostPrefillEndpointsDrainAllOthersAreUsed) {
    RouterHarness harness(settings, 1);
    // Windows contain only healthy endpoints, however few there are.
    std::vector<Endpoint> partly_drained;
    for (std::size_t i = 0; i < listed.size(); ++i) {
        partly_drained.push_back(listed[i]);
        if (i % 2 == 0 && i % 160 != 0) partly_drained.back().status = EndpointStatus::draining;
    }
    harness.handle(1, full_list(partly_drained));
    std::set<EndpointId> endpoints_used;
    for (std::uint64_t session = 1; session <= 200; ++session)
        endpoints_used.insert(
            arrive(harness, "s" + std::to_string(session), 10 + static_cast<Millis>(session), session));
    EXPECT_EQ(endpoints_used.count(0), 0u);
    EXPECT_EQ(endpoints_used.size(), 20u) << "all twenty healthy prefill endpoints are used";
}

TEST(HashRing, WindowDependsOnlyOnItemsAndKey) {
    std::vector<int> items(50);
    stats::HashRing<int> ring;
    stats::HashRing<int> reversed_ring;
    for (std::size_t i = 0; i < items.size(); ++i) ring.insert(i, &items[i]);
    for (std::size_t i = items.size(); i-- > 0;) reversed_ring.insert(i, &items[i]);
    ring.insert(3, &items[3]);
    EXPECT_EQ(ring.size(), 50u);
    EXPECT_TRUE(std::is_sorted(ring.by_id().begin(), ring.by_id().end()));
    for (std::uint64_t key = 1; key < 20; ++key) {
        std::vector<int*> window;
        std::vector<int*> reversed_window;
        ring.window(key, 12, window);
        reversed_ring.window(key, 12, reversed_window);
        EXPECT_EQ(window, reversed_window) << "independent of the insertion order";
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
