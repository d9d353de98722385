// One test for each failure found, and for each guard's symptom.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

class Guards : public ::testing::Test {
protected:
    void start(Settings settings, const std::vector<Endpoint>& servers) {
        bench = std::make_unique<Bench>(settings);
        bench->feed(0, list(servers));
    }
    EndpointId read_at(const RequestId& id, Millis now) {
        bench->feed(now, arrival(id, now));
        const auto start = bench->all<StartAttempt>();
        return start.empty() ? 0 : start[0].endpoint;
    }
    // Takes a request through read and stream, `pace` ms a stage, wherever the Router sends it.
    EndpointId serve(const RequestId& id, Millis now) {
        const EndpointId r = read_at(id, now);
        if (!r) return 0;
        bench->feed(now + 5, outcome(id, 0, r, AttemptResult::prefill_done));
        const auto start = bench->all<StartAttempt>();
        if (start.empty()) return r;
        bench->feed(now + 8, FirstToken{id, 1, start[0].endpoint, 3});
        bench->feed(now + 9, outcome(id, 1, start[0].endpoint, AttemptResult::served, true));
        return r;
    }
    static constexpr Millis kNever = 1e18;
    // A request every 50 ms, read at once at reader 1. `length` of its stream, by its writer and the time;
    // `moved` is told where one was taken off.
    void stream(int count, const std::function<Millis(EndpointId, Millis)>& length,
                const std::function<void(EndpointId)>& moved) {
        std::multimap<Millis, RequestId> ends;
        std::map<RequestId, EndpointId> where;
        for (int i = 0; i < count; ++i) {
            const Millis now = 50.0 * (i + 1);
            while (!ends.empty() && ends.begin()->first <= now) {
                const RequestId id = ends.begin()->second;
                ends.erase(ends.begin());
                if (where.count(id))
                    bench->feed(now - 1, outcome(id, 1, where[id], AttemptResult::served, true));
                where.erase(id);
            }
            bench->run_to(now);
            for (const auto& migrate : bench->all<MigrateStream>()) {
                moved(where[migrate.request]);
                bench->feed(
                    now, outcome(migrate.request, 1, where[migrate.request], AttemptResult::cancelled, true));
                where.erase(migrate.request);
            }
            const RequestId id = "s" + std::to_string(i);
            if (!read_at(id, now)) continue;
            bench->feed(now + 1, outcome(id, 0, 1, AttemptResult::prefill_done));
            const auto start = bench->all<StartAttempt>();
            if (start.empty()) continue;
            bench->feed(now + 2, FirstToken{id, 1, start[0].endpoint, 1});
            where[id] = start[0].endpoint;
            ends.emplace(now + length(start[0].endpoint, now), id);
        }
    }
    void TearDown() override { EXPECT_EQ(bench->checker.breaches, std::vector<std::string>{}); }
    std::unique_ptr<Bench> bench;
};

TEST_F(Guards, AnUnreachableServerIsLeftOnceASecondConnectionFails) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    const EndpointId dead = read_at("a", 10);
    bench->feed(20, outcome("a", 0, dead, AttemptResult::unreachable));
    EXPECT_NE(bench->all<StartAttempt>().at(0).endpoint, dead);
    int n = 0;
    while (read_at("b" + std::to_string(++n), 25) != dead) ASSERT_LT(n, 10);
    bench->feed(28, outcome("b" + std::to_string(n), 0, dead, AttemptResult::unreachable));
    for (int i = 0; i < 10; ++i) EXPECT_NE(read_at("r" + std::to_string(i), 30 + i), dead);
}

TEST_F(Guards, AQuicklyFailingServerDoesNotAttractLoad) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    int at_bad = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const Millis now = 10 + 5 * i;
        EndpointId to = read_at(id, now);
        int attempt = 0;
        while (to == 1) {
            ++at_bad;
            bench->feed(now + 1, outcome(id, attempt++, 1, AttemptResult::error));
            const auto a = bench->all<StartAttempt>();
            to = a.empty() ? 0 : a[0].endpoint;
        }
        if (to) bench->feed(now + 2, outcome(id, attempt, to, AttemptResult::prefill_done));
        bench->feed(now + 3, ClientDisconnected{id});
    }
    EXPECT_LE(at_bad, 8);
}

