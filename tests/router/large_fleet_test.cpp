// Behaviour with many gateways, each of which handles few requests: totals over all Routers, and decisions
// for which the queues of a single gateway are not sufficient. Rules that also apply to few gateways are
// tested with both.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

constexpr EndpointId kFirstDecodeEndpoint = 100;

// Several gateways that share a fleet of endpoints. Every attempt succeeds immediately unless `fails` returns
// true for its endpoint and class.
class Fleet {
public:
    Fleet(int gateways, std::vector<Endpoint> endpoints) : endpoints_(std::move(endpoints)) {
        settings.gateways = gateways;
        for (int gateway = 0; gateway < gateways; ++gateway) restart(gateway, 0);
    }
    void restart(int gateway, Millis now) {
        const auto index = static_cast<std::size_t>(gateway);
        if (index >= routers_.size()) routers_.emplace_back();
        routers_[index] = std::make_unique<RouterHarness>(settings, ++seed_);
        routers_[index]->handle(now, full_list(endpoints_));
    }
    void add(const Endpoint& endpoint, Millis now) {
        endpoints_.push_back(endpoint);
        for (auto& router : routers_)
            router->handle(now, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    }
    // Runs a request through a gateway. Returns whether it was served.
    bool serve(int gateway, Millis now, std::uint64_t session, int cls = 0) {
        RouterHarness& harness = *routers_[static_cast<std::size_t>(gateway)];
        harness.advance_to(now);
        const RequestId id = "r" + std::to_string(++serial_);
        Arrival request = arrival(id, now);
        request.session = session;
        request.cls = cls;
        harness.handle(now, request);
        for (int attempt = 0;; ++attempt) {
            const auto attempts = harness.actions_of<StartAttempt>();
            if (attempts.size() != 1) return false;
            const EndpointId at = attempts[0].endpoint;
            ++sent[at];
            sent_at[at].push_back(now);
            const bool is_prefill = at < kFirstDecodeEndpoint;
            if (fails && fails(at, cls)) {
                harness.handle(now + 1, attempt_ended(id, attempt, at, AttemptResult::timed_out));
            } else if (is_prefill) {
                harness.handle(now + 1, attempt_ended(id, attempt, at, AttemptResult::prefill_done));
            } else {
                harness.handle(now + 2, FirstToken{id, attempt, at, 1});
                harness.handle(now + 3, attempt_ended(id, attempt, at, AttemptResult::served, true));
                return true;
            }
        }
    }
    std::vector<std::string> violations() const {
        std::vector<std::string> all;
        for (const auto& router : routers_) {
            const auto& found = router->checker.violations;
            all.insert(all.end(), found.begin(), found.end());
        }
        return all;
    }

    Settings settings = test_settings();
    std::map<EndpointId, int> sent;
    std::map<EndpointId, std::deque<Millis>> sent_at;
    std::function<bool(EndpointId, int)> fails;

private:
    std::vector<Endpoint> endpoints_;
    std::vector<std::unique_ptr<RouterHarness>> routers_;
    std::uint64_t seed_ = 0;
    std::uint64_t serial_ = 0;
};

// `n` prefill endpoints with ids from 1 and `n` decode endpoints with ids from 101.
std::vector<Endpoint> prefill_decode_pairs(int n) {
    std::vector<Endpoint> endpoints;
    for (int i = 1; i <= n; ++i) {
        endpoints.push_back(prefill_endpoint(static_cast<EndpointId>(i)));
        endpoints.push_back(decode_endpoint(static_cast<EndpointId>(100 + i)));
    }
    return endpoints;
}

struct Traffic {
    int gateways;
    bool skewed;                // a tenth of the gateways get more than four times the mean load
    bool mass_restart = false;  // 70% of the gateways restart just after the warming endpoint
    int gateway_of(int request) const {
        if (skewed && request % 3 == 0) return request / 3 % std::max(1, gateways / 10);
        return request % gateways;
    }
};
class SlowStartOfManyGatewaysTest : public ::testing::TestWithParam<Traffic> {};

// Guards against a warming endpoint that is overloaded by many gateways, each of which stays within its own
// budget.
TEST_P(SlowStartOfManyGatewaysTest, StaysWithinTheBudgetAndStillGetsWork) {
    const int gateways = GetParam().gateways;
    Fleet fleet(gateways, prefill_decode_pairs(10));
    // 120 requests per second over finally eleven prefill endpoints: 10.9 each, which is 60% of the capacity
    // of a warm endpoint.
    const double capacity = 120 / 11.0 / 0.6;
    const double requests_per_ms = 0.12;
    const auto& settings = fleet.settings;
    const Millis start_time = 5000;
    const Millis warm_time = start_time + settings.slow_start_duration;
    const Millis end = warm_time + 5000;
    int next = 0;
    bool is_listed = false;
    for (Millis now = 10; now < end; now += 1 / requests_per_ms) {
        if (now >= start_time && !is_listed) {
            Endpoint endpoint = prefill_endpoint(50);
            endpoint.started_at = start_time;
            fleet.add(endpoint, now);
            is_listed = true;
            for (int i = 0; GetParam().mass_restart && i < gateways; ++i) {
                if (i % 10 < 7) fleet.restart(i, now);
            }
        }
        ++next;
        if (gateways > 2 && next % 40 == 0) fleet.restart(next / 40 % gateways, now);
        fleet.serve(GetParam().gateway_of(next), now, static_cast<std::uint64_t>(next));
    }
    const auto& at = fleet.sent_at[50];
    std::size_t window_start = 0;
    std::size_t in_warm_up = 0;
    for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[window_start] <= at[i] - settings.overload_window) ++window_start;
        // The limit is the budget of the initial capacity, although the capacity grows during the slow start.
        EXPECT_LE(
            static_cast<double>(i - window_start + 1),
            settings.overload_factor * settings.initial_capacity * capacity * settings.overload_window / 1000)
            << "at " << at[i];
        if (at[i] > warm_time) break;
        ++in_warm_up;
    }
    EXPECT_GT(in_warm_up, 20u);                  // a warm endpoint would get 109
    EXPECT_GT(at.size() - in_warm_up, 54u / 2);  // more than half of its share after the slow start
    EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
}
INSTANTIATE_TEST_SUITE_P(Gateways, SlowStartOfManyGatewaysTest,
                         ::testing::Values(Traffic{2, false}, Traffic{25, false}, Traffic{120, false},
                                           Traffic{200, false}, Traffic{300, false}, Traffic{25, true},
                                           Traffic{300, true}, Traffic{25, true, true},
                                           Traffic{300, true, true}));

