// The life of each request on the platform: feeds the Router every event and carries out its actions through
// Ports. No I/O; the clock is handed in. It decides nothing that the Router decides; what it adds are duties
// without a choice: one final answer for each client, an ending for a stream that breaks, and a release for
// every state or place that may be held.
//
// Times: ms on the clock of Ports::now(). Threading: one thread; Ports and Client may call back from within
// its calls to them. Requests get serials of our own towards the Router, whose ids never repeat; towards
// clients and engines they keep the client's id, which may come again once its request is over.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "control/invariant_checker.h"
#include "control/kv_lease.h"
#include "control/send_preconditions.h"
#include "platform/access_log.h"
#include "platform/endpoint_list.h"
#include "platform/environment.h"
#include "platform/health_checker.h"
#include "platform/lease_releaser.h"
#include "platform/request.h"
#include "platform/upstream_exchange.h"
#include "proxy/router_driver.h"

namespace gorsenotch::platform {

// Where a request's answer goes: begin, more ..., then done or cut; or final alone. Each is the last but
// begin and more.
class Client {
public:
    virtual ~Client() = default;
    virtual void begin_stream(std::string_view events) = 0;  // 200 and the first event
    virtual void send_events(std::string_view events) = 0;
    virtual void finish_stream() = 0;  // the stream was whole
    virtual void abort_stream() = 0;   // it broke: the connection ends without the last chunk
    virtual void send_final(int status, Millis pause,
                            std::string_view why) = 0;  // pause: ms, 0 for no advice
    // It has closed its connection, though that has not been read yet.
    virtual bool has_disconnected() { return false; }
};

struct Counters {
    std::uint64_t arrived = 0, served = 0, rejected = 0, failed = 0, broken = 0, client_disconnected = 0,
                  migrated = 0;
    std::uint64_t attempts = 0, results[9] = {};  // by Result
    std::array<std::uint64_t, control::kSendBlockReasonNames.size()> send_blocks{};
    // States and places held: by what became of their releases, and why these began.
    std::array<std::uint64_t, kReleaseEnds.size()> release_ends{};
    std::array<std::uint64_t, kReleaseReasons.size()> release_reasons{};
    Millis longest_lease = 0;  // until a release was answered
};

class RequestLifecycle {
public:
    RequestLifecycle(const settings::NamedSettings& named, std::uint64_t seed, EndpointList& hosts,
                     Environment& ports);

    // After EndpointList has taken it, or to say that discovery failed.
    void on_endpoint_update(EndpointUpdate update);
    // Carries out one of the Router's actions. Public for those that this module never asks for.
    void execute(const Action& action);
    // A request with this id is.
    bool open(const std::string& txn) const { return open_transactions_.count(txn) > 0; }
    // Returns the handle that names it in the calls below; 0: one with its id is open, and nothing was taken.
    // `age`: ms since its first byte came.
    std::uint64_t on_request(Inbound in, Millis age, Client* client);
    void on_client_disconnected(std::uint64_t handle);
    void on_client_congested(std::uint64_t handle, bool congested);

    // For a gateway that stops. Streams that have begun and not ended; the latest `n` of them are handed back
    // to their clients, which ask for the rest elsewhere.
    std::size_t streams() const;
    void migrate_streams(std::size_t n);
    // Streams of requests that came after that time, and whose servers have said nothing for a while, end
    // now: the platform lets the kill end earlier ones alone.
    void end_silent_streams(Millis taken_after);
    // Whatever has not begun gets its final answer now; which one is the Router's to say.
    void shutdown() { driver_.feed(Shutdown{}); }

    Millis tick() {
        invariant_checker_.check_leases(environment_.now(), driver_.stalled_for());
        return driver_.tick();
    }
    void before_poll(Millis due) { driver_.before_poll(due); }
    void after_poll(Millis at) { driver_.after_poll(at); }
    std::function<void()>& on_wake() { return driver_.on_wake; }