TEST_F(Guards, ASilentReaderIsFoundByWorkStillOutAndItsRequestsMoveOn) {
    start(plain_settings(), {reader(1), reader(2), reader(3), writer(11)});
    for (int i = 0; i < 40; ++i) {
        bench->run_to(9 + 20 * i);
        serve("w" + std::to_string(i), 10 + 20 * i);
    }
    bench->run_to(899);
    const EndpointId silent = read_at("stuck", 900);
    bench->run_to(1600);  // within the aim of a second
    const auto stops = bench->all<StopAttempt>();
    ASSERT_EQ(stops.size(), 1u);
    bench->feed(1601, outcome("stuck", 0, silent, AttemptResult::cancelled));
    ASSERT_EQ(bench->all<StartAttempt>().size(), 1u);
    EXPECT_NE(bench->all<StartAttempt>()[0].endpoint, silent);
}

// The gateway stands still for two seconds: no timer comes, then all that waited comes at once. None of the
// servers whose work was out is left for it, and the key's window still counts from the send.
TEST_F(Guards, AnOwnStandstillIsBlamedOnNobody) {
    Settings settings = plain_settings();
    settings.classes[0].deadline = 10000;
    start(settings, {reader(1), reader(2), reader(3), writer(11), writer(12)});
    for (int i = 0; i < 40; ++i) {
        bench->run_to(9 + 20 * i);
        serve("w" + std::to_string(i), 10 + 20 * i);
    }
    bench->run_to(899);
    std::map<RequestId, EndpointId> at;
    for (int i = 0; i < 4; ++i) at["p" + std::to_string(i)] = read_at("p" + std::to_string(i), 900);
    bench->feed(2900, ClientDisconnected{"nobody"});  // the first that is heard after it
    bench->run_to(2901);                              // and every timer that fell due meanwhile
    EXPECT_TRUE(bench->all<StopAttempt>().empty());
    for (const auto& [id, server] : at) {
        bench->feed(2902, outcome(id, 0, server, AttemptResult::prefill_done));
        EXPECT_EQ(bench->all<StartAttempt>().size(), 1u) << id;
    }
    std::set<EndpointId> used;
    for (int i = 0; i < 30; ++i) used.insert(read_at("n" + std::to_string(i), 2910 + i));
    EXPECT_EQ(used.size(), 3u);
    bench->run_to(3100);
    EXPECT_TRUE(bench->all<StopAttempt>().empty());
}

TEST_F(Guards, StreamsLeaveASilentWriter) {
    start(plain_settings(), {reader(1), writer(11), writer(12), writer(13), writer(14)});
    // Streams of 800 ms; from 4 s on those at writer 11 never end.
    int moved_well = 0, moved_silent = 0, late = 0;
    stream(
        240,
        [&](EndpointId at, Millis now) {
            if (now > 9000) late += at == 11;
            return at != 11 || now < 4000 ? 800 : kNever;
        },
        [&](EndpointId at) { ++(at == 11 ? moved_silent : moved_well); });
    EXPECT_GT(moved_silent, 0);
    EXPECT_EQ(moved_well, 0);
    EXPECT_LE(late, 3);
}

TEST_F(Guards, OverloadDoesNotFlagTheFleet) {
    start(plain_settings(), {reader(1), reader(2), reader(3), reader(4), writer(11)});
    for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i), 10 + 20 * i);
    for (int i = 0; i < 8; ++i) read_at("slow" + std::to_string(i), 900);
    bench->run_to(1400);
    // All four are equally silent: at most half of them may be given up on.
    EXPECT_LE(bench->all<StopAttempt>().size(), 4u);
}

