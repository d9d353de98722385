// Endpoints that fail, hang or are slow are ejected. Random variation and a stall of the gateway eject no
// endpoint, overload at most half of them.
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
    const EndpointId unreachable_id = arrive("a", 10);
    harness->handle(20, attempt_ended("a", 0, unreachable_id, AttemptResult::unreachable));
    EXPECT_NE(harness->actions_of<StartAttempt>().at(0).endpoint, unreachable_id);
    int request_count = 0;
    while (arrive("b" + std::to_string(++request_count), 25) != unreachable_id) ASSERT_LT(request_count, 10);
    harness->handle(28, attempt_ended("b" + std::to_string(request_count), 0, unreachable_id,
                                      AttemptResult::unreachable));
    for (int i = 0; i < 10; ++i) EXPECT_NE(arrive("r" + std::to_string(i), 30 + i), unreachable_id);
}

TEST_F(RouterOutlierTest, FastFailingEndpointAttractsNoLoad) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    int failed_attempts = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const Millis now = 10 + 5 * i;
        EndpointId target = arrive(id, now);
        int attempt = 0;
        while (target == 1) {
            ++failed_attempts;
            harness->handle(now + 1, attempt_ended(id, attempt++, 1, AttemptResult::error));
            const auto attempts = harness->actions_of<StartAttempt>();
            target = attempts.empty() ? 0 : attempts[0].endpoint;
        }
        if (target) harness->handle(now + 2, attempt_ended(id, attempt, target, AttemptResult::prefill_done));
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
    const EndpointId hung = arrive("hung", 900);
    harness->advance_to(1600);  // within the latency objective of a second
    const auto stops = harness->actions_of<StopAttempt>();
    ASSERT_EQ(stops.size(), 1u);
    harness->handle(1601, attempt_ended("hung", 0, hung, AttemptResult::cancelled));
    ASSERT_EQ(harness->actions_of<StartAttempt>().size(), 1u);
    EXPECT_NE(harness->actions_of<StartAttempt>()[0].endpoint, hung);
}

// Guards against endpoints that are ejected because the gateway itself stalled for 2 s: no timer fires during
// the stall, and all pending events are handled at once after it.
TEST_F(RouterOutlierTest, GatewayStallEjectsNoEndpoint) {
    Settings settings = test_settings();
    settings.classes[0].deadline = 10000;
    start_router(settings, {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                            decode_endpoint(11), decode_endpoint(12)});
    for (int i = 0; i < 40; ++i) {
        harness->advance_to(9 + 20 * i);
        serve("w" + std::to_string(i), 10 + 20 * i);
    }
    harness->advance_to(899);
    std::map<RequestId, EndpointId> endpoint_of;
    for (int i = 0; i < 4; ++i) endpoint_of["p" + std::to_string(i)] = arrive("p" + std::to_string(i), 900);
    harness->handle(2900, ClientDisconnected{"unknown"});  // the first event after the stall
    harness->advance_to(2901);                             // then all timers that became due during the stall
    EXPECT_TRUE(harness->actions_of<StopAttempt>().empty());
    for (const auto& [id, endpoint] : endpoint_of) {
        harness->handle(2902, attempt_ended(id, 0, endpoint, AttemptResult::prefill_done));
        EXPECT_EQ(harness->actions_of<StartAttempt>().size(), 1u) << id;
    }
    std::set<EndpointId> endpoints_used;
    for (int i = 0; i < 30; ++i) endpoints_used.insert(arrive("n" + std::to_string(i), 2910 + i));
    EXPECT_EQ(endpoints_used.size(), 3u);
    harness->advance_to(3100);
    EXPECT_TRUE(harness->actions_of<StopAttempt>().empty());
}

TEST_F(RouterOutlierTest, StreamsMigrateOffHungDecodeEndpoint) {
    start_router(test_settings(), {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12),
                                   decode_endpoint(13), decode_endpoint(14)});
    // Streams take 800 ms; those started at endpoint 11 after 4 s never end.
    int migrated_from_healthy = 0;
    int migrated_from_hung = 0;
    int sent_late_to_hung = 0;
    run_streams(
        240,
        [&](EndpointId stream_endpoint, Millis now) {
            if (now > 9000) sent_late_to_hung += stream_endpoint == 11;
            return stream_endpoint != 11 || now < 4000 ? 800 : kNever;
        },
        [&](EndpointId source) { ++(source == 11 ? migrated_from_hung : migrated_from_healthy); });
    EXPECT_GT(migrated_from_hung, 0);
    EXPECT_EQ(migrated_from_healthy, 0);
    EXPECT_LE(sent_late_to_hung, 3);
}

TEST_F(RouterOutlierTest, OverloadEjectsAtMostHalfOfTheFleet) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), prefill_endpoint(3),
                                   prefill_endpoint(4), decode_endpoint(11)});
    for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i), 10 + 20 * i);
    for (int i = 0; i < 8; ++i) arrive("slow" + std::to_string(i), 900);
    harness->advance_to(1400);
    // All four endpoints are equally slow: at most half of the attempts may be cancelled.
    EXPECT_LE(harness->actions_of<StopAttempt>().size(), 4u);
}

