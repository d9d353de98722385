// Endpoints that fail, hang or are slow are ejected; chance, overload and an own stall eject nobody.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include "router/router_fixture.h"

namespace gorsenotch::test {
namespace {

class RouterOutlierTest : public RouterFixture {};

TEST_F(RouterOutlierTest, SecondFailedConnectionEjectsEndpoint) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    const EndpointId unreachable = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, unreachable, AttemptResult::unreachable));
    EXPECT_NE(harness->actions_of<StartAttempt>().at(0).endpoint, unreachable);
    int count = 0;
    while (arrive("b" + std::to_string(++count), 25) != unreachable) ASSERT_LT(count, 10);
    harness->handle(28,
                    attempt_ended("b" + std::to_string(count), 0, unreachable, AttemptResult::unreachable));
    for (int i = 0; i < 10; ++i) EXPECT_NE(arrive("r" + std::to_string(i), 30 + i), unreachable);
}

TEST_F(RouterOutlierTest, FastFailingEndpointAttractsNoLoad) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    int failed_attempts = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const Millis now = 10 + 5 * i;
        EndpointId to = arrive(id, now);
        int attempt = 0;
        while (to == 1) {
            ++failed_attempts;
            harness->handle(now + 1, attempt_ended(id, attempt++, 1, AttemptResult::error));
            const auto attempts = harness->actions_of<StartAttempt>();
            to = attempts.empty() ? 0 : attempts[0].endpoint;
        }
        if (to) harness->handle(now + 2, attempt_ended(id, attempt, to, AttemptResult::prefill_done));
        harness->handle(now + 3, ClientDisconnected{id});
    }
    EXPECT_LE(failed_attempts, 8);
}

TEST_F(RouterOutlierTest, HungPrefillEndpointIsDetectedByPendingAttemptsAndItsRequestsAreRetried) {
    start_router(test_settings(),
                 {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3), decode_endpoint(11)});
    for (int i = 0; i < 40; ++i) {
        harness->advance_to(9 + 20 * i);
        serve("w" + std::to_string(i), 10 + 20 * i);
    }
    harness->advance_to(899);
    const EndpointId hung = arrive("stuck", 900);
    harness->advance_to(1600);  // within the latency objective of a second
    const auto stops = harness->actions_of<StopAttempt>();
    ASSERT_EQ(stops.size(), 1u);
    harness->handle(1601, attempt_ended("stuck", 0, hung, AttemptResult::cancelled));
    ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    EXPECT_NE(harness->actions_of<StartAttempt>()[0].endpoint, hung);
}

// The gateway stalls for two seconds: no timer fires, then all that waited comes at once. No endpoint with a
// pending attempt is ejected for it.
TEST_F(RouterOutlierTest, OwnStallEjectsNobody) {
    Settings settings = test_settings();
    settings.classes[0].deadline = 10000;
    start_router(settings, {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                            decode_endpoint(11), decode_endpoint(12)});
    for (int i = 0; i < 40; ++i) {
        harness->advance_to(9 + 20 * i);
        serve("w" + std::to_string(i), 10 + 20 * i);
    }
    harness->advance_to(899);
    std::map<RequestId, EndpointId> at;
    for (int i = 0; i < 4; ++i) at["p" + std::to_string(i)] = arrive("p" + std::to_string(i), 900);
    harness->handle(2900, ClientDisconnected{"nobody"});  // the first event after the stall
    harness->advance_to(2901);                            // and every timer that was due meanwhile
    EXPECT_TRUE(harness->actions_of<StopAttempt>().empty());
    for (const auto& [id, endpoint] : at) {
        harness->handle(2902, attempt_ended(id, 0, endpoint, AttemptResult::prefill_done));
        EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u) << id;
    }
    std::set<EndpointId> used;
    for (int i = 0; i < 30; ++i) used.insert(arrive("n" + std::to_string(i), 2910 + i));
    EXPECT_EQ(used.size(), 3u);
    harness->advance_to(3100);
    EXPECT_TRUE(harness->actions_of<StopAttempt>().empty());
}