// Found on sockets: a connection that broke under one request took a whole server out, and its return counted
// as a cold start.
TEST_F(Guards, OneBrokenConnectionShunsNobody) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    int n = 0;
    Millis now = 10;
    // The next read that goes to `server` ends so; those before it end well. Of 30 none may go there: "".
    const auto next_at = [&](EndpointId server, AttemptResult result) {
        for (int i = 0; i < 30; ++i) {
            const RequestId id = "r" + std::to_string(++n);
            const EndpointId to = read_at(id, now += 2);
            bench->feed(now += 1, outcome(id, 0, to, to == server ? result : AttemptResult::prefill_done));
            const auto a = bench->all<StartAttempt>();
            bench->feed(now += 1, ClientDisconnected{id});
            if (!a.empty()) bench->feed(now, outcome(id, 1, a[0].endpoint, AttemptResult::not_sent, true));
            if (to == server) return true;
        }
        return false;
    };
    for (const AttemptResult one : {AttemptResult::reset, AttemptResult::unreachable}) {
        EXPECT_TRUE(next_at(1, one));
        EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
        EXPECT_TRUE(next_at(1, one));  // answered in between: alone again
        EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
        for (int i = 0; i < 5; ++i) EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
    }
    EXPECT_TRUE(next_at(1, AttemptResult::unreachable));
    EXPECT_TRUE(next_at(1, AttemptResult::unreachable));  // two running: it is down
    EXPECT_FALSE(next_at(1, AttemptResult::prefill_done));
}

// Found on sockets: streams spoilt on the way, from any server alike, took one writer after another out.
TEST_F(Guards, BrokenStreamsShunNoWriter) {
    start(plain_settings(), {reader(1), writer(11), writer(12), writer(13)});
    int broken = 0, after = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = "s" + std::to_string(i);
        const Millis now = 10 + 20 * i;
        if (!read_at(id, now)) continue;
        bench->feed(now + 1, outcome(id, 0, 1, AttemptResult::prefill_done));
        const auto a = bench->all<StartAttempt>();
        ASSERT_FALSE(a.empty());
        const bool bad = a[0].endpoint == 11;
        after += bad && broken >= 3;
        broken += bad;
        bench->feed(now + 2, FirstToken{id, 1, a[0].endpoint, 1});
        bench->feed(now + 9,
                    outcome(id, 1, a[0].endpoint, bad ? AttemptResult::reset : AttemptResult::served, true));
    }
    EXPECT_GT(after, 5);
}

// Found on sockets: streams of very different length made one equal writer after another look slow.
TEST_F(Guards, ChanceMovesFewStreams) {
    start(plain_settings(), {reader(1), writer(11), writer(12), writer(13), writer(14)});
    std::mt19937_64 random(7);
    std::exponential_distribution<double> length(1.0 / 800);
    int moved = 0, streams = 0;
    stream(
        1500,
        [&](EndpointId, Millis) {
            ++streams;
            return length(random);
        },
        [&](EndpointId) { ++moved; });
    EXPECT_GT(streams, 1000);
    EXPECT_LE(moved, streams / 100);
}

TEST_F(Guards, ASuspectComesBackByATrickle) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    EndpointId dead = read_at("a", 10);
    bench->feed(12, outcome("a", 0, dead, AttemptResult::unreachable));
    int n = 0;
    while (read_at("b" + std::to_string(++n), 15) != dead) ASSERT_LT(n, 10);
    bench->feed(20, outcome("b" + std::to_string(n), 0, dead, AttemptResult::unreachable));
    const Millis later = 20 + 1000 + 1;  // the least pause is the shortest aim
    int back = 0;
    for (int i = 0; i < 10; ++i) back += read_at("t" + std::to_string(i), later) == dead;
    EXPECT_EQ(back, 1);
}

// Needed on long days: servers are replaced all the time, under ids that never come again.
TEST_F(Guards, AServerThatIsLongGoneIsForgotten) {
    for (const Millis away : {5000.0, 70000.0}) {
        start(plain_settings(), {reader(1), reader(2), writer(11)});
        for (Millis now = 10; now < 20;) {
            const RequestId id = "a" + std::to_string(now);
            const EndpointId to = read_at(id, now += 1);
            bench->feed(
                now, outcome(id, 0, to, to == 1 ? AttemptResult::unreachable : AttemptResult::prefill_done));
            const auto a = bench->all<StartAttempt>();
            bench->feed(now, ClientDisconnected{id});
            if (!a.empty()) bench->feed(now, outcome(id, 1, a[0].endpoint, AttemptResult::not_sent, true));
        }
        bench->feed(30, list({reader(2), writer(11)}));
        bench->run_to(30 + away);
        bench->feed(30 + away, list({reader(1), reader(2), writer(11)}));
        int back = 0;
        for (int i = 0; i < 8; ++i) back += read_at("t" + std::to_string(i), 40 + away) == 1;
        if (away > 60000) {
            EXPECT_GT(back, 1) << "judged afresh";
        } else {
            EXPECT_EQ(back, 1) << "one request at a time, as a suspect";
        }
        EXPECT_EQ(bench->checker.breaches, std::vector<std::string>{});
    }
}

