// Load shedding while some endpoints accept attempts but never respond and all others respond immediately.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <memory>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

// Runs a Router against simulated endpoints that respond after fixed times, or never.
class SimulatedEndpoints {
public:
    SimulatedEndpoints(const Settings& settings, const std::vector<Endpoint>& fleet) : harness_(settings) {
        harness_.handle(0, full_list(fleet));
    }
    std::function<bool(EndpointId, Millis now)> hangs;

    void run(Millis from, Millis until, Millis arrival_interval) {
        for (Millis at = from; at < until; at += arrival_interval) {
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
    struct PendingAttempt {
        int attempt = -1;
        EndpointId endpoint = 0;
        bool ended = true;
        bool is_streaming = false;
    };
    static constexpr Millis kPrefillTimeMs = 20;
    static constexpr Millis kFirstTokenTimeMs = 60;
    static constexpr Millis kStreamTimeMs = 300;
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
    // Executes the actions of the latest event. The events that they cause are scheduled, not handled
    // recursively.
    void execute_actions(Millis now) {
        const std::vector<Action> actions = std::exchange(harness_.actions, {});
        for (const Action& action : actions) {
            if (const auto* attempt = std::get_if<StartAttempt>(&action)) start_attempt(now, *attempt);
            if (const auto* stop = std::get_if<StopAttempt>(&action)) {
                if (!latest_attempts_[stop->request].is_streaming)
                    end_attempt(now, stop->request, AttemptResult::cancelled);
            }
            if (const auto* migrate = std::get_if<MigrateStream>(&action))
                end_attempt(now, migrate->request, AttemptResult::cancelled, true);
            if (const auto* reject = std::get_if<Reject>(&action))
                shed += reject->cause == EndCause::shed_load;
        }
    }
    void start_attempt(Millis now, const StartAttempt& start) {
        PendingAttempt& pending_attempt = latest_attempts_[start.request];
        pending_attempt = {pending_attempt.attempt + 1, start.endpoint, false, false};
        const int number = pending_attempt.attempt;
        const auto is_latest_attempt = [this, id = start.request, number] {
            return !latest_attempts_[id].ended && latest_attempts_[id].attempt == number;
        };
        if (start.timeout > 0) {
            schedule(now + start.timeout, [this, id = start.request, is_latest_attempt] {
                if (is_latest_attempt() && !latest_attempts_[id].is_streaming)
                    end_attempt(now_, id, AttemptResult::timed_out);
            });
        }
        if (hangs(start.endpoint, now)) return;
        const bool is_prefill = start.endpoint < kFirstDecodeEndpoint;
        schedule(
            now + (is_prefill ? kPrefillTimeMs : kFirstTokenTimeMs),
            [this, id = start.request, endpoint = start.endpoint, number, is_prefill, is_latest_attempt] {
                if (!is_latest_attempt()) return;
                if (is_prefill) return end_attempt(now_, id, AttemptResult::prefill_done);
                latest_attempts_[id].is_streaming = true;
                handle(now_, FirstToken{id, number, endpoint, kFirstTokenTimeMs});
                schedule(now_ + kStreamTimeMs, [this, id, is_latest_attempt] {
                    if (is_latest_attempt()) end_attempt(now_, id, AttemptResult::served, true);
                });
            });
    }
    void end_attempt(Millis now, const RequestId& id, AttemptResult result, bool request_closed = false) {
        PendingAttempt& pending_attempt = latest_attempts_[id];
        if (pending_attempt.ended) return;
        pending_attempt.ended = true;
        // Delivered as a separate event loop iteration, as in the gateway.
        schedule(now, [this, id, number = pending_attempt.attempt, endpoint = pending_attempt.endpoint,
                       result, request_closed] {
            handle(now_, attempt_ended(id, number, endpoint, result, request_closed));
        });
    }

    RouterHarness harness_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> events_;
    std::map<RequestId, PendingAttempt> latest_attempts_;
};

// Guards against arrivals that are shed because attempts hang at some endpoints while the others respond
// immediately. The pending attempts raise the mean duration, from which the wait of every request was
// estimated. Half of the decode endpoints and a third of the prefill endpoints hang, and the sample rate is
// low, so that they are detected late.
TEST(HungEndpointTest, ArrivalsAreNotShedForAttemptsThatHangElsewhere) {
    for (const int gateways : {2, 6, 12}) {
        Settings settings = test_settings();
        settings.gateways = gateways;
        settings.classes[0].latency_objective = 1500;
        std::vector<Endpoint> fleet;
        for (EndpointId id = 1; id <= 6; ++id) fleet.push_back(prefill_endpoint(id));
        for (EndpointId id = 11; id <= 18; ++id) fleet.push_back(decode_endpoint(id));
        SimulatedEndpoints endpoints(settings, fleet);
        constexpr Millis kHangsFromMs = 10000;
        constexpr Millis kEndMs = 30000;
        constexpr Millis kArrivalIntervalMs = 600;
        endpoints.hangs = [](EndpointId id, Millis now) {
            return now >= kHangsFromMs && (id <= 2 || id >= 15);
        };
        endpoints.run(10, kHangsFromMs, kArrivalIntervalMs);
        EXPECT_EQ(endpoints.shed, 0);
        const int arrived_before = endpoints.arrived;
        endpoints.run(kHangsFromMs, kEndMs, kArrivalIntervalMs);
        EXPECT_LE(endpoints.shed, (endpoints.arrived - arrived_before) / 20)
            << gateways << " gateways: of " << endpoints.arrived - arrived_before
            << " arrivals while endpoints hang";
        EXPECT_EQ(endpoints.violations(), std::vector<std::string>{});
    }
}

}  // namespace
}  // namespace gorsenotch::test