// The slow-start budget is kept with any number of gateways, at any request rate, and while gateways restart
// and lose their record of sent requests: at most N + 3 x sqrt(N) + 3 requests in the overload window, where
// N is the number that the settings allow.
struct FleetSize {
    int gateways;
    double per_second;     // requests, over all gateways
    Millis restart_every;  // time between gateway restarts; 0: no restarts
};
class SlowStartAtAnySizeTest : public ::testing::TestWithParam<FleetSize> {};

TEST_P(SlowStartAtAnySizeTest, KeepsTheBudget) {
    const FleetSize& fleet_size = GetParam();
    Fleet fleet(fleet_size.gateways, prefill_decode_pairs(10));
    const auto& settings = fleet.settings;
    const double capacity = fleet_size.per_second / 11.0 / 0.6;
    const Millis started = 8000;
    const Millis warm = started + settings.slow_start_duration;
    Endpoint warming_endpoint = prefill_endpoint(50);
    warming_endpoint.started_at = started;
    bool listed = false;
    int next = 0;
    int restarts = 0;
    for (Millis now = 10; now < warm; now += 1000 / fleet_size.per_second) {
        if (now >= started && !std::exchange(listed, true)) fleet.add(warming_endpoint, now);
        if (fleet_size.restart_every > 0 && now > started &&
            now > started + fleet_size.restart_every * restarts)
            fleet.restart(restarts++ % fleet_size.gateways, now);
        ++next;
        fleet.serve(next % fleet_size.gateways, now, static_cast<std::uint64_t>(next));
    }
    const auto& at = fleet.sent_at[50];
    std::size_t window_start = 0;
    for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[window_start] <= at[i] - settings.overload_window) ++window_start;
        const double share = settings.initial_capacity + (1 - settings.initial_capacity) * (at[i] - started) /
                                                             settings.slow_start_duration;
        const double budget = settings.overload_factor * share * capacity * settings.overload_window / 1000;
        EXPECT_LE(static_cast<double>(i - window_start + 1), budget + 3 * std::sqrt(budget) + 3)
            << "at " << at[i];
    }
    EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
}
INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartAtAnySizeTest,
                         ::testing::Values(FleetSize{1, 4, 0}, FleetSize{1, 4, 300}, FleetSize{2, 5, 300},
                                           FleetSize{3, 6, 200}, FleetSize{4, 3, 150}, FleetSize{4, 30, 100},
                                           FleetSize{4, 120, 50}, FleetSize{5, 10, 100},
                                           FleetSize{12, 20, 50}, FleetSize{60, 60, 20},
                                           FleetSize{300, 120, 10}, FleetSize{900, 120, 5},
                                           FleetSize{900, 20, 10}));