TEST_F(Guards, AColdServerGetsLessThanItsPeers) {
    std::vector<Endpoint> servers = {reader(1), reader(2), writer(11)};
    start(plain_settings(), servers);
    for (int i = 0; i < 100; ++i) serve("w" + std::to_string(i), 10 + 20 * i);
    Endpoint cold = reader(3);
    cold.started_at = 2000;
    bench->feed(2020, EndpointUpdate{EndpointUpdate::Kind::incremental, {cold}});
    std::map<EndpointId, int> n;
    for (int i = 0; i < 100; ++i) ++n[serve("c" + std::to_string(i), 2030 + 20 * i)];
    EXPECT_GT(n[3], 0);
    EXPECT_LT(n[3], std::max(n[1], n[2]));
}

TEST_F(Guards, OnlyColdServersStillGetATrickle) {
    Endpoint endpoint = reader(1), w = writer(11);
    endpoint.started_at = w.started_at = 1;
    start(plain_settings(), {endpoint, w});
    EXPECT_EQ(read_at("a", 10), 1u);
}

TEST_F(Guards, DrainingServersGetNothing) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    Endpoint endpoint = reader(1);
    endpoint.status = EndpointStatus::draining;
    bench->feed(5, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    for (int i = 0; i < 6; ++i) EXPECT_EQ(read_at("a" + std::to_string(i), 10 + i), 2u);
    bench->feed(20, list({reader(1), writer(11)}));  // 2 is missing from a full list: removed
    EXPECT_EQ(read_at("z", 30), 1u);
}

TEST_F(Guards, WithoutServersARequestIsRefusedAtOnce) {
    start(plain_settings(), {});
    bench->feed(10, arrival("a", 10));
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
}

// Guards against a log that cannot say why a request was refused or failed: each cause in one case.
TEST_F(Guards, AFinalAnswerTellsItsCause) {
    const auto cause = [this] {
        const auto refused = bench->all<Reject>();
        const auto failed = bench->all<Fail>();
        EXPECT_EQ(refused.size() + failed.size(), 1u);
        return refused.empty() ? failed.at(0).cause : refused.at(0).cause;
    };
    start(plain_settings(), {});
    bench->feed(10, arrival("a", 10));
    EXPECT_EQ(cause(), EndCause::no_decode_endpoint);

    start(plain_settings(), {writer(11)});
    bench->feed(10, arrival("a", 10));
    EXPECT_EQ(cause(), EndCause::no_endpoint) << "no reader";

    start(plain_settings(), {reader(1), writer(11)});
    read_at("a", 10);
    bench->run_to(5010);
    EXPECT_EQ(cause(), EndCause::deadline);

    start(plain_settings(), {reader(1), writer(11)});
    read_at("a", 10);
    bench->feed(20, Shutdown{});
    EXPECT_EQ(cause(), EndCause::shutdown);

    Settings once = plain_settings();
    once.classes[0].idempotency = Idempotency::unsafe;
    start(once, {reader(1), writer(11)});
    bench->feed(20, outcome("a", 0, read_at("a", 10), AttemptResult::prefill_done));
    bench->feed(30, outcome("a", 1, 11, AttemptResult::reset));
    EXPECT_EQ(cause(), EndCause::may_have_run);

    Settings two = plain_settings();
    two.max_attempts = 2;
    start(two, {reader(1), writer(11)});
    bench->feed(20, outcome("a", 0, read_at("a", 10), AttemptResult::prefill_done));
    bench->feed(30, outcome("a", 1, 11, AttemptResult::rejected));
    EXPECT_EQ(cause(), EndCause::attempts_exhausted);
}

TEST_F(Guards, AFullHouseEndsInOneAnswerWithNothingHeld) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    Millis now = 30;
    int attempt = 1;
    while (!bench->all<StartAttempt>().empty())
        bench->feed(now++, outcome("a", attempt++, 11, AttemptResult::rejected));
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
    EXPECT_LE(attempt, 6);
}

