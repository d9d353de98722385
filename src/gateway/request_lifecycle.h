// Manages every request of the gateway from its arrival to its final answer.
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

// Feeds every event to the Router and executes the Router's actions through an Environment. All routing
// decisions are the Router's. RequestLifecycle itself guarantees that each client gets exactly one final
// answer, that an interrupted stream is ended with an error, and that every KV cache that a prefill may have
// left at an engine is released.
//
// Owns all open requests and their attempts. Does no I/O and reads the clock through Environment::now();
// times are ms on that clock. Threading: one thread. The environment and the clients may call back from
// within calls to them, except where their documentation says otherwise.
class RequestLifecycle {
public:
    // Renders an error in the format of the front end's API: (error, request id).
    using ErrorBody = std::function<std::string(const api::ApiError&, const std::string&)>;
    // `program` and `environment` must outlive the object.
    RequestLifecycle(const settings::ProgramSettings& program, std::uint64_t seed, Environment& environment,
                     ErrorBody error_body);
    ~RequestLifecycle();

    // Replaces the endpoint list. `cached`: the list was saved by an earlier process and may be out of date.
    void on_endpoint_list(const std::vector<settings::Engine>& engines, bool cached);
    // Returns false if too many requests are open; the request is then not accepted and its client not
    // called.
    bool on_request(NewRequest request);
    // Closes the request and cancels its attempts.
    void on_client_disconnected(const std::string& id);
    // Back-pressure: while `congested`, the client reads more slowly than the engine writes, and the engine's
    // response is not read.
    void on_client_congested(const std::string& id, bool congested);
    // Handles the timers that are due; returns the time at which to call it again.
    Millis tick() { return driver_.tick(); }
    // Called by the event loop before it waits for its sockets, until `due` at most, and after it has polled
    // them at `at`.
    void before_poll(Millis due) { driver_.before_poll(due); }
    void after_poll(Millis at) { driver_.after_poll(at); }
    // Gives every open request its final answer and releases all KV caches; called before the gateway stops.
    void end_all();

    std::size_t open() const { return requests_.size(); }
    std::size_t pending_timers() const { return driver_.pending_timers(); }
    // Called when a timer is set that is due before the time that tick() last returned. May be empty.
    std::function<void()> on_wake;
    state::DecisionObserver* observer = nullptr;  // not owned; may be null

private:
    OpenRequest* find(const std::string& id);
    void feed(Event event) { driver_.feed(std::move(event)); }
    bool is_idempotent(const OpenRequest& request) const;

    // Requests and their final answers
    Arrival make_arrival(const NewRequest& request, Millis received_at) const;
    void close_request(OpenRequest& request, int status, EndReason reason);
    void remove_closed_requests();
    void reject(OpenRequest& request, const api::ApiError& error, Millis retry_after, bool should_retry);
    void reject_at_shutdown(OpenRequest& request);
    void fail_stream(OpenRequest& request, const api::ApiError& error);
    void log_request(const OpenRequest& request);

    void execute(const Action& action);

    // Attempts, in request_attempts.cpp
    void start_attempt(const StartAttempt& start);
    void report_not_sent(OpenRequest& request, AttemptState attempt, int number);
    proxy::UpstreamRequest make_upstream_request(const OpenRequest& request, const AttemptState& attempt,
                                                 Millis now) const;
    std::shared_ptr<UpstreamExchange> make_exchange(const std::string& id, int number, bool is_prefill,
                                                    const control::MemoryCharge& memory);
    void stop_attempt(const StopAttempt& stop);
    void cancel_stream(const std::string& id);
    void end_exchange(AttemptState& attempt, void (UpstreamExchange::*end_method)());
    void on_attempt_sent(const std::string& id, int number);
    void on_stream_begun(const std::string& id, int number);
    void on_stream_text(const std::string& id, int number, std::string_view piece);
    void end_too_long_answer(OpenRequest& request, int number, std::string error);
    void on_attempt_ended(const std::string& id, int number, const AttemptOutcome& outcome);
    void update_leases(OpenRequest& request, int number, const AttemptOutcome& outcome, Millis now);
    void finish_response(OpenRequest& request, const AttemptOutcome& outcome);
    void log_failed_attempt(const std::string& id, int number, EndpointId endpoint,
                            const AttemptOutcome& outcome);

    // Leases, in request_attempts.cpp
    void release_leases(OpenRequest& request, bool include_needed);
    void schedule_lease_check(OpenRequest& request);
    void on_lease_timer(OpenRequest& request);

    // Timers
    void set_timer(TimerKind kind, Millis at, OpenRequest* owner, int attempt = 0);
    void on_timer(const Driver::Timer& timer);
    void on_attempt_timeout(OpenRequest& request, int number);
    void on_stream_idle(OpenRequest& request, int number);
    void on_complete_answer_timeout(OpenRequest& request);
    void on_keepalive(OpenRequest& request);

    const settings::ProgramSettings& program_;
    Environment& environment_;
    ErrorBody error_body_;
    std::unique_ptr<engine::Dialect> dialect_;
    Driver driver_;
    std::unordered_map<std::string, OpenRequest> requests_;
    std::map<EndpointId, settings::Engine> endpoints_;
    std::vector<std::string> closed_requests_;  // ids; removed once the Router is idle
};

}  // namespace gorsenotch::gateway
