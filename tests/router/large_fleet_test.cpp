// What only shows with many gateways, each of which sees little: sums over Routers, and picks that own queues
// cannot make. The same guards are held against few gateways where they act there too.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

// A number of gateways in front of one fleet. Every read and answer succeeds at once but where `fails` says
// so.
class Fleet {
public:
    Fleet(int gateways, std::vector<Endpoint> servers) : servers_(std::move(servers)) {
        settings.gateways = gateways;
        for (int g = 0; g < gateways; ++g) restart(g, 0);
    }
    void restart(int g, Millis now) {
        if (static_cast<std::size_t>(g) >= routers_.size()) routers_.emplace_back();
        routers_[static_cast<std::size_t>(g)] = std::make_unique<Bench>(settings, ++seed_);
        routers_[static_cast<std::size_t>(g)]->feed(now, list(servers_));
    }
    void add(const Endpoint& endpoint, Millis now) {
        servers_.push_back(endpoint);
        for (auto& r : routers_) r->feed(now, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    }
    // One request through gateway g; false if it got no answer.
    bool serve(int g, Millis now, std::uint64_t session, int cls = 0) {
        Bench& b = *routers_[static_cast<std::size_t>(g)];
        b.run_to(now);
        const RequestId id = "r" + std::to_string(++serial_);
        Arrival a = arrival(id, now);
        a.session = session, a.cls = cls;
        b.feed(now, a);
        for (int attempt = 0;; ++attempt) {
            const auto sends = b.all<StartAttempt>();
            if (sends.size() != 1) return false;
            const EndpointId at = sends[0].endpoint;
            ++sent[at], sent_at[at].push_back(now);
            const bool reads = at < 100;
            if (fails && fails(at, cls)) {
                b.feed(now + 1, outcome(id, attempt, at, AttemptResult::timed_out));
            } else if (reads) {
                b.feed(now + 1, outcome(id, attempt, at, AttemptResult::prefill_done));
            } else {
                b.feed(now + 2, FirstToken{id, attempt, at, 1});
                b.feed(now + 3, outcome(id, attempt, at, AttemptResult::served, true));
                return true;
            }
        }
    }
    std::vector<std::string> breaches() const {
        std::vector<std::string> all;
        for (const auto& r : routers_) {
            all.insert(all.end(), r->checker.breaches.begin(), r->checker.breaches.end());
        }
        return all;
    }

    Settings settings = plain_settings();
    std::map<EndpointId, int> sent;
    std::map<EndpointId, std::deque<Millis>> sent_at;
    std::function<bool(EndpointId, int)> fails;

private:
    std::vector<Endpoint> servers_;
    std::vector<std::unique_ptr<Bench>> routers_;
    std::uint64_t seed_ = 0, serial_ = 0;
};

std::vector<Endpoint> pairs(int n) {
    std::vector<Endpoint> servers;
    for (int i = 1; i <= n; ++i) {
        servers.push_back(reader(static_cast<EndpointId>(i)));
        servers.push_back(writer(static_cast<EndpointId>(100 + i)));
    }
    return servers;
}

struct Traffic {
    int gateways;
    bool skewed;        // a tenth of the gateways see over four times the mean
    bool herd = false;  // seven in ten gateways start anew just after the cold server
    int of(int request) const {
        if (skewed && request % 3 == 0) return request / 3 % std::max(1, gateways / 10);
        return request % gateways;
    }
};
class ColdInSum : public ::testing::TestWithParam<Traffic> {};

// Guards against a cold server pushed over by gateways of which each keeps to a budget of its own.
TEST_P(ColdInSum, StaysWithinTheBudgetAndStillGetsWork) {
    const int gateways = GetParam().gateways;
    Fleet fleet(gateways, pairs(10));
    // 120 requests a second over eleven readers in the end: 10.9 each, at 60% of what a warm one can do.
    const double capacity = 120 / 11.0 / 0.6, per_ms = 0.12;
    const auto& settings = fleet.settings;
    const Millis started = 5000, warm = started + settings.slow_start_duration, end = warm + 5000;
    int next = 0;
    bool cold = false;
    for (Millis now = 10; now < end; now += 1 / per_ms) {
        if (now >= started && !cold) {
            Endpoint endpoint = reader(50);
            endpoint.started_at = started;
            fleet.add(endpoint, now);
            cold = true;
            for (int i = 0; GetParam().herd && i < gateways; ++i) {
                if (i % 10 < 7) fleet.restart(i, now);
            }
        }
        ++next;
        if (gateways > 2 && next % 40 == 0) fleet.restart(next / 40 % gateways, now);
        fleet.serve(GetParam().of(next), now, static_cast<std::uint64_t>(next));
    }
    const auto& at = fleet.sent_at[50];
    std::size_t first = 0, in_warm_up = 0;
    for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[first] <= at[i] - settings.overload_window) ++first;
        // Even if it gains nothing: the present capacity is at least that of the start.
        EXPECT_LE(static_cast<double>(i - first + 1), settings.overload_factor * settings.initial_capacity *
                                                          capacity * settings.overload_window / 1000)
            << "at " << at[i];
        if (at[i] > warm) break;
        ++in_warm_up;
    }
    EXPECT_GT(in_warm_up, 20u);                  // of 109 that a warm one would get
    EXPECT_GT(at.size() - in_warm_up, 54u / 2);  // its share comes back
    EXPECT_EQ(fleet.breaches(), std::vector<std::string>{});
}
INSTANTIATE_TEST_SUITE_P(Gateways, ColdInSum,
                         ::testing::Values(Traffic{2, false}, Traffic{25, false}, Traffic{120, false},
                                           Traffic{200, false}, Traffic{300, false}, Traffic{25, true},
                                           Traffic{300, true}, Traffic{25, true, true},
                                           Traffic{300, true, true}));