TEST_F(RouterOutlierTest, StreamsMigrateOffHungDecodeEndpoint) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12),
                                   decode_endpoint(13), decode_endpoint(14)});
    // Streams of 800 ms; from 4 s on those at endpoint 11 never end.
    int migrated_from_healthy = 0;
    int migrated_from_hung = 0;
    int late = 0;
    run_streams(
        240,
        [&](EndpointId at, Millis now) {
            if (now > 9000) late += at == 11;
            return at != 11 || now < 4000 ? 800 : kNever;
        },
        [&](EndpointId at) { ++(at == 11 ? migrated_from_hung : migrated_from_healthy); });
    EXPECT_GT(migrated_from_hung, 0);
    EXPECT_EQ(migrated_from_healthy, 0);
    EXPECT_LE(late, 3);
}

TEST_F(RouterOutlierTest, OverloadEjectsAtMostHalfOfTheFleet) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                                   prefill_endpoint(4), decode_endpoint(11)});
    for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i), 10 + 20 * i);
    for (int i = 0; i < 8; ++i) arrive("slow" + std::to_string(i), 900);
    harness->advance_to(1400);
    // All four are equally slow: at most half of their attempts may be cancelled.
    EXPECT_LE(harness->actions_of<StopAttempt>().size(), 4u);
}

// Guards against a connection that broke under one request and ejected its endpoint, whose return then
// counted as a slow start.
TEST_F(RouterOutlierTest, SingleBrokenConnectionEjectsNobody) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    int count = 0;
    Millis now = 10;
    // The next prefill that goes to `server` ends with `result`, those before it succeed. False: none of 30
    // went there.
    const auto next_at = [&](EndpointId server, AttemptResult result) {
        for (int i = 0; i < 30; ++i) {
            const RequestId id = "r" + std::to_string(++count);
            const EndpointId to = arrive(id, now += 2);
            harness->handle(now += 1,
                            attempt_ended(id, 0, to, to == server ? result : AttemptResult::prefill_done));
            const auto attempts = harness->actions_of<StartAttempt>();
            harness->handle(now += 1, ClientDisconnected{id});
            if (!attempts.empty())
                harness->handle(now,
                                attempt_ended(id, 1, attempts[0].endpoint, AttemptResult::not_sent, true));
            if (to == server) return true;
        }
        return false;
    };
    for (const AttemptResult one : {AttemptResult::reset, AttemptResult::unreachable}) {
        EXPECT_TRUE(next_at(1, one));
        EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
        EXPECT_TRUE(next_at(1, one));  // a success in between: again the first failure
        EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
        for (int i = 0; i < 5; ++i) EXPECT_TRUE(next_at(1, AttemptResult::prefill_done));
    }
    EXPECT_TRUE(next_at(1, AttemptResult::unreachable));
    EXPECT_TRUE(next_at(1, AttemptResult::unreachable));  // two in succession: it is ejected
    EXPECT_FALSE(next_at(1, AttemptResult::prefill_done));
}

// Guards against streams that break in the network, from any endpoint alike, and eject one decode endpoint
// after another.
TEST_F(RouterOutlierTest, BrokenStreamsEjectNoDecodeEndpoint) {
    start_router(test_settings(),
                 {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12), decode_endpoint(13)});
    int broken = 0;
    int after = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = "s" + std::to_string(i);
        const Millis now = 10 + 20 * i;
        if (!arrive(id, now)) continue;
        harness->handle(now + 1, attempt_ended(id, 0, 1, AttemptResult::prefill_done));
        const auto attempts = harness->actions_of<StartAttempt>();
        ASSERT_FALSE(attempts.empty());
        const bool bad = attempts[0].endpoint == 11;
        after += bad && broken >= 3;
        broken += bad;
        harness->handle(now + 2, FirstToken{id, 1, attempts[0].endpoint, 1});
        harness->handle(now + 9, attempt_ended(id, 1, attempts[0].endpoint,
                                               bad ? AttemptResult::reset : AttemptResult::served, true));
    }
    EXPECT_GT(after, 5);
}

// Guards against streams of very different length that make one decode endpoint after another look slow.
TEST_F(RouterOutlierTest, VaryingStreamLengthsMigrateFewStreams) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12),
                                   decode_endpoint(13), decode_endpoint(14)});
    std::mt19937_64 random(7);
    std::exponential_distribution<double> length(1.0 / 800);
    int migrated = 0;
    int streams = 0;
    run_streams(
        1500,
        [&](EndpointId, Millis) {
            ++streams;
            return length(random);
        },
        [&](EndpointId) { ++migrated; });
    EXPECT_GT(streams, 1000);
    EXPECT_LE(migrated, streams / 100);
}