    std::size_t open() const { return requests_.size(); }
    std::size_t releases() const { return releases_.size(); }
    std::size_t attempts_in_flight() const { return attempts_in_flight_; }
    const Counters& counters() const { return counters_; }
    const LeaseReleaser::Counts& release_counts() const { return releases_.counts(); }
    const HealthChecker& health_checker() const { return health_checker_; }
    const AccessLog& access_log() const { return access_log_; }
    const control::InvariantChecker& invariant_checker() const { return invariant_checker_; }

private:
    struct AttemptState {
        std::shared_ptr<UpstreamExchange> exchange;
        EndpointId endpoint = 0;
        bool is_prefill = false, in_flight = true, stream_begun = false, written = false;
        Millis sent = 0, last_heard = 0, ended = 0;
        AttemptResult result = AttemptResult::served;
        control::AttemptClock clock;
    };
    struct Request;
    enum class Kind { router, attempt_timeout, stream_idle, reservation, release, lease, health_check };
    using Driver = proxy::RouterDriver<Request, Kind>;
    struct Request {
        explicit Request(Millis release_within) : lease(release_within) {}
        Inbound inbound;
        std::uint64_t handle = 0;
        Client* client = nullptr;
        Millis arrived = 0, deadline = 0, stream_begun_at = -1;  // `begun`: its stream
        double tokens = 0;                                       // of its answer, where that says
        bool closed = false;  // its client has its final answer, or is gone
        bool congested = false;
        control::KvLease lease;      // what model servers may hold for it
        Millis lease_check_at = -1;  // when held_due() is called next; below 0: not
        std::deque<AttemptState> attempts;
        std::shared_ptr<UpstreamExchange> reservation;
        std::uint64_t release = 0;  // the latest release under way
        Driver::OwnedTimers timers, timeouts;
    };

    Request* find(std::uint64_t handle);
    Request* find(const RequestId& id);
    AttemptState* find_attempt(Request* request, int attempt);
    static bool attempt_in_flight(const Request& request);  // an attempt is out
    static bool stream_begun(const Request& request);       // its stream has; no attempt follows that one
    std::optional<EndpointStatus> endpoint_status(EndpointId server);  // by the latest list
    // Whether an attempt may begin now, see control/send_preconditions: asked when it is decided and again
    // before its first byte. `since`: when it was decided; `takes`: it is to take a read state.
    bool may_start(std::uint64_t handle, EndpointId server, Millis send_by, Millis since, bool takes);
    void start_attempt(const gorsenotch::StartAttempt& start);
    void abort_attempt(AttemptState& attempt, AttemptResult result, const char* why);
    void reserve_slot(const ReserveSlot& reserve);
    void release_lease(Request& request, ReleaseReason reason);
    void schedule_lease_check(Request& request);
    void on_lease_timer(Request& request);
    void release_expiring_lease(Request& request);
    std::string describe_lease(const Request& request);
    std::string endpoint_name(EndpointId server);
    void on_release_ended(const LeaseReleaser::Ended& ended);
    void send_final(Request& request, int status, Millis pause, const char* why, EndCause cause);
    void abort_stream(Request& request);
    void stop_reading_stream(Request& request, const char* why);
    void migrate(Request& request, const char* why);
    void on_first_event(std::uint64_t handle, int attempt, std::string_view events);
    void on_more_events(std::uint64_t handle, int attempt, std::string_view events);
    void on_attempt_ended(std::uint64_t handle, int attempt, const AttemptOutcome& outcome);
    void record_client_disconnect(Request& request);
    void close_request(Request& request);
    void on_violation(control::Invariant rule, std::uint64_t handle, const std::string& what);
    void log_request(const Request& request, std::optional<RequestOutcome> disposition,
                     std::optional<EndCause> cause = std::nullopt);
    void on_timer(const Driver::Timer& timer);
    void on_router_idle();
    void revisit_when_idle(std::uint64_t handle) { to_revisit_.push_back(handle); }

    const settings::NamedSettings& named_;
    EndpointList& endpoints_;
    Environment& environment_;
    Driver driver_;
    std::unordered_map<std::uint64_t, Request> requests_;
    std::unordered_set<std::string> open_transactions_;
    LeaseReleaser releases_;
    HealthChecker health_checker_;
    std::vector<std::uint64_t> to_revisit_;  // requests to look at once the Router is at rest
    std::uint64_t last_handle_ = 0;
    std::size_t attempts_in_flight_ = 0;
    Counters counters_;
    control::PrefillTimes prefill_times_;
    AccessLog access_log_;
    LineBudget release_log_budget_{AccessLog::kLinesPerSecond};
    control::InvariantChecker invariant_checker_;
};

}  // namespace gorsenotch::platform