// Guards against overload of the few decode endpoints in a cell with many prefill endpoints: they must not
// get all requests that are prefilled there.
TEST(ManyGatewaysTest, DecodesAreSpreadOverTheCells) {
    Fleet fleet(100, {prefill_endpoint(1, 0), prefill_endpoint(2, 0), prefill_endpoint(3, 0),
                      prefill_endpoint(4, 1), decode_endpoint(101, 0), decode_endpoint(102, 1),
                      decode_endpoint(103, 1), decode_endpoint(104, 1)});
    for (int i = 0; i < 400; ++i) {
        ASSERT_TRUE(fleet.serve(i % 100, 10 + 10.0 * i, static_cast<std::uint64_t>(i) + 1));
    }
    EXPECT_LT(fleet.sent[101], 160);  // an equal share is 100; all prefills of its cell would be 240 or more
    EXPECT_GT(fleet.sent[101], 60);
}

// Guards against overload of a zone with few prefill endpoints while endpoints of other zones are idle.
TEST(ManyGatewaysTest, ZoneWithFewPrefillEndpointsSpillsOver) {
    Fleet fleet(
        100, {prefill_endpoint(1, 0), prefill_endpoint(2, 1), prefill_endpoint(3, 1), prefill_endpoint(4, 1),
              prefill_endpoint(5, 1), decode_endpoint(101, 0), decode_endpoint(102, 1),
              decode_endpoint(103, 1), decode_endpoint(104, 1), decode_endpoint(105, 1)});
    for (int i = 0; i < 400; ++i) fleet.serve(i % 100, 10 + 10.0 * i, static_cast<std::uint64_t>(i) + 1);
    // All requests in the own zone would be 400; a fifth of the endpoints serving two zones would be 160.
    EXPECT_LT(fleet.sent[1], 220);
    EXPECT_GT(fleet.sent[1], 100);  // the own zone is still preferred
}

// Guards against prefills that time out after 0.4 of the latency objective and are repeated elsewhere. This
// does not shorten the queues, and a third of the attempts time out.
TEST(ManyGatewaysTest, PrefillTimeoutIsLongAtALowSampleRateWithoutALoadSignal) {
    Settings settings = test_settings();
    settings.gateways = 100;
    RouterHarness harness(settings);
    harness.handle(0, full_list(prefill_decode_pairs(6)));
    harness.handle(10, arrival("a", 10));
    ASSERT_EQ(harness.actions_of<StartAttempt>().size(), 1u);
    const StartAttempt prefill = harness.actions_of<StartAttempt>()[0];
    EXPECT_GE(prefill.timeout, 2 * settings.classes[0].latency_objective);
    harness.handle(30, attempt_ended("a", 0, prefill.endpoint, AttemptResult::prefill_done));
    ASSERT_EQ(harness.actions_of<StartAttempt>().size(), 1u);
    EXPECT_LT(harness.actions_of<StartAttempt>()[0].timeout, settings.classes[0].latency_objective)
        << "a waiting decode attempt is cheap to repeat and has a short timeout";
    // With load reports the next selection is better informed, so a prefill is retried sooner.
    AttemptEnded decoded =
        attempt_ended("a", 1, harness.actions_of<StartAttempt>()[0].endpoint, AttemptResult::served, true);
    decoded.report.memory_utilization = 0.3;
    harness.handle(40, FirstToken{"a", 1, decoded.endpoint, 1});
    harness.handle(50, decoded);
    harness.handle(60, arrival("b", 60));
    ASSERT_EQ(harness.actions_of<StartAttempt>().size(), 1u);
    EXPECT_LT(harness.actions_of<StartAttempt>()[0].timeout, 2 * settings.classes[0].latency_objective);
}