// Guards against a single broken connection that ejects its endpoint, which then begins a slow start when it
// returns.
TEST_F(RouterOutlierTest, SingleBrokenConnectionEjectsNoEndpoint) {
    start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
    int request_count = 0;
    Millis now = 10;
    // Sends requests until a prefill goes to `endpoint_id`, and ends it with `result`; earlier prefills
    // succeed. Returns false if none of 30 requests goes there.
    const auto end_next_prefill_at = [&](EndpointId endpoint_id, AttemptResult result) {
        for (int i = 0; i < 30; ++i) {
            const RequestId id = "r" + std::to_string(++request_count);
            const EndpointId target = arrive(id, now += 2);
            harness->handle(
                now += 1,
                attempt_ended(id, 0, target, target == endpoint_id ? result : AttemptResult::prefill_done));
            const auto attempts = harness->actions_of<StartAttempt>();
            harness->handle(now += 1, ClientDisconnected{id});
            if (!attempts.empty())
                harness->handle(now,
                                attempt_ended(id, 1, attempts[0].endpoint, AttemptResult::not_sent, true));
            if (target == endpoint_id) return true;
        }
        return false;
    };
    for (const AttemptResult failure : {AttemptResult::reset, AttemptResult::unreachable}) {
        EXPECT_TRUE(end_next_prefill_at(1, failure));
        EXPECT_TRUE(end_next_prefill_at(1, AttemptResult::prefill_done));
        EXPECT_TRUE(end_next_prefill_at(1, failure));  // after a success this is a first failure again
        EXPECT_TRUE(end_next_prefill_at(1, AttemptResult::prefill_done));
        for (int i = 0; i < 5; ++i) EXPECT_TRUE(end_next_prefill_at(1, AttemptResult::prefill_done));
    }
    EXPECT_TRUE(end_next_prefill_at(1, AttemptResult::unreachable));
    EXPECT_TRUE(end_next_prefill_at(1, AttemptResult::unreachable));  // two consecutive failures: ejected
    EXPECT_FALSE(end_next_prefill_at(1, AttemptResult::prefill_done));
}

// Guards against streams that are interrupted by the network, which can happen at any endpoint, and eject one
// decode endpoint after another.
TEST_F(RouterOutlierTest, BrokenStreamsEjectNoDecodeEndpoint) {
    start_router(test_settings(),
                 {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12), decode_endpoint(13)});
    int broken_streams = 0;
    int sent_after_breaks = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = "s" + std::to_string(i);
        const Millis now = 10 + 20 * i;
        if (!arrive(id, now)) continue;
        harness->handle(now + 1, attempt_ended(id, 0, 1, AttemptResult::prefill_done));
        const auto attempts = harness->actions_of<StartAttempt>();
        ASSERT_FALSE(attempts.empty());
        const bool breaks = attempts[0].endpoint == 11;
        sent_after_breaks += breaks && broken_streams >= 3;
        broken_streams += breaks;
        harness->handle(now + 2, FirstToken{id, 1, attempts[0].endpoint, 1});
        harness->handle(now + 9, attempt_ended(id, 1, attempts[0].endpoint,
                                               breaks ? AttemptResult::reset : AttemptResult::served, true));
    }
    EXPECT_GT(sent_after_breaks, 5);
}

// Guards against streams of widely varying length that make one decode endpoint after another appear slow.
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
    EndpointId unreachable_id = arrive("a", 10);
    harness->handle(12, attempt_ended("a", 0, unreachable_id, AttemptResult::unreachable));
    int request_count = 0;
    while (arrive("b" + std::to_string(++request_count), 15) != unreachable_id) ASSERT_LT(request_count, 10);
    harness->handle(20, attempt_ended("b" + std::to_string(request_count), 0, unreachable_id,
                                      AttemptResult::unreachable));
    const Millis later = 20 + 1000 + 1;  // the minimum ejection time is the shortest latency objective
    int returned = 0;
    for (int i = 0; i < 10; ++i) returned += arrive("t" + std::to_string(i), later) == unreachable_id;
    EXPECT_EQ(returned, 1);
}

// Guards against memory growth: endpoints are replaced continuously under new ids, so the state of removed
// endpoints must be erased.
TEST_F(RouterOutlierTest, EjectionIsForgottenAfterALongRemovalFromTheList) {
    for (const Millis removed_for : {5000.0, 70000.0}) {
        start_router(test_settings(), {prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)});
        for (Millis now = 10; now < 20;) {
            const RequestId id = "a" + std::to_string(now);
            const EndpointId target = arrive(id, now += 1);
            harness->handle(
                now, attempt_ended(id, 0, target,
                                   target == 1 ? AttemptResult::unreachable : AttemptResult::prefill_done));
            const auto attempts = harness->actions_of<StartAttempt>();
            harness->handle(now, ClientDisconnected{id});
            if (!attempts.empty())
                harness->handle(now,
                                attempt_ended(id, 1, attempts[0].endpoint, AttemptResult::not_sent, true));
        }
        harness->handle(30, full_list({prefill_endpoint(2), decode_endpoint(11)}));
        harness->advance_to(30 + removed_for);
        harness->handle(30 + removed_for,
                        full_list({prefill_endpoint(1), prefill_endpoint(2), decode_endpoint(11)}));
        int returned = 0;
        for (int i = 0; i < 8; ++i) returned += arrive("t" + std::to_string(i), 40 + removed_for) == 1;
        if (removed_for > 60000) {
            EXPECT_GT(returned, 1) << "the state of the endpoint was erased";
        } else {
            EXPECT_EQ(returned, 1) << "one trial request at a time";
        }
        EXPECT_EQ(harness->checker.violations, std::vector<std::string>{});
    }
}

TEST_F(RouterOutlierTest, ShortWaitsBesideAStreamDoNotEjectDecodeEndpoint) {
    start_router(test_settings(),
                 {prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12), decode_endpoint(13)});
    // One stream, and then waits of well below half of the latency objective at the same endpoint.
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
    // The maximum ejection time of an unreachable endpoint is two latency objectives.
    EXPECT_EQ(arrive("c", 100 + 2001), 1u);
}

}  // namespace
}  // namespace gorsenotch::test
