// The life of each request: feeds the Router every event and carries out its actions through Ports. No I/O;
// the clock is handed in, so tests drive it in any order. It decides nothing that the Router decides; what it
// adds are duties without a choice: one final answer for each client, an ending for a stream that breaks, and
// a let-go for every state that a read may have left.
//
// Times: ms on the clock of Ports::now(). Threading: one thread; Ports and Client may call back into the Core
// from within its calls to them, except where said.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "control/kv_lease.h"
#include "gateway/upstream_exchange.h"
#include "proxy/router_driver.h"
#include "settings/settings.h"
#include "state/decision_observer.h"

namespace gorsenotch::gateway {

// Where a request's answer goes. The Core calls it until done() or whole(), or until told that it is gone.
class Client {
public:
    virtual ~Client() = default;
    virtual void begin_stream() = 0;                // status 200, an event stream
    virtual void send_body(std::string bytes) = 0;  // of the stream
    virtual void finish_stream() = 0;               // the stream has ended; last call
    // A whole answer; last call. `pause`: ms for retry-after, below 0 for none. `retry`: x-should-retry.
    virtual void send_complete(int status, std::string bytes, Millis pause, std::optional<bool> retry) = 0;
};

// The world outside.
class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;      // monotonic
    virtual Millis wall_ms() = 0;  // since 1970
    // Carries an attempt to an engine. Calls into the Exchange come later, never from within start().
    virtual void start_exchange(const std::string& address, engine::UpstreamRequest wanted,
                                std::shared_ptr<UpstreamExchange> exchange) = 0;
    // Stops or goes on reading from the engine.
    virtual void pause(const UpstreamExchange& exchange, bool on) = 0;
    // The Exchange was ended from this side: its connection can't be kept.
    virtual void close(const UpstreamExchange& exchange) = 0;
    // A call whose answer nobody waits for; tried a few times within `limit` ms where no connection comes
    // about.
    virtual void send_detached(const std::string& address, engine::UpstreamRequest wanted, Millis limit) = 0;
    virtual void log(const char* level, const char* event, api::Json fields) = 0;
    // This process has just found that it stood still for so long: what it may have missed is to be looked at
    // before anything is decided (the list of engines: Core::list).
    virtual void on_stall(Millis) {}
};

struct NewRequest {
    std::string id;
    api::ChatRequest chat;
    int cls = 0, tenant = 0;
    Millis patience = 0;  // how long the client waits, in ms from when it asked; 0: not told
    Millis age = 0;       // how long ago its last byte came to this host
    std::string key;      // idempotency key, namespaced by the tenant; empty: none
    bool client_retry = false;
    Client* client = nullptr;
    std::unique_ptr<api::ResponseWriter> answer;
};

class RequestLifecycle {
public:
    // `error_body` writes an error in the front's form: (error, request id).
    using ErrorBody = std::function<std::string(const api::ApiError&, const std::string&)>;
    RequestLifecycle(const settings::Program& program, std::uint64_t seed, Environment& ports,
                     ErrorBody error_body);
    ~RequestLifecycle();

    // A whole new list; `saved`: as last held by an earlier process, perhaps stale.
    void on_endpoint_list(const std::vector<settings::Engine>& engines, bool saved);
    // False: too many are open; nothing was taken and the client was not called.
    bool on_request(NewRequest request);
    void on_client_disconnected(const std::string& id);
    void on_client_congested(const std::string& id, bool congested);
    // Does what is due; returns the time at which it wants to be called next.
    Millis tick() { return driver_.tick(); }
    // The host's loop is about to wait until `due` at most; it has looked at its sockets at `at`.
    void before_poll(Millis due) { driver_.before_poll(due); }
    void after_poll(Millis at) { driver_.after_poll(at); }
    // Gives every open request its one answer and lets go of all states: the gateway is about to stop.
    void end_all();

    std::size_t open() const { return requests_.size(); }
    std::size_t pending_timers() const { return driver_.pending_timers(); }
    std::function<void()> on_wake;  // a timer was set that is earlier than what tick() last returned
    state::DecisionObserver* observer = nullptr;  // not owned; may be null

private:
    struct AttemptState {
        std::shared_ptr<UpstreamExchange> exchange;
        EndpointId endpoint = 0;
        std::string id, address;
        bool is_prefill = false, in_flight = true, stream_begun = false, written = false;
        Millis sent = 0, last_heard = 0;
        control::AttemptClock clock;
    };
    enum class Kind { router, attempt_timeout, stream_idle, complete_answer, keepalive, lease };
    struct Request;
    using Driver = proxy::RouterDriver<Request, Kind>;
    struct Request {
        explicit Request(Millis release_within) : lease(release_within) {}
        NewRequest request;
        Millis arrived = 0, deadline = 0, last_sent_at = 0, closed_at = 0;
        bool closed = false;  // its client has its final answer, or is gone
        bool congested = false;
        std::deque<AttemptState> attempts;
        std::vector<int> prefill_attempts;  // tries (reads) that may have left a state
        std::string parameters;             // of the state at hand
        control::KvLease lease;             // the lease on those states
        int state_attempt = -1;
        int status = 0;
        api::Usage usage;
        const char* ending = "";
        Driver::OwnedTimers alarms, timeouts;
    };

    Request* find(const std::string& id);
    AttemptState* find_attempt(Request* request, int attempt);
    void feed(Event event) { driver_.feed(std::move(event)); }
    void forget_closed_requests();
    void execute(const Action& action);
    void start_attempt(const StartAttempt& start);
    void stop_attempt(const StopAttempt& stop);
    void release_leases(Request& request, bool all);
    void schedule_lease_check(Request& request);
    void on_lease_timer(Request& request);
    void reject(Request& request, int status, const api::ApiError& error, Millis pause, bool retry);
    void fail_stream(Request& request, const api::ApiError& error);
    void on_stream_begun(const std::string& id, int attempt);
    void on_stream_text(const std::string& id, int attempt, std::string_view piece);
    void on_attempt_ended(const std::string& id, int attempt, AttemptOutcome outcome);
    void close_request(Request& request, int status, const char* ending);
    void end_exchange(AttemptState& attempt, void (UpstreamExchange::*how)());
    void set_timer(Kind kind, Millis at, Request* owner, int attempt = 0);
    void on_timer(const Driver::Timer& timer);
    void log_request(const Request& request);

    const settings::Program& program_;
    Environment& environment_;
    ErrorBody error_body_;
    std::unique_ptr<engine::Dialect> dialect_;
    Driver driver_;
    std::unordered_map<std::string, Request> requests_;
    std::map<EndpointId, settings::Engine> endpoints_;
    std::vector<std::string> closed_requests_;  // closed requests to look at once the Router is at rest
};

}  // namespace gorsenotch::gateway