// Guards against gateways in an overloaded zone that never try the other zone, because endpoints without
// samples were assumed to be as slow as those of the own zone.
TEST(ManyGatewaysTest, OverloadedZoneSpillsOver) {
    Settings settings = test_settings();
    settings.gateways = 100;
    int late_in_other_zone = 0;
    int early_in_other_zone = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RouterHarness harness(settings, seed);
        std::vector<Endpoint> endpoints;
        for (EndpointId i = 1; i <= 6; ++i) {
            endpoints.push_back(prefill_endpoint(i, i > 3));
            endpoints.push_back(decode_endpoint(100 + i, i > 3));
        }
        harness.handle(0, full_list(endpoints));
        for (int i = 0; i < 30; ++i) {
            const Millis now = 10 + 1000.0 * i;
            harness.advance_to(now);
            const RequestId id = "r" + std::to_string(i);
            Arrival request = arrival(id, now);
            request.session = seed * 100 + static_cast<std::uint64_t>(i);
            harness.handle(now, request);
            const auto attempts = harness.actions_of<StartAttempt>();
            if (attempts.size() != 1) continue;
            const EndpointId at = attempts[0].endpoint;
            (i < 3 ? early_in_other_zone : late_in_other_zone) += i < 3 || i >= 20 ? at > 3 : 0;
            const Millis took = at > 3 ? 30 : 1.2 * settings.classes[0].latency_objective;
            harness.advance_to(now + took);
            harness.handle(now + took, attempt_ended(id, 0, at, AttemptResult::prefill_done));
            for (const auto& start : harness.actions_of<StartAttempt>()) {
                harness.handle(now + took + 1, FirstToken{id, 1, start.endpoint, 1});
                harness.handle(now + took + 2,
                               attempt_ended(id, 1, start.endpoint, AttemptResult::served, true));
            }
        }
    }
    EXPECT_LT(early_in_other_zone, 10) << "of 60: the own zone is preferred at first";
    EXPECT_GT(late_in_other_zone, 100) << "of 200";
}

// Guards against prolonged load shedding because of one overloaded prefill endpoint while others are idle. A
// gateway with one pending prefill and no other sample rejects requests only when that prefill is very late.
TEST(ManyGatewaysTest, OneLatePrefillDoesNotCauseEarlyLoadShedding) {
    Settings settings = test_settings();
    settings.gateways = 100;
    const auto rejects_after = [&](Millis age) {
        RouterHarness harness(settings);
        harness.handle(0, full_list(prefill_decode_pairs(6)));
        harness.handle(10, arrival("a", 10));
        harness.advance_to(10 + age);
        harness.handle(10 + age, arrival("b", 10 + age));
        return !harness.actions_of<Reject>().empty();
    };
    EXPECT_FALSE(rejects_after(0.5 * settings.classes[0].latency_objective));
    EXPECT_FALSE(rejects_after(1.2 * settings.classes[0].latency_objective));
    EXPECT_TRUE(rejects_after(4 * settings.classes[0].latency_objective))
        << "a very late prefill indicates overload";
}

TEST(ManyGatewaysTest, SessionKeepsItsPrefillEndpointAtAllGateways) {
    Fleet fleet(100, prefill_decode_pairs(12));
    for (std::uint64_t session = 1; session <= 20; ++session) {
        fleet.sent.clear();
        for (int turn = 0; turn < 5; ++turn) {
            fleet.serve((static_cast<int>(session) * 7 + turn * 13) % 100,
                        10 + 1000.0 * static_cast<double>(session), session);
        }
        int prefill_endpoints = 0;
        for (const auto& [id, sent] : fleet.sent) prefill_endpoints += id < kFirstDecodeEndpoint;
        EXPECT_EQ(prefill_endpoints, 1) << "session " << session;
    }
}