// The budget of a server in slow start binds in a fleet of any size, at any traffic, and while gateways
// restart and forget what they have sent: N + 3 x root of N + 3 requests in the window, N being what the
// settings allow then.
struct Size {
    int gateways;
    double per_second;     // requests, in sum
    Millis restart_every;  // between the restarts of two gateways; 0: none
};
class SlowStartAtAnySize : public ::testing::TestWithParam<Size> {};

TEST_P(SlowStartAtAnySize, KeepsTheBudget) {
    const Size& size = GetParam();
    Fleet fleet(size.gateways, pairs(10));
    const auto& settings = fleet.settings;
    const double capacity = size.per_second / 11.0 / 0.6;
    const Millis started = 8000, warm = started + settings.slow_start_duration;
    Endpoint cold = reader(50);
    cold.started_at = started;
    bool listed = false;
    int next = 0, restarts = 0;
    for (Millis now = 10; now < warm; now += 1000 / size.per_second) {
        if (now >= started && !std::exchange(listed, true)) fleet.add(cold, now);
        if (size.restart_every > 0 && now > started && now > started + size.restart_every * restarts)
            fleet.restart(restarts++ % size.gateways, now);
        ++next;
        fleet.serve(next % size.gateways, now, static_cast<std::uint64_t>(next));
    }
    const auto& at = fleet.sent_at[50];
    std::size_t first = 0;
    for (std::size_t i = 0; i < at.size(); ++i) {
        while (at[first] <= at[i] - settings.overload_window) ++first;
        const double share = settings.initial_capacity + (1 - settings.initial_capacity) * (at[i] - started) /
                                                             settings.slow_start_duration;
        const double n = settings.overload_factor * share * capacity * settings.overload_window / 1000;
        EXPECT_LE(static_cast<double>(i - first + 1), n + 3 * std::sqrt(n) + 3) << "at " << at[i];
    }
    EXPECT_EQ(fleet.breaches(), std::vector<std::string>{});
}
INSTANTIATE_TEST_SUITE_P(Sizes, SlowStartAtAnySize,
                         ::testing::Values(Size{1, 4, 0}, Size{1, 4, 300}, Size{2, 5, 300}, Size{3, 6, 200},
                                           Size{4, 3, 150}, Size{4, 30, 100}, Size{4, 120, 50},
                                           Size{5, 10, 100}, Size{12, 20, 50}, Size{60, 60, 20},
                                           Size{300, 120, 10}, Size{900, 120, 5}, Size{900, 20, 10}));

// Guards against the few writers of a cell full of readers drawing all that is read there.
TEST(Many, WritersAreDealtOverTheCells) {
    Fleet fleet(100, {reader(1, 0), reader(2, 0), reader(3, 0), reader(4, 1), writer(101, 0), writer(102, 1),
                      writer(103, 1), writer(104, 1)});
    for (int i = 0; i < 400; ++i) {
        ASSERT_TRUE(fleet.serve(i % 100, 10 + 10.0 * i, static_cast<std::uint64_t>(i + 1)));
    }
    EXPECT_LT(fleet.sent[101], 160);  // an even share is 100; all that is read beside it would be 240 or more
    EXPECT_GT(fleet.sent[101], 60);
}