TEST_F(RouterOutlierTest, EjectedEndpointReturnsByOneTrialRequest) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    EndpointId unreachable = arrive("a", 10);
    harness->handle(12, attempt_ended("a", 0, unreachable, AttemptResult::unreachable));
    int count = 0;
    while (arrive("b" + std::to_string(++count), 15) != unreachable) ASSERT_LT(count, 10);
    harness->handle(20,
                    attempt_ended("b" + std::to_string(count), 0, unreachable, AttemptResult::unreachable));
    const Millis later = 20 + 1000 + 1;  // the shortest ejection is the shortest latency objective
    int returned = 0;
    for (int i = 0; i < 10; ++i) returned += arrive("t" + std::to_string(i), later) == unreachable;
    EXPECT_EQ(returned, 1);
}

// Endpoints are replaced all the time, under ids that never come again: their records must not pile up.
TEST_F(RouterOutlierTest, EjectionIsForgottenAfterALongRemovalFromTheList) {
    for (const Millis away : {5000.0, 70000.0}) {
        start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
        for (Millis now = 10; now < 20;) {
            const RequestId id = "a" + std::to_string(now);
            const EndpointId to = arrive(id, now += 1);
            harness->handle(
                now,
                attempt_ended(id, 0, to, to == 1 ? AttemptResult::unreachable : AttemptResult::prefill_done));
            const auto attempts = harness->actions_of<StartAttempt>();
            harness->handle(now, ClientDisconnected{id});
            if (!attempts.empty())
                harness->handle(now,
                                attempt_ended(id, 1, attempts[0].endpoint, AttemptResult::not_sent, true));
        }
        harness->handle(30, full_list({prefill_endpoint(2), decode_endpoint(11)}));
        harness->advance_to(30 + away);
        harness->handle(30 + away,
                        full_list({prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)}));
        int returned = 0;
        for (int i = 0; i < 8; ++i) returned += arrive("t" + std::to_string(i), 40 + away) == 1;
        if (away > 60000) {
            EXPECT_GT(returned, 1) << "its failures are forgotten";
        } else {
            EXPECT_EQ(returned, 1) << "one trial request at a time";
        }
        EXPECT_EQ(harness->checker.violations, std::vector<std::string>{});
    }
}

TEST_F(RouterOutlierTest, ShortWaitsBesideAStreamDoNotEjectDecodeEndpoint) {
    start_router(test_settings(),
                 {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12), decode_endpoint(13)});
    // A stream, then waits of well under half the latency objective at the same endpoint.
    ASSERT_EQ(arrive("s", 1300), 1u);
    harness->handle(1301, attempt_ended("s", 0, 1, AttemptResult::prefill_done));
    const EndpointId decode_at = harness->actions_of<StartAttempt>().at(0).endpoint;
    harness->handle(1302, FirstToken{"s", 1, decode_at, 1});
    for (int i = 0; i < 3; ++i) {
        const RequestId id = "x" + std::to_string(i);
        ASSERT_EQ(arrive(id, 1303 + i), 1u);
        harness->handle(1310 + i, attempt_ended(id, 0, 1, AttemptResult::prefill_done));
    }
    harness->advance_to(1700);
    EXPECT_TRUE(harness->actions_of<MigrateStream>().empty());
}

TEST_F(RouterOutlierTest, ArrivalsAreRejectedWhileEveryDecodeEndpointIsDown) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11)});
    ASSERT_EQ(arrive("a", 10), 1u);
    harness->handle(20, attempt_ended("a", 0, 1, AttemptResult::prefill_done));
    int attempt = 1;
    for (Millis now = 30; !harness->actions_of<StartAttempt>().empty(); ++now) {
        harness->handle(now, attempt_ended("a", attempt++, 11, AttemptResult::unreachable));
    }
    EXPECT_EQ(arrive("b", 100), 0u);
    EXPECT_EQ(harness->actions_of<Reject>().size(), 1u);
    EXPECT_EQ(arrive("c", 100 + 2001), 1u);  // the longest ejection: two latency objectives
}

}  // namespace
}  // namespace gorsenotch::test