// Guards against a popular shared prefix that overloads the one endpoint it is assigned to while others are
// idle. No single gateway handles enough requests of the prefix to detect this. Uses one class and few shared
// prefixes.
TEST(ManyGatewaysTest, HotPrefixIsSpreadAndRarePrefixHasOneEndpoint) {
    Settings settings = test_settings();
    settings.gateways = 100;
    const std::uint64_t hot = 7;
    std::map<EndpointId, int> hot_prefills;
    std::map<std::uint64_t, std::map<EndpointId, int>> rare_prefills;
    int hot_sum = 0;
    for (std::uint64_t gateway = 1; gateway <= 30; ++gateway) {
        RouterHarness harness(settings, gateway);
        harness.handle(0, full_list(prefill_decode_pairs(20)));
        for (std::uint64_t i = 0; i < 80; ++i) {
            const Millis now = 10 + 600.0 * static_cast<double>(i);
            harness.advance_to(now);
            const RequestId id = "r" + std::to_string(i);
            Arrival request = arrival(id, now, 3000);
            request.session = gateway * 1000 + i;
            request.shared_prefix = i % 5 < 2 ? hot : 100 + (gateway * 7 + i) % 40;
            request.shared_prefix_tokens = 2600;
            harness.handle(now, request);
            const auto attempts = harness.actions_of<StartAttempt>();
            ASSERT_EQ(attempts.size(), 1u);
            const EndpointId at = attempts[0].endpoint;
            if (i >= 40 && request.shared_prefix == hot) {
                ++hot_prefills[at];
                ++hot_sum;
            }
            if (request.shared_prefix != hot) ++rare_prefills[request.shared_prefix][at];
            harness.handle(now + 20, attempt_ended(id, 0, at, AttemptResult::prefill_done));
            const EndpointId decode_at = harness.actions_of<StartAttempt>().at(0).endpoint;
            harness.handle(now + 30, FirstToken{id, 1, decode_at, 5});
            harness.handle(now + 40, attempt_ended(id, 1, decode_at, AttemptResult::served, true));
        }
    }
    for (const auto& [id, n] : hot_prefills) EXPECT_LT(n, 0.35 * hot_sum) << "endpoint " << id;
    EXPECT_LE(hot_prefills.size(), 8u) << "all gateways use the same few endpoints";
    double at_preferred_endpoint = 0;
    double all = 0;
    for (const auto& [prefix, prefills] : rare_prefills) {
        int most = 0;
        for (const auto& [id, count] : prefills) {
            most = std::max(most, count);
            all += count;
        }
        at_preferred_endpoint += most;
    }
    EXPECT_GT(at_preferred_endpoint / all, 0.7);
}

// Guards against a request that spends all its attempts at one failing endpoint, which appears idle to a
// gateway without other requests there.
TEST(ManyGatewaysTest, RequestIsRetriedAtOtherEndpoints) {
    for (const int gateways : {2, 100}) {
        Fleet fleet(gateways, prefill_decode_pairs(6));
        fleet.fails = [](EndpointId at, int) { return at == 3 || at == 103; };
        for (int gateway = 0; gateway < gateways; ++gateway) {
            for (int i = 0; i < 4; ++i) {
                const int prefills = fleet.sent[3];
                const int decodes = fleet.sent[103];
                fleet.serve(gateway, 10 + 1000.0 * i, static_cast<std::uint64_t>(gateway * 10 + i) + 1);
                EXPECT_LE(fleet.sent[3], prefills + 1);
                EXPECT_LE(fleet.sent[103], decodes + 1);
            }
        }
        EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
    }
}

