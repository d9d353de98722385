// Test fixture with one Router and its invariant checker, and helpers that run requests through it.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router/router_harness.h"

namespace gorsenotch::test {

// Each test calls start_router() first. TearDown() fails the test if an invariant was violated.
class RouterFixture : public ::testing::Test {
protected:
    static constexpr Millis kNever = 1e18;

    // Creates a Router, which gets the endpoint list at time 0.
    void start_router(const Settings& settings, const std::vector<Endpoint>& endpoints) {
        harness = std::make_unique<RouterHarness>(settings);
        harness->handle(0, full_list(endpoints));
    }

    // Reports the arrival of a request. Returns the endpoint of its first attempt, 0 if none was started.
    EndpointId arrive(const RequestId& id, Millis now) {
        harness->handle(now, arrival(id, now));
        const auto attempts = harness->actions_of<StartAttempt>();
        return attempts.empty() ? 0 : attempts[0].endpoint;
    }

    // Runs a request through prefill and decode within 9 ms, at the endpoints selected by the Router. Returns
    // the endpoint of its prefill, 0 if none was started.
    EndpointId serve(const RequestId& id, Millis now) {
        const EndpointId prefill_at = arrive(id, now);
        if (!prefill_at) return 0;
        harness->handle(now + 5, attempt_ended(id, 0, prefill_at, AttemptResult::prefill_done));
        const auto attempts = harness->actions_of<StartAttempt>();
        if (attempts.empty()) return prefill_at;
        const EndpointId decode_at = attempts[0].endpoint;
        harness->handle(now + 8, FirstToken{id, 1, decode_at, 3});
        harness->handle(now + 9, attempt_ended(id, 1, decode_at, AttemptResult::served, true));
        return prefill_at;
    }

    // Starts a stream every 50 ms, prefilled immediately at endpoint 1. `stream_duration` returns the
    // duration of a stream by its decode endpoint and start time. `on_migrated` is called with the endpoint
    // that a stream is migrated off.
    void run_streams(int count, const std::function<Millis(EndpointId, Millis)>& stream_duration,
                     const std::function<void(EndpointId)>& on_migrated) {
        Streams streams;
        for (int i = 0; i < count; ++i) {
            const Millis now = 50.0 * (i + 1);
            end_streams(streams, now);
            harness->advance_to(now);
            for (const auto& migrate : harness->actions_of<MigrateStream>()) {
                const EndpointId source_endpoint = streams.endpoints[migrate.request];
                on_migrated(source_endpoint);
                harness->handle(
                    now, attempt_ended(migrate.request, 1, source_endpoint, AttemptResult::cancelled, true));
                streams.endpoints.erase(migrate.request);
            }
            const RequestId id = "s" + std::to_string(i);
            const EndpointId decode_at = begin_stream(id, now);
            if (!decode_at) continue;
            streams.endpoints[id] = decode_at;
            streams.end_times.emplace(now + stream_duration(decode_at, now), id);
        }
    }

    void TearDown() override { EXPECT_EQ(harness->checker.violations, std::vector<std::string>{}); }

    std::unique_ptr<RouterHarness> harness;

private:
    struct Streams {
        std::multimap<Millis, RequestId> end_times;
        std::map<RequestId, EndpointId> endpoints;  // only streams that have neither ended nor been migrated
    };

    void end_streams(Streams& streams, Millis now) {
        while (!streams.end_times.empty() && streams.end_times.begin()->first <= now) {
            const RequestId id = streams.end_times.begin()->second;
            streams.end_times.erase(streams.end_times.begin());
            const auto stream = streams.endpoints.find(id);
            if (stream == streams.endpoints.end()) continue;
            harness->handle(now - 1, attempt_ended(id, 1, stream->second, AttemptResult::served, true));
            streams.endpoints.erase(stream);
        }
    }

    EndpointId begin_stream(const RequestId& id, Millis now) {
        if (!arrive(id, now)) return 0;
        harness->handle(now + 1, attempt_ended(id, 0, 1, AttemptResult::prefill_done));
        const auto attempts = harness->actions_of<StartAttempt>();
        if (attempts.empty()) return 0;
        harness->handle(now + 2, FirstToken{id, 1, attempts[0].endpoint, 1});
        return attempts[0].endpoint;
    }
};

}  // namespace gorsenotch::test