// Guards against the readers of a zone with few jamming while others idle.
TEST(Many, AZoneWithFewReadersGivesReadsAway) {
    Fleet fleet(100, {reader(1, 0), reader(2, 1), reader(3, 1), reader(4, 1), reader(5, 1), writer(101, 0),
                      writer(102, 1), writer(103, 1), writer(104, 1), writer(105, 1)});
    for (int i = 0; i < 400; ++i) fleet.serve(i % 100, 10 + 10.0 * i, static_cast<std::uint64_t>(i + 1));
    EXPECT_LT(fleet.sent[1], 220);  // all in the own zone would be 400; a fifth, for two zones, is 160
    EXPECT_GT(fleet.sent[1], 100);  // and the own zone is still preferred
}

// Found on the fleet bench (calm day, a burst and forgotten texts): reads given up after 0.4 of the aim were
// read anew elsewhere, the jam stayed, and a third of the attempts timed out.
TEST(Many, AReadIsNotGivenUpWhileItsAnswerIsStillWanted) {
    Settings settings = plain_settings();
    settings.gateways = 100;
    Bench bench(settings);
    bench.feed(0, list(pairs(6)));
    bench.feed(10, arrival("a", 10));
    ASSERT_EQ(bench.all<StartAttempt>().size(), 1u);
    const StartAttempt read = bench.all<StartAttempt>()[0];
    EXPECT_GE(read.timeout, 2 * settings.classes[0].latency_objective);
    bench.feed(30, outcome("a", 0, read.endpoint, AttemptResult::prefill_done));
    ASSERT_EQ(bench.all<StartAttempt>().size(), 1u);
    EXPECT_LT(bench.all<StartAttempt>()[0].timeout, settings.classes[0].latency_objective)
        << "a wait is short work, and is moved soon";
    // Where servers report their load the next pick is an informed one, and a read is moved sooner.
    AttemptEnded heard = outcome("a", 1, bench.all<StartAttempt>()[0].endpoint, AttemptResult::served, true);
    heard.report.memory_utilization = 0.3;
    bench.feed(40, FirstToken{"a", 1, heard.endpoint, 1});
    bench.feed(50, heard);
    bench.feed(60, arrival("b", 60));
    ASSERT_EQ(bench.all<StartAttempt>().size(), 1u);
    EXPECT_LT(bench.all<StartAttempt>()[0].timeout, 2 * settings.classes[0].latency_objective);
}

// Found there too: the gateways of a zone whose readers jam never looked into the other zone, as what they
// knew nothing of counted as no better than what they had.
TEST(Many, AZoneThatJamsGivesItsReadsAway) {
    Settings settings = plain_settings();
    settings.gateways = 100;
    int away = 0, first = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Bench bench(settings, seed);
        std::vector<Endpoint> servers;
        for (EndpointId i = 1; i <= 6; ++i) {
            servers.push_back(reader(i, i > 3));
            servers.push_back(writer(100 + i, i > 3));
        }
        bench.feed(0, list(servers));
        for (int i = 0; i < 30; ++i) {
            const Millis now = 10 + 1000.0 * i;
            bench.run_to(now);
            const RequestId id = "r" + std::to_string(i);
            Arrival a = arrival(id, now);
            a.session = seed * 100 + static_cast<std::uint64_t>(i);
            bench.feed(now, a);
            const auto sends = bench.all<StartAttempt>();
            if (sends.size() != 1) continue;
            const EndpointId at = sends[0].endpoint;
            (i < 3 ? first : away) += i < 3 || i >= 20 ? at > 3 : 0;
            const Millis took = at > 3 ? 30 : 1.2 * settings.classes[0].latency_objective;
            bench.run_to(now + took);
            bench.feed(now + took, outcome(id, 0, at, AttemptResult::prefill_done));
            for (const auto& start : bench.all<StartAttempt>()) {
                bench.feed(now + took + 1, FirstToken{id, 1, start.endpoint, 1});
                bench.feed(now + took + 2, outcome(id, 1, start.endpoint, AttemptResult::served, true));
            }
        }
    }
    EXPECT_LT(first, 10) << "of 60: the own zone comes first";
    EXPECT_GT(away, 100) << "of 200";
}

