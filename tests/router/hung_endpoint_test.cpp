// Endpoints that accept attempts and never answer, beside others that answer at once.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <memory>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

// Drives one Router: executes its attempts on simulated endpoints that answer after fixed times, or never.
class SimulatedEndpoints {
public:
    SimulatedEndpoints(const Settings& settings, const std::vector<Endpoint>& fleet) : harness_(settings) {
        harness_.handle(0, full_list(fleet));
    }
    std::function<bool(EndpointId, Millis now)> hangs;

    void run(Millis from, Millis until, Millis between) {
        for (Millis at = from; at < until; at += between) {
            schedule(at, [this, at] { arrive(at); });
        }
        while (!events_.empty() && events_.begin()->first <= until) {
            const auto event = events_.extract(events_.begin());
            harness_.advance_to(event.key());
            execute_actions(event.key());
            now_ = event.key();
            event.mapped()();
        }
    }
    int arrived = 0;
    int shed = 0;
    const std::vector<std::string>& violations() const { return harness_.checker.violations; }

private:
    // The latest attempt of a request.
    struct Pending {
        int attempt = -1;
        EndpointId endpoint = 0;
        bool ended = true;
        bool is_streaming = false;
    };
    static constexpr Millis kPrefillTime = 20;
    static constexpr Millis kFirstTokenTime = 60;
    static constexpr Millis kStreamTime = 300;
    static constexpr EndpointId kFirstDecodeEndpoint = 10;

    void schedule(Millis at, std::function<void()> event) { events_.emplace(at, std::move(event)); }
    void arrive(Millis now) {
        const RequestId id = "r" + std::to_string(++arrived);
        handle(now, arrival(id, now));
    }
    void handle(Millis now, const Event& event) {
        harness_.handle(now, event);
        execute_actions(now);
    }
    // Executes the actions of the latest event; what they cause is scheduled for later.
    void execute_actions(Millis now) {
        const std::vector<Action> actions = std::exchange(harness_.actions, {});
        for (const Action& action : actions) {
            if (const auto* attempt = std::get_if<StartAttempt>(&action)) start_attempt(now, *attempt);
            if (const auto* stop = std::get_if<StopAttempt>(&action)) {
                if (!latest_[stop->request].is_streaming) end(now, stop->request, AttemptResult::cancelled);
            }
            if (const auto* migrate = std::get_if<MigrateStream>(&action))
                end(now, migrate->request, AttemptResult::cancelled, true);
            if (const auto* reject = std::get_if<Reject>(&action))
                shed += reject->cause == EndCause::shed_load;
        }
    }
    void start_attempt(Millis now, const StartAttempt& start) {
        Pending& pending = latest_[start.request];
        pending = {pending.attempt + 1, start.endpoint, false, false};
        const int number = pending.attempt;
        const auto is_current = [this, id = start.request, number] {
            return !latest_[id].ended && latest_[id].attempt == number;
        };
        if (start.timeout > 0) {
            schedule(now + start.timeout, [this, id = start.request, is_current] {
                if (is_current() && !latest_[id].is_streaming) end(now_, id, AttemptResult::timed_out);
            });
        }
        if (hangs(start.endpoint, now)) return;
        const bool is_prefill = start.endpoint < kFirstDecodeEndpoint;
        schedule(now + (is_prefill ? kPrefillTime : kFirstTokenTime),
                 [this, id = start.request, endpoint = start.endpoint, number, is_prefill, is_current] {
                     if (!is_current()) return;
                     if (is_prefill) return end(now_, id, AttemptResult::prefill_done);
                     latest_[id].is_streaming = true;
                     handle(now_, FirstToken{id, number, endpoint, kFirstTokenTime});
                     schedule(now_ + kStreamTime, [this, id, is_current] {
                         if (is_current()) end(now_, id, AttemptResult::served, true);
                     });
                 });
    }
    void end(Millis now, const RequestId& id, AttemptResult result, bool closed = false) {
        Pending& pending = latest_[id];
        if (pending.ended) return;
        pending.ended = true;
        // Delivered in a turn of its own, as the gateway does.
        schedule(now, [this, id, number = pending.attempt, endpoint = pending.endpoint, result, closed] {
            handle(now_, attempt_ended(id, number, endpoint, result, closed));
        });
    }

    RouterHarness harness_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> events_;
    std::map<RequestId, Pending> latest_;
};

// Guards against arrivals shed because attempts hang at a part of the endpoints while the others answer at
// once: the pending attempts raise the mean time, from which the wait of every request was estimated. Half of
// the decode endpoints and a third of the prefill endpoints hang here, and the sample rate is low, so that
// they are detected late.
TEST(HungEndpointTest, ArrivalsAreNotShedForAttemptsThatHangElsewhere) {
    for (const int gateways : {2, 6, 12}) {
        Settings settings = test_settings();
        settings.gateways = gateways;
        settings.classes[0].latency_objective = 1500;
        std::vector<Endpoint> fleet;
        for (EndpointId id = 1; id <= 6; ++id) fleet.push_back(prefill_endpoint(id));
        for (EndpointId id = 11; id <= 18; ++id) fleet.push_back(decode_endpoint(id));
        SimulatedEndpoints endpoints(settings, fleet);
        constexpr Millis kHangsFrom = 10000;
        constexpr Millis kUntil = 30000;
        constexpr Millis kBetween = 600;
        endpoints.hangs = [](EndpointId id, Millis now) {
            return now >= kHangsFrom && (id <= 2 || id >= 15);
        };
        endpoints.run(10, kHangsFrom, kBetween);
        EXPECT_EQ(endpoints.shed, 0);
        const int before = endpoints.arrived;
        endpoints.run(kHangsFrom, kUntil, kBetween);
        EXPECT_LE(endpoints.shed, (endpoints.arrived - before) / 20)
            << gateways << " gateways: of " << endpoints.arrived - before << " that arrived meanwhile";
        EXPECT_EQ(endpoints.violations(), std::vector<std::string>{});
    }
}

}  // namespace
}  // namespace gorsenotch::test
