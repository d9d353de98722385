// Test harness of the Router: an independent checker of its invariants, and a driver that keeps its timers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gorsenotch/router.h"

namespace gorsenotch::test {

// Watches the events that go into a Router and the actions that come out, and notes every violation of the
// invariants: each request gets exactly one final answer in time, no request runs twice where its idempotency
// forbids that, no endpoint that has left the list gets work, no warming endpoint gets more than its budget,
// and no KV lease outlives its limit. It models no endpoints: what an attempt does is up to the test.
class RouterInvariantChecker {
public:
    explicit RouterInvariantChecker(const Settings& settings) : settings_(settings) {}

    void on_event(Millis now, const Event& event);
    void on_action(Millis now, const Action& action);
    // Notes what has become overdue by `now`.
    void on_time(Millis now);

    // One line for each violation: its time and what was violated.
    std::vector<std::string> violations;
    // Requests a second that a warm endpoint can serve; the budget of a warming one derives from it.
    double warm_requests_per_s = 42;

private:
    struct Attempt {
        EndpointId endpoint = 0;
        Millis sent = 0;
        bool pending = true;
        bool proven_not_run = false;
        bool is_prefill = false;
    };
    struct Request {
        Arrival arrival;
        bool ended = false;
        bool has_kv_state = false;
        bool has_reserved_slot = false;
        Millis lease_since = 0;
        std::vector<Attempt> attempts;

        bool holds_lease() const { return has_kv_state || has_reserved_slot; }
        void drop_lease();
        int pending_attempts() const;
    };
    struct KnownEndpoint {
        Endpoint entry;
        std::optional<Millis> unavailable_since;
        std::deque<Millis> recent_sends;  // within the overload window, while it warms up
    };

    void on_first_token(const FirstToken& first_token);
    void on_attempt_ended(Millis now, const AttemptEnded& ended);
    void on_endpoint_update(Millis now, const EndpointUpdate& update);
    void on_start_attempt(Millis now, const StartAttempt& start);
    void on_reserve_slot(Millis now, const ReserveSlot& reserve);
    void check_resend(Millis now, const Request& request, const Endpoint& target);
    void check_slow_start_budget(Millis now, EndpointId endpoint);
    void check_lease_limit(Millis now, const RequestId& id, const Request& request);
    void record_send(Millis now, EndpointId endpoint);
    void release_lease(const RequestId& id);
    void end_request(Millis now, const RequestId& id, bool is_reject);
    void add_violation(Millis now, const std::string& what);
    const ClassSettings& class_settings(const Request& request) const;
    Role role(EndpointId endpoint) const;

    Settings settings_;
    std::map<RequestId, Request> requests_;
    std::map<EndpointId, KnownEndpoint> endpoints_;
};

// A Router under the checker. Keeps the timers that the Router sets and the actions of its latest event.
class RouterHarness {
public:
    explicit RouterHarness(const Settings& router_settings, std::uint64_t seed = 1)
        : settings(router_settings), checker(router_settings), router(router_settings, seed) {}

    // Hands one event to the Router; returns its actions, which stay in `actions` until the next event.
    const std::vector<Action>& handle(Millis now, const Event& event);
    // Delivers all timers up to `now`; the actions of all of them gather in `actions`.
    void advance_to(Millis now);

    template <class T>
    std::vector<T> actions_of() const {
        std::vector<T> found;
        for (const auto& action : actions) {
            if (const T* match = std::get_if<T>(&action)) found.push_back(*match);
        }
        return found;
    }

    Settings settings;
    RouterInvariantChecker checker;
    Router router;
    std::vector<Action> actions;
    std::multimap<Millis, std::uint64_t> timers;
};

// Two classes, all idempotent, the first with three times the second's weight; prefill, decode and mixed
// endpoints as kinds 0 to 2; two zones and two gateways.
Settings test_settings();
EndpointUpdate full_list(const std::vector<Endpoint>& entries);
// Endpoints of their zone's own cell.
Endpoint prefill_endpoint(EndpointId id, int zone = 0);
Endpoint decode_endpoint(EndpointId id, int zone = 0);
// A request of class 0 with five seconds to its deadline.
Arrival arrival(const RequestId& id, Millis now, double prompt_tokens = 1000);
AttemptEnded attempt_ended(const RequestId& id, int attempt, EndpointId endpoint, AttemptResult result,
                           bool request_closed = false);

}  // namespace gorsenotch::test