// Guards against refusals for a long time after one jammed reader was met, while others idle: a gateway that
// has one read out and knows of nothing else refuses only when that read has long been too late.
TEST(Many, OneReadThatIsLateRefusesNobodySoon) {
    Settings settings = plain_settings();
    settings.gateways = 100;
    const auto refuses_after = [&](Millis age) {
        Bench bench(settings);
        bench.feed(0, list(pairs(6)));
        bench.feed(10, arrival("a", 10));
        bench.run_to(10 + age);
        bench.feed(10 + age, arrival("b", 10 + age));
        return !bench.all<Reject>().empty();
    };
    EXPECT_FALSE(refuses_after(0.5 * settings.classes[0].latency_objective));
    EXPECT_FALSE(refuses_after(1.2 * settings.classes[0].latency_objective));
    EXPECT_TRUE(refuses_after(4 * settings.classes[0].latency_objective)) << "and then it does";
}

TEST(Many, ASessionKeepsItsReaderAtAllGateways) {
    Fleet fleet(100, pairs(12));
    for (std::uint64_t session = 1; session <= 20; ++session) {
        fleet.sent.clear();
        for (int turn = 0; turn < 5; ++turn) {
            fleet.serve((static_cast<int>(session) * 7 + turn * 13) % 100,
                        10 + 1000.0 * static_cast<double>(session), session);
        }
        int readers = 0;
        for (const auto& [id, n] : fleet.sent) readers += id < 100;
        EXPECT_EQ(readers, 1) << "session " << session;
    }
}

// Found on a deployment with one class and few openings: six readers jammed on a calm day while forty idled,
// as each opening had one home and no gateway saw enough of it to notice.
TEST(Many, AHotOpeningIsSharedByReadersAndARareOneHasOneHome) {
    Settings settings = plain_settings();
    settings.gateways = 100;
    const std::uint64_t hot = 7;
    std::map<EndpointId, int> hot_reads;
    std::map<std::uint64_t, std::map<EndpointId, int>> rare_reads;
    int hot_sum = 0;
    for (std::uint64_t gateway = 1; gateway <= 30; ++gateway) {
        Bench bench(settings, gateway);
        bench.feed(0, list(pairs(20)));
        for (std::uint64_t i = 0; i < 80; ++i) {
            const Millis now = 10 + 600.0 * static_cast<double>(i);
            bench.run_to(now);
            const RequestId id = "r" + std::to_string(i);
            Arrival a = arrival(id, now, 3000);
            a.session = gateway * 1000 + i;
            a.shared_prefix = i % 5 < 2 ? hot : 100 + (gateway * 7 + i) % 40;
            a.shared_prefix_tokens = 2600;
            bench.feed(now, a);
            const auto sends = bench.all<StartAttempt>();
            ASSERT_EQ(sends.size(), 1u);
            const EndpointId at = sends[0].endpoint;
            if (i >= 40 && a.shared_prefix == hot) ++hot_reads[at], ++hot_sum;
            if (a.shared_prefix != hot) ++rare_reads[a.shared_prefix][at];
            bench.feed(now + 20, outcome(id, 0, at, AttemptResult::prefill_done));
            const EndpointId writer = bench.all<StartAttempt>().at(0).endpoint;
            bench.feed(now + 30, FirstToken{id, 1, writer, 5});
            bench.feed(now + 40, outcome(id, 1, writer, AttemptResult::served, true));
        }
    }
    for (const auto& [id, n] : hot_reads) EXPECT_LT(n, 0.35 * hot_sum) << "reader " << id;
    EXPECT_LE(hot_reads.size(), 8u) << "the gateways agree on its homes";
    double home = 0, all = 0;
    for (const auto& [prefix, readers] : rare_reads) {
        int most = 0;
        for (const auto& [id, n] : readers) most = std::max(most, n), all += n;
        home += most;
    }
    EXPECT_GT(home / all, 0.7);
}

// Guards against a request spent on one server: it looks idle to a gateway that has nothing else there.
TEST(Many, ARequestLeavesTheServerThatFailedIt) {
    for (const int gateways : {2, 100}) {
        Fleet fleet(gateways, pairs(6));
        fleet.fails = [](EndpointId at, int) { return at == 3 || at == 103; };
        for (int g = 0; g < gateways; ++g) {
            for (int i = 0; i < 4; ++i) {
                const int before = fleet.sent[3], writes = fleet.sent[103];
                fleet.serve(g, 10 + 1000.0 * i, static_cast<std::uint64_t>(g * 10 + i + 1));
                EXPECT_LE(fleet.sent[3], before + 1);
                EXPECT_LE(fleet.sent[103], writes + 1);
            }
        }
        EXPECT_EQ(fleet.breaches(), std::vector<std::string>{});
    }
}