TEST_F(Guards, OddRequestsGetOneAnswer) {
    start(plain_settings(), {reader(1), writer(11)});
    bench->feed(10, arrival("empty", 10, 0));
    EXPECT_EQ(bench->all<StartAttempt>().size(), 1u);
    Arrival late = arrival("late", 10);
    late.deadline = 5;
    bench->checker.event(10, late);
    bench->actions.clear();
    bench->router.handle(10, late, bench->actions);
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
    bench->checker.event(10, ClientDisconnected{"late"});
}

TEST_F(Guards, TheDeadlineEndsARequestAndItsReadIsDropped) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->run_to(5010);
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
    bench->feed(5012, outcome("a", 0, r, AttemptResult::prefill_done));
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
    EXPECT_TRUE(bench->all<StartAttempt>().empty());
}

TEST_F(Guards, AGoneClientsStateIsDropped) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(15, ClientDisconnected{"a"});
    EXPECT_EQ(bench->all<StopAttempt>().size(), 1u);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done, true));
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
}

TEST_F(Guards, AStreamCalledOffAsItBeganIsStillOwedAnAnswer) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    bench->feed(30, FirstToken{"a", 1, 11, 5});
    bench->checker.breaches.clear();
    // The drill of the wire ends such an attempt as cancelled and the request as still open.
    bench->actions.clear();
    bench->router.handle(40, outcome("a", 1, 11, AttemptResult::cancelled), bench->actions);
    EXPECT_EQ(bench->all<StartAttempt>().size() + bench->all<Reject>().size(), 1u);
}

