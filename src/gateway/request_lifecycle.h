// The life of every request of the gateway, from its arrival to its one final answer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/environment.h"
#include "gateway/open_request.h"
#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/settings.h"
#include "state/decision_observer.h"

namespace gorsenotch::gateway {

// Feeds the Router every event and carries out its actions through an Environment. It chooses nothing that
// the Router chooses; it adds duties without a choice: one final answer for each client, an end for a stream
// that breaks, and a release of every state that a prefill may have left.
//
// Owns all open requests and their attempts. No I/O; the clock is handed in. Times are ms on the clock of
// Environment::now(). Threading: one thread; the environment and clients may call back from within calls to
// them, except where said.
class RequestLifecycle {
public:
    // Writes an error in the form of the front end's API: (error, request id).
    using ErrorBody = std::function<std::string(const api::ApiError&, const std::string&)>;
    // `program` and `environment` must outlive the object.
    RequestLifecycle(const settings::Program& program, std::uint64_t seed, Environment& environment,
                     ErrorBody error_body);
    ~RequestLifecycle();

    // A complete new list; `saved`: as saved by an earlier process, perhaps out of date.
    void on_endpoint_list(const std::vector<settings::Engine>& engines, bool saved);
    // False: too many requests are open; nothing was taken and the client was not called.
    bool on_request(NewRequest request);
    void on_client_disconnected(const std::string& id);
    // Whether the client reads more slowly than the engine writes: the engine is not read meanwhile.
    void on_client_congested(const std::string& id, bool congested);
    // Does what is due; returns the time at which it is to be called next.
    Millis tick() { return driver_.tick(); }
    // The event loop is about to wait until `due` at most, and has polled its sockets at `at`.
    void before_poll(Millis due) { driver_.before_poll(due); }
    void after_poll(Millis at) { driver_.after_poll(at); }
    // Gives every open request its final answer and releases all states: the gateway is about to stop.
    void end_all();

    std::size_t open() const { return requests_.size(); }
    std::size_t pending_timers() const { return driver_.pending_timers(); }
    std::function<void()> on_wake;  // a timer was set that is earlier than what tick() last returned
    state::DecisionObserver* observer = nullptr;  // not owned; may be null

private:
    OpenRequest* find(const std::string& id);
    void feed(Event event) { driver_.feed(std::move(event)); }
    bool is_idempotent(const OpenRequest& request) const;

    // Requests
    Arrival make_arrival(const NewRequest& request, Millis asked) const;
    void close_request(OpenRequest& request, int status, EndReason reason);
    void forget_closed_requests();
    void reject(OpenRequest& request, const api::ApiError& error, Millis pause, bool retry);
    void reject_at_shutdown(OpenRequest& request);
    void fail_stream(OpenRequest& request, const api::ApiError& error);
    void log_request(const OpenRequest& request);

    void execute(const Action& action);

    // Attempts, in request_attempts.cpp
    void start_attempt(const StartAttempt& start);
    void report_not_sent(OpenRequest& request, AttemptState attempt, int number);
    proxy::UpstreamRequest upstream_request(const OpenRequest& request, const AttemptState& attempt,
                                            Millis now) const;
    std::shared_ptr<UpstreamExchange> make_exchange(const std::string& id, int number, bool is_prefill);
    void stop_attempt(const StopAttempt& stop);
    void cancel_stream(const std::string& id);
    void end_exchange(AttemptState& attempt, void (UpstreamExchange::*how)());
    void on_attempt_sent(const std::string& id, int number);
    void on_stream_begun(const std::string& id, int number);
    void on_stream_text(const std::string& id, int number, std::string_view piece);
    void on_attempt_ended(const std::string& id, int number, const AttemptOutcome& outcome);
    void update_leases(OpenRequest& request, int number, const AttemptOutcome& outcome, Millis now);
    void finish_response(OpenRequest& request, const AttemptOutcome& outcome);
    void log_failed_attempt(const std::string& id, int number, EndpointId endpoint,
                            const AttemptOutcome& outcome);

    // Leases, in request_attempts.cpp
    void release_leases(OpenRequest& request, bool all);
    void schedule_lease_check(OpenRequest& request);
    void on_lease_timer(OpenRequest& request);

    // Timers
    void set_timer(TimerKind kind, Millis at, OpenRequest* owner, int attempt = 0);
    void on_timer(const Driver::Timer& timer);
    void on_attempt_timeout(OpenRequest& request, int number);
    void on_stream_idle(OpenRequest& request, int number);
    void on_complete_answer_timeout(OpenRequest& request);
    void on_keepalive(OpenRequest& request);

    const settings::Program& program_;
    Environment& environment_;
    ErrorBody error_body_;
    std::unique_ptr<engine::Dialect> dialect_;
    Driver driver_;
    std::unordered_map<std::string, OpenRequest> requests_;
    std::map<EndpointId, settings::Engine> endpoints_;
    std::vector<std::string> closed_requests_;  // to be forgotten once the Router is idle
};

}  // namespace gorsenotch::gateway