// One class left unanswered: it leaves the server, on one failure; the others come back to it after the
// pause.
TEST(Many, AClassLeavesServersThatLeaveItUnanswered) {
    Fleet fleet(100, {reader(1), reader(2), reader(3), writer(101)});
    fleet.fails = [](EndpointId at, int cls) { return at == 1 && cls == 0; };
    std::uint64_t session = 0;
    // How many of the gateways' requests meet reader 1; `who` are those that do.
    const auto meet = [&](const std::vector<int>& gateways, Millis now, int cls) {
        std::vector<int> who;
        for (const int g : gateways) {
            const int before = fleet.sent[1];
            fleet.serve(g, now, ++session, cls);
            if (fleet.sent[1] > before) who.push_back(g);
        }
        return who;
    };
    std::vector<int> all(100);
    std::iota(all.begin(), all.end(), 0);
    const std::vector<int> hurt = meet(all, 10, 0);
    ASSERT_GT(hurt.size(), 15u);
    EXPECT_EQ(meet(hurt, 9100, 0).size(), 0u);   // the pause of a suspect is over, the grudge is not
    EXPECT_GT(meet(hurt, 12000, 1).size(), 3u);  // which is the class's own
    EXPECT_EQ(meet(hurt, 15000, 0).size(), 0u);
    EXPECT_GT(meet(hurt, 31000, 0).size(), 3u);  // later it is tried again
}

// Guards against retry storms of gateways that have only just started: their credits add up.
TEST(Many, TheRetryCreditOfManyGatewaysIsSmall) {
    for (const auto& [gateways, most] : {std::pair{2, 20}, std::pair{200, 4}}) {
        Fleet fleet(gateways, pairs(8));
        fleet.fails = [](EndpointId, int) { return true; };
        int sends = 0;
        for (int i = 0; i < 20; ++i) fleet.serve(0, 10, static_cast<std::uint64_t>(i + 1));
        for (const auto& [id, n] : fleet.sent) sends += n;
        EXPECT_LE(sends, 20 + most);
        EXPECT_GT(sends, 2);
    }
}

TEST(Many, OddFleetsAreDecidedSensibly) {
    Fleet empty(200, {});
    EXPECT_FALSE(empty.serve(0, 10, 1));
    Fleet one(200, {reader(1), writer(101)});
    EXPECT_TRUE(one.serve(0, 10, 1));
    Fleet no_writer(200, {reader(1), reader(2)});
    EXPECT_FALSE(no_writer.serve(0, 10, 1));
    Fleet foreign(200, {reader(1, 1), writer(101, 1)});  // nothing in the own zone
    EXPECT_TRUE(foreign.serve(0, 10, 1));
    for (Fleet* f : {&empty, &one, &no_writer, &foreign}) {
        EXPECT_EQ(f->breaches(), std::vector<std::string>{});
    }
}

// A rack that restarts at once: half the fleet comes back cold, the sum at each keeps its budget and work
// goes on.
TEST(Many, ARackThatRestartsComesBackGently) {
    Fleet fleet(100, pairs(8));
    std::uint64_t session = 0;
    for (Millis now = 10; now < 4000; now += 10) {
        ++session;
        fleet.serve(static_cast<int>(session % 100), now, session);
    }
    for (EndpointId id = 1; id <= 4; ++id) {
        Endpoint endpoint = reader(id);
        endpoint.started_at = 4000;
        fleet.add(endpoint, 4010);
    }
    fleet.sent.clear();
    int served = 0, asked = 0;
    for (Millis now = 4020; now < 6020; now += 10) {
        ++session, ++asked;
        served += fleet.serve(static_cast<int>(session % 100), now, session);
    }
    EXPECT_EQ(served, asked);
    for (EndpointId id = 1; id <= 4; ++id) {
        // 12.5 a second each before, at 60% of what they can do; two seconds.
        EXPECT_LE(fleet.sent[id], 2.5 * 0.3 * 12.5 / 0.6 * 2);
    }
    EXPECT_GT(fleet.sent[1] + fleet.sent[2] + fleet.sent[3] + fleet.sent[4], 10);
}

}  // namespace
}  // namespace gorsenotch::test
