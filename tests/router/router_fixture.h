// The fixture of the Router's tests: one Router under its invariant checker, and requests taken through it.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router/router_harness.h"

namespace gorsenotch::test {

// Each test begins with start_router(). A test that leaves a violated invariant behind fails.
class RouterFixture : public ::testing::Test {
protected:
    static constexpr Millis kNever = 1e18;

    // A new Router with the list at time 0.
    void start_router(const Settings& settings, const std::vector<Endpoint>& endpoints) {
        harness = std::make_unique<RouterHarness>(settings);
        harness->handle(0, full_list(endpoints));
    }

    // A request arrives. Returns the endpoint of its first attempt, 0 if none was started.
    EndpointId arrive(const RequestId& id, Millis now) {
        harness->handle(now, arrival(id, now));
        const auto attempts = harness->actions_of<StartAttempt>();
        return attempts.empty() ? 0 : attempts[0].endpoint;
    }

    // Takes a request through prefill and decode within 9 ms, wherever the Router sends it. Returns the
    // endpoint of its prefill, 0 if none was started.
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

    // Starts a stream every 50 ms, each prefilled at once at endpoint 1. `length` gives the length of a
    // stream by its decode endpoint and the time; `migrated` is called with the endpoint that a stream was
    // migrated off.
    void run_streams(int count, const std::function<Millis(EndpointId, Millis)>& length,
                     const std::function<void(EndpointId)>& migrated) {
        Streams streams;
        for (int i = 0; i < count; ++i) {
            const Millis now = 50.0 * (i + 1);
            end_streams(streams, now);
            harness->advance_to(now);
            for (const auto& migrate : harness->actions_of<MigrateStream>()) {
                const EndpointId from = streams.endpoints[migrate.request];
                migrated(from);
                harness->handle(now, attempt_ended(migrate.request, 1, from, AttemptResult::cancelled, true));
                streams.endpoints.erase(migrate.request);
            }
            const RequestId id = "s" + std::to_string(i);
            const EndpointId decode_at = begin_stream(id, now);
            if (!decode_at) continue;
            streams.endpoints[id] = decode_at;
            streams.ends.emplace(now + length(decode_at, now), id);
        }
    }

    void TearDown() override { EXPECT_EQ(harness->checker.violations, std::vector<std::string>{}); }

    std::unique_ptr<RouterHarness> harness;

private:
    struct Streams {
        std::multimap<Millis, RequestId> ends;
        std::map<RequestId, EndpointId> endpoints;  // of those that have neither ended nor been migrated
    };

    void end_streams(Streams& streams, Millis now) {
        while (!streams.ends.empty() && streams.ends.begin()->first <= now) {
            const RequestId id = streams.ends.begin()->second;
            streams.ends.erase(streams.ends.begin());
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