TEST_F(Guards, AOnceRequestThatMayHaveRunIsFailedNotRefused) {
    Settings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::unsafe;
    start(settings, {reader(1), writer(11), writer(12)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    const EndpointId w = bench->all<StartAttempt>().at(0).endpoint;
    bench->feed(30, outcome("a", 1, w, AttemptResult::reset));
    EXPECT_EQ(bench->all<Fail>().size(), 1u);
    EXPECT_TRUE(bench->all<StartAttempt>().empty());
}

TEST_F(Guards, AKeyedRequestStaysInItsGroup) {
    Settings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_scope = DedupScope::zone;
    settings.classes[0].dedup_window = 5000;
    start(settings, {reader(1, 0), writer(11, 0), writer(12, 1), writer(13, 0)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    const EndpointId w = bench->all<StartAttempt>().at(0).endpoint;
    bench->feed(30, outcome("a", 1, w, AttemptResult::reset));
    EXPECT_EQ(bench->all<StartAttempt>().at(0).endpoint, w == 11 ? 13u : 11u);
}

TEST_F(Guards, AKeyedRequestIsReadAnewInItsGroupOnly) {
    Settings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_scope = DedupScope::zone;
    settings.classes[0].dedup_window = 5000;
    start(settings, {reader(1, 0), writer(11, 1), reader(2, 0), reader(3, 0)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    bench->feed(30, outcome("a", 1, 11, AttemptResult::reset));
    ASSERT_EQ(bench->all<StartAttempt>().size(), 1u);
    AttemptEnded no_state = outcome("a", 2, 11, AttemptResult::rejected);
    no_state.detail = 1;
    bench->feed(40, no_state);
    EXPECT_TRUE(bench->all<StartAttempt>().empty())
        << "a read is a send, and no reader is in the writer's zone";
    EXPECT_EQ(bench->all<Fail>().size(), 1u);
    EXPECT_TRUE(bench->checker.breaches.empty()) << bench->checker.breaches[0];
}

TEST_F(Guards, AKeyedRequestIsNotRepeatedWhereItsWindowMayCloseOnTheWay) {
    Settings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::with_key;
    settings.classes[0].dedup_window = 1000;
    settings.connect_timeout = 250;
    for (const Millis reset_at : {600.0, 700.0}) {
        start(settings, {reader(1), reader(2), writer(11), writer(12)});
        const EndpointId r = read_at("a", 10);
        bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
        const EndpointId w = bench->all<StartAttempt>().at(0).endpoint;
        bench->feed(reset_at, outcome("a", 1, w, AttemptResult::reset));
        if (reset_at < 650) {
            ASSERT_EQ(bench->all<StartAttempt>().size(), 1u);
            const Millis send_by = bench->all<StartAttempt>()[0].send_by;
            EXPECT_GT(send_by, reset_at);
            EXPECT_LE(send_by, 20 + 1000 - 0.5 * 250) << "its bytes need time to arrive";
        } else {
            EXPECT_TRUE(bench->all<StartAttempt>().empty());
            EXPECT_EQ(bench->all<Reject>().size(), 1u)
                << "all servers drop its repeats, so it may come again";
        }
        EXPECT_TRUE(bench->checker.breaches.empty());
    }
}

TEST_F(Guards, AShutdownRefusesWhatNeverRanAndFailsWhatMayHaveRun) {
    struct Case {
        Idempotency effect;
        DedupScope group;
        bool refused_unsent, refused_sent;
    };
    const Case cases[] = {{Idempotency::idempotent, DedupScope::all, true, true},
                          {Idempotency::with_key, DedupScope::all, true, true},
                          {Idempotency::with_key, DedupScope::cell, true, false},
                          {Idempotency::unsafe, DedupScope::all, true, false}};
    for (const Case& c : cases) {
        Settings settings = plain_settings();
        settings.classes[0].idempotency = c.effect, settings.classes[0].dedup_scope = c.group,
        settings.classes[0].dedup_window = 5000;
        start(settings, {reader(1), reader(2), writer(11), writer(12)});
        // One was read and its connection to the writer did not come up; one waits for the writer's answer.
        const EndpointId unsent = read_at("unsent", 10);
        const EndpointId sent = read_at("sent", 11);
        bench->feed(20, outcome("sent", 0, sent, AttemptResult::prefill_done));
        bench->feed(21, outcome("unsent", 0, unsent, AttemptResult::reset));
        const auto again = bench->all<StartAttempt>();
        ASSERT_EQ(again.size(), 1u);
        bench->feed(22, outcome("unsent", 1, again[0].endpoint, AttemptResult::rejected));
        bench->feed(30, Shutdown{});
        const auto refused = [this](const RequestId& id) {
            const auto all = bench->all<Reject>();
            return std::any_of(all.begin(), all.end(),
                               [&](const Reject& reject) { return reject.request == id; });
        };
        EXPECT_EQ(bench->all<Reject>().size() + bench->all<Fail>().size(), 2u);
        EXPECT_EQ(refused("sent"), c.refused_sent);
        EXPECT_TRUE(bench->checker.breaches.empty()) << bench->checker.breaches[0];
        bench->feed(31, Shutdown{});
        EXPECT_EQ(bench->all<Reject>().size() + bench->all<Fail>().size(), 0u) << "one answer each";
    }
}

TEST_F(Guards, AShutdownLeavesStreamsThatHaveBegun) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    bench->feed(30, FirstToken{"a", 1, 11, 5});
    bench->feed(40, Shutdown{});
    EXPECT_TRUE(bench->actions.empty());
}

TEST_F(Guards, WhereTheListMustBeAskedForItIs) {
    Settings settings = plain_settings();
    settings.discovery = Discovery::poll;
    settings.poll_interval = 10000;
    start(settings, {reader(1), writer(11)});
    EXPECT_EQ(bench->all<WatchEndpoints>().size(), 1u);
    bench->feed(100, EndpointUpdate{EndpointUpdate::Kind::failed, {}});
    bench->run_to(1000);
    EXPECT_EQ(bench->all<WatchEndpoints>().size(), 1u);
}

TEST_F(Guards, OverloadShedsOverShareTenantsFirst) {
    Settings settings = plain_settings();
    settings.tenants = {{1}, {1000}};
    settings.over_quota_weight = 0.05;
    start(settings, {reader(1), writer(11)});
    int refused[2] = {0, 0};
    for (int i = 0; i < 26; ++i) {
        Arrival a = arrival("r" + std::to_string(i), 10 + i);
        a.tenant = i % 2;
        bench->feed(10 + i, a);
        refused[i % 2] += static_cast<int>(bench->all<Reject>().size());
    }
    EXPECT_GT(refused[0], refused[1]);
}

TEST_F(Guards, AStateThatIsOnlyCutOffIsLetGo) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    AttemptEnded cut = outcome("a", 1, 11, AttemptResult::rejected);
    cut.detail = 1;  // the writer could not fetch it; it may still stand at the reader
    bench->feed(30, cut);
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
    EXPECT_EQ(bench->all<StartAttempt>().size(), 1u);  // and it is read again
}

// The host's lease on a state ends (control/kv_lease): what it has let go of is not written from again.
TEST_F(Guards, AStateThatTheHostHasLetGoOfIsReadAnew) {
    start(plain_settings(), {reader(1), writer(11), writer(12)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    ASSERT_EQ(bench->all<StartAttempt>().size(), 1u);
    const EndpointId at = bench->all<StartAttempt>()[0].endpoint;
    bench->feed(320, LeaseReleased{"a"});
    EXPECT_TRUE(bench->all<StartAttempt>().empty()) << "the write that is out goes on";
    bench->feed(330, outcome("a", 1, at, AttemptResult::unreachable));
    ASSERT_EQ(bench->all<StartAttempt>().size(), 1u);
    EXPECT_EQ(bench->all<StartAttempt>()[0].endpoint, r);
    EXPECT_EQ(bench->checker.breaches, std::vector<std::string>{});
    bench->feed(340, LeaseReleased{"unknown"});
    EXPECT_TRUE(bench->actions.empty());
}

TEST_F(Guards, AWriteThatIsAnsweredAfterItsStateWasLetGoOfIsServed) {
    start(plain_settings(), {reader(1), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(20, outcome("a", 0, r, AttemptResult::prefill_done));
    bench->feed(320, LeaseReleased{"a"});
    bench->feed(400, FirstToken{"a", 1, 11, 380});
    bench->feed(500, outcome("a", 1, 11, AttemptResult::served, true));
    EXPECT_TRUE(bench->all<StartAttempt>().empty());
    EXPECT_EQ(bench->checker.breaches, std::vector<std::string>{});
}

TEST_F(Guards, AReadWhoseEndWasLostIsLetGo) {
    start(plain_settings(), {reader(1), reader(2), writer(11)});
    const EndpointId r = read_at("a", 10);
    bench->feed(400, outcome("a", 0, r, AttemptResult::reset));
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
}

TEST_F(Guards, ALateStateIsGivenUpWhenOthersWait) {
    start(plain_settings(), {reader(1), writer(11)});
    for (int i = 0; i < 3; ++i) {
        const RequestId id = "w" + std::to_string(i);
        ASSERT_EQ(read_at(id, 10 + i), 1u);
        bench->feed(20 + i, outcome(id, 0, 1, AttemptResult::prefill_done));
    }
    // Two or more wait at the only writer; this read ends after its aim of a second.
    ASSERT_EQ(read_at("late", 30), 1u);
    bench->feed(1100, outcome("late", 0, 1, AttemptResult::prefill_done));
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
    EXPECT_EQ(bench->all<Reject>().at(0).cause, EndCause::decode_too_late);
    EXPECT_EQ(bench->all<ReleaseLease>().size(), 1u);
}

TEST_F(Guards, ALateStateIsServedWhenNobodyWaits) {
    start(plain_settings(), {reader(1), writer(11)});
    ASSERT_EQ(read_at("late", 30), 1u);
    bench->feed(1100, outcome("late", 0, 1, AttemptResult::prefill_done));
    EXPECT_EQ(bench->all<StartAttempt>().size(), 1u);
}

TEST_F(Guards, AStreamDoesNotLetShortWaitsFlagItsWriter) {
    start(plain_settings(), {reader(1), writer(11), writer(12), writer(13)});
    // A stream, then a wait at the same writer of well under half the aim.
    ASSERT_EQ(read_at("s", 1300), 1u);
    bench->feed(1301, outcome("s", 0, 1, AttemptResult::prefill_done));
    const EndpointId w = bench->all<StartAttempt>().at(0).endpoint;
    bench->feed(1302, FirstToken{"s", 1, w, 1});
    for (int i = 0; i < 3; ++i) {
        const RequestId id = "x" + std::to_string(i);
        ASSERT_EQ(read_at(id, 1303 + i), 1u);
        bench->feed(1310 + i, outcome(id, 0, 1, AttemptResult::prefill_done));
    }
    bench->run_to(1700);
    EXPECT_TRUE(bench->all<MigrateStream>().empty());
}

TEST_F(Guards, ABurstIsShedBeforeItsReadsReachTheWriters) {
    start(plain_settings(), {reader(1), reader(2), reader(3), reader(4), writer(11)});
    int refused = 0;
    for (int i = 0; i < 60; ++i) refused += read_at("b" + std::to_string(i), 10) == 0;
    EXPECT_GT(refused, 0);  // the reads alone, 15 a reader, would still be in time
    EXPECT_LT(refused, 55);
}

// Found on the fleet bench (engines site): of 12,000 refusals on a long day nearly all were prompts of more
// than 8,000 tokens, as the wait foreseen was the usual time for a thousand tokens, queue and all, times
// their length.
TEST_F(Guards, ALongPromptIsNotRefusedForItsLength) {
    Settings settings = plain_settings();
    settings.classes[1].priority_weight = settings.classes[0].priority_weight / 3;
    for (auto& class_settings : settings.classes) class_settings.latency_objective_per_1000_tokens = 40;
    start(settings, {reader(1), reader(2), writer(11), writer(12)});
    Millis now = 10;
    for (int i = 0; i < 40; ++i, now += 150) {
        const std::string id = "s" + std::to_string(i);
        bench->run_to(now);
        const EndpointId at = read_at(id, now);
        bench->run_to(now + 90);
        bench->feed(now + 90, outcome(id, 0, at, AttemptResult::prefill_done));
        const EndpointId w = bench->all<StartAttempt>().at(0).endpoint;
        bench->feed(now + 100, FirstToken{id, 1, w, 10});
        bench->feed(now + 140, outcome(id, 1, w, AttemptResult::served, true));
    }
    bench->feed(now, arrival("out", now));  // something is out, so that waits are foreseen
    Arrival a = arrival("long", now + 1, 16000);
    a.cls = 1;
    bench->feed(now + 1, a);
    EXPECT_TRUE(bench->all<Reject>().empty());
    EXPECT_EQ(bench->all<StartAttempt>().size(), 1u);
}

TEST_F(Guards, NothingIsReadWhileEveryWriterIsDown) {
    start(plain_settings(), {reader(1), writer(11)});
    ASSERT_EQ(read_at("a", 10), 1u);
    bench->feed(20, outcome("a", 0, 1, AttemptResult::prefill_done));
    int attempt = 1;
    for (Millis now = 30; !bench->all<StartAttempt>().empty(); ++now) {
        bench->feed(now, outcome("a", attempt++, 11, AttemptResult::unreachable));
    }
    EXPECT_EQ(read_at("b", 100), 0u);
    EXPECT_EQ(bench->all<Reject>().size(), 1u);
    EXPECT_EQ(read_at("c", 100 + 2001), 1u);  // the longest pause of a server that is down: two aims
}

TEST_F(Guards, UnknownThingsChangeNothing) {
    start(plain_settings(), {reader(1), writer(11)});
    bench->actions.clear();
    bench->router.handle(1, outcome("nobody", 0, 1, AttemptResult::served, true), bench->actions);
    bench->router.handle(1, outcome("nobody", 0, 999, AttemptResult::reset), bench->actions);
    bench->router.handle(1, FirstToken{"nobody", 0, 1, 1}, bench->actions);
    bench->router.handle(1, ReservationReply{"nobody", 1, true}, bench->actions);
    bench->router.handle(1, HealthCheckResult{999, true, 1, {}}, bench->actions);
    bench->router.handle(1, ClientDisconnected{"nobody"}, bench->actions);
    bench->router.handle(1, TimerFired{12345}, bench->actions);
    EXPECT_TRUE(bench->actions.empty());
}

TEST(Settings, WhatCannotBeMetIsRefusedByName) {
    const auto why = [](const Settings& settings) -> std::string {
        try {
            Router router(settings, 1);
        } catch (const std::invalid_argument& e) {
            return e.what();
        }
        return "";
    };
    Settings settings = plain_settings();
    settings.classes.clear();
    EXPECT_NE(why(settings).find("classes"), std::string::npos);
    settings = plain_settings();
    settings.kinds = {{Role::prefill, 1000}};
    EXPECT_NE(why(settings).find("kinds"), std::string::npos);
    settings = plain_settings();
    settings.classes[1].latency_objective = 0;
    EXPECT_NE(why(settings).find("aim"), std::string::npos);
    EXPECT_EQ(why(plain_settings()), "");
}

}  // namespace
}  // namespace gorsenotch::test
