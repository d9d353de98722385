// Test harness for the Router: an independent checker of its invariants, and a driver that simulates its
// timers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gorsenotch/router.h"

namespace gorsenotch::test {

// Observes the events and actions of a Router and records every violation of its invariants: each request
// gets exactly one final answer in time, no request runs twice if its idempotency forbids it, draining and
// removed endpoints get no work, no warming endpoint gets more than its slow-start budget, and no KV lease is
// kept beyond its limit. Endpoints are not modelled: the test determines the result of each attempt.
class RouterInvariantChecker {
public:
    explicit RouterInvariantChecker(const Settings& settings) : settings_(settings) {}

    void on_event(Millis now, const Event& event);
    void on_action(Millis now, const Action& action);
    // Records the violations of time limits up to `now`.
    void on_time(Millis now);

    // One line per violation: the time and a description.
    std::vector<std::string> violations;
    // Requests per second that a warm endpoint can serve. The slow-start budget derives from it.
    double warm_capacity_per_s = 42;

private:
    struct Attempt {
        EndpointId endpoint = 0;
        Millis sent_at = 0;
        bool pending = true;
        bool proven_not_run = false;
        bool is_prefill = false;
    };
    struct Request {
        Arrival arrival;
        bool ended = false;
        bool has_kv_cache = false;
        bool has_reserved_slot = false;
        Millis lease_since = 0;
        std::vector<Attempt> attempts;

        bool holds_lease() const { return has_kv_cache || has_reserved_slot; }
        void clear_lease();
        int pending_attempts() const;
    };
    struct KnownEndpoint {
        Endpoint listed;
        std::optional<Millis> unavailable_since;
        std::deque<Millis> recent_sends;  // within the overload window, during slow start
    };

    void on_first_token(const FirstToken& first_token);
    void on_attempt_ended(Millis now, const AttemptEnded& ended);
    void on_endpoint_update(Millis now, const EndpointUpdate& update);
    void on_start_attempt(Millis now, const StartAttempt& start);
    void on_reserve_slot(Millis now, const ReserveSlot& reserve);
    void check_resend(Millis now, const Request& request, const Endpoint& target);
    void check_slow_start_budget(Millis now, EndpointId endpoint);
    void check_lease_limit(Millis now, const RequestId& id, const Request& request);
    void record_endpoint_use(Millis now, EndpointId endpoint);
    void release_lease(const RequestId& id);
    void end_request(Millis now, const RequestId& id, bool is_rejection);
    void add_violation(Millis now, const std::string& description);
    const ClassSettings& class_settings(const Request& request) const;
    Role role(EndpointId endpoint) const;

    Settings settings_;
    std::map<RequestId, Request> requests_;
    std::map<EndpointId, KnownEndpoint> endpoints_;
};

// A Router whose events and actions are checked. Stores the timers set by the Router and the actions of the
// latest event.
class RouterHarness {
public:
    explicit RouterHarness(const Settings& router_settings, std::uint64_t seed = 1)
        : settings(router_settings), checker(router_settings), router(router_settings, seed) {}

    // Passes an event to the Router and returns its actions, which remain in `actions` until the next event.
    const std::vector<Action>& handle(Millis now, const Event& event);
    // Fires all timers due by `now`. Afterwards `actions` contains the actions of all of them.
    void advance_to(Millis now);

    // The actions of type T in `actions`.
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

// Two idempotent classes, the first with three times the priority weight of the second; the kinds 0 to 2 are
// prefill, decode and mixed; two zones and two gateways.
Settings test_settings();
EndpointUpdate full_list(const std::vector<Endpoint>& entries);
// A healthy endpoint. Each zone has one cell with the same number.
Endpoint prefill_endpoint(EndpointId id, int zone = 0);
Endpoint decode_endpoint(EndpointId id, int zone = 0);
// A request of class 0 whose deadline is 5 s after `now`.
Arrival arrival(const RequestId& id, Millis now, double prompt_tokens = 1000);
AttemptEnded attempt_ended(const RequestId& id, int attempt, EndpointId endpoint, AttemptResult result,
                           bool request_closed = false);

}  // namespace gorsenotch::test