// An endpoint that fails one class is ejected for that class after a single failure. Other classes use it
// again after its ejection.
TEST(ManyGatewaysTest, ClassIsEjectedOnItsOwnFailures) {
    Fleet fleet(100, {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3), decode_endpoint(101)});
    fleet.fails = [](EndpointId at, int cls) { return at == 1 && cls == 0; };
    std::uint64_t session = 0;
    // Sends one request through each of the gateways. Returns those whose request was sent to endpoint 1.
    const auto send_through_gateways = [&](const std::vector<int>& gateways, Millis now, int cls) {
        std::vector<int> gateways_that_sent;
        for (const int gateway : gateways) {
            const int before = fleet.sent[1];
            fleet.serve(gateway, now, ++session, cls);
            if (fleet.sent[1] > before) gateways_that_sent.push_back(gateway);
        }
        return gateways_that_sent;
    };
    std::vector<int> all(100);
    std::iota(all.begin(), all.end(), 0);
    const std::vector<int> failed_gateways = send_through_gateways(all, 10, 0);
    ASSERT_GT(failed_gateways.size(), 15u);
    // At 9.1 s the endpoint's ejection has ended, that of the class has not.
    EXPECT_EQ(send_through_gateways(failed_gateways, 9100, 0).size(), 0u);
    EXPECT_GT(send_through_gateways(failed_gateways, 12000, 1).size(), 3u);  // the other class is not ejected
    EXPECT_EQ(send_through_gateways(failed_gateways, 15000, 0).size(), 0u);
    // By 31 s the ejection of the class has ended.
    EXPECT_GT(send_through_gateways(failed_gateways, 31000, 0).size(), 3u);
}

// Guards against retry storms after the start of many gateways, whose initial retry budgets add up.
TEST(ManyGatewaysTest, RetryBudgetOfManyGatewaysIsSmall) {
    struct Case {
        int gateways;
        int max_retries;
    };
    for (const auto& [gateways, max_retries] : {Case{2, 20}, Case{200, 4}}) {
        Fleet fleet(gateways, prefill_decode_pairs(8));
        fleet.fails = [](EndpointId, int) { return true; };
        int attempts = 0;
        for (int i = 0; i < 20; ++i) fleet.serve(0, 10, static_cast<std::uint64_t>(i) + 1);
        for (const auto& [id, sent] : fleet.sent) attempts += sent;
        EXPECT_LE(attempts, 20 + max_retries);
        EXPECT_GT(attempts, 2);
    }
}

TEST(ManyGatewaysTest, EmptyAndMinimalFleetsAnswer) {
    Fleet empty(200, {});
    EXPECT_FALSE(empty.serve(0, 10, 1));
    Fleet minimal(200, {prefill_endpoint(1), decode_endpoint(101)});
    EXPECT_TRUE(minimal.serve(0, 10, 1));
    Fleet no_decode(200, {prefill_endpoint(1), prefill_endpoint(2)});
    EXPECT_FALSE(no_decode.serve(0, 10, 1));
    Fleet other_zone_only(200, {prefill_endpoint(1, 1), decode_endpoint(101, 1)});  // own zone empty
    EXPECT_TRUE(other_zone_only.serve(0, 10, 1));
    for (Fleet* fleet : {&empty, &minimal, &no_decode, &other_zone_only}) {
        EXPECT_EQ(fleet->violations(), std::vector<std::string>{});
    }
}

// Half of the prefill endpoints restart at once: the requests of all gateways to each of them stay within its
// slow-start budget, and every request is served.
TEST(ManyGatewaysTest, RestartOfHalfTheFleetKeepsTheSlowStartBudget) {
    Fleet fleet(100, prefill_decode_pairs(8));
    std::uint64_t session = 0;
    for (Millis now = 10; now < 4000; now += 10) {
        ++session;
        fleet.serve(static_cast<int>(session % 100), now, session);
    }
    for (EndpointId id = 1; id <= 4; ++id) {
        Endpoint endpoint = prefill_endpoint(id);
        endpoint.started_at = 4000;
        fleet.add(endpoint, 4010);
    }
    fleet.sent.clear();
    int served = 0;
    int arrived = 0;
    for (Millis now = 4020; now < 6020; now += 10) {
        ++session;
        ++arrived;
        served += fleet.serve(static_cast<int>(session % 100), now, session);
    }
    EXPECT_EQ(served, arrived);
    for (EndpointId id = 1; id <= 4; ++id) {
        // Each served 12.5 requests per second before, which is 60% of its capacity; the window is 2 s.
        EXPECT_LE(fleet.sent[id], 2.5 * 0.3 * 12.5 / 0.6 * 2);
    }
    EXPECT_GT(fleet.sent[1] + fleet.sent[2] + fleet.sent[3] + fleet.sent[4], 10);
}

}  // namespace
}  // namespace gorsenotch::test
