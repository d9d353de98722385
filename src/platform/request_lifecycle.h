// The lifecycle of each request on the platform: feeds the Router every event and executes its actions.
//
// The Router makes all decisions. This module guarantees what needs none: one final answer for each client,
// an end for every broken stream, and a release for whatever endpoints may hold. The work is divided between
//   AttemptRunner      attempts at endpoints: start, timeout, end
//   LeaseManager       KV-cache leases and their release
//   StreamForwarder    streams that have begun
//   RequestCompletion  final answers, access log, removal of records
// which share a LifecycleContext. No I/O; the clock and connections come from Environment.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "control/invariant_checker.h"
#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/access_log.h"
#include "platform/attempt_runner.h"
#include "platform/client.h"
#include "platform/health_checker.h"
#include "platform/lease_keeper.h"
#include "platform/lease_releaser.h"
#include "platform/lifecycle_context.h"
#include "platform/request.h"
#include "platform/request_completion.h"
#include "platform/stream_forwarder.h"

namespace gorsenotch::platform {

// Ownership: the context and with it all records, the four parts and the Router. Clients, the endpoint list,
// the settings and the environment belong to the caller and have to outlive it. Times: ms on the clock of
// Environment::now(). Errors: none are thrown; failures end the requests concerned. Threading: one thread;
// Environment and Client may call back from within its calls to them.
//
// The Router knows a request by a handle, which is never reused. Clients and endpoints know it by the
// client's transaction id, which may be reused once the request has ended.
class RequestLifecycle {
public:
    RequestLifecycle(const settings::NamedSettings& named, std::uint64_t seed, EndpointList& endpoints,
                     Environment& environment);

    // ---- requests ----
    // A request with this transaction id is open.
    bool is_open(const std::string& txn) const { return context_.requests.contains_transaction(txn); }
    // A request with the same transaction id may have had its effect, which must not happen twice.
    bool may_have_executed(const Inbound& inbound) {
        return context_.executed_requests.contains(context_.environment.now(), inbound.txn);
    }
    // Accepts a request and returns its handle for the calls below; 0: a request with its transaction id is
    // open, and this one was not accepted. `age`: ms since its first byte was received.
    std::uint64_t on_request(Inbound inbound, Millis age, Client* client);
    // The client of the request has closed its connection.
    void on_client_disconnected(std::uint64_t handle);
    // Output was handed to the kernel for the client of the request.
    void on_client_output_sent(std::uint64_t handle) { streams_.on_client_output_sent(handle); }

    // To be called after EndpointList has applied the update, or to report that discovery has failed.
    void on_endpoint_update(EndpointUpdate update);
    // Executes one of the Router's actions. Public for tests that inject actions.
    void execute(const Action& action);

    // ---- while the process is stopping ----
    // Streams that have begun and not ended.
    std::size_t open_streams() const { return streams_.open_streams(); }
    // Ends the latest `count` streams; their clients resume them at another gateway.
    void migrate_streams(std::size_t count) { streams_.migrate_latest(count); }
    // Gives requests without a stream their final answer now, as the Router decides.
    void shutdown() { context_.driver.feed(Shutdown{}); }

    // ---- the event loop; see proxy::RouterDriver ----
    // Runs what is due; returns the time of the next call.
    Millis tick();
    void before_poll(Millis due) { context_.driver.before_poll(due); }
    void after_poll(Millis at) { context_.driver.after_poll(at); }
    std::function<void()>& on_wake() { return context_.driver.on_wake; }

    // ---- status ----
    std::size_t open_requests() const { return context_.requests.size(); }
    std::size_t releases_in_progress() const { return lease_keeper_.releases_in_progress(); }
    std::size_t paused_streams() const { return streams_.paused_streams(); }
    std::size_t attempts_in_flight() const { return context_.attempts_in_flight; }
    const Counters& counters() const { return context_.counters; }
    const LeaseReleaser::Counts& release_counts() const { return lease_keeper_.release_counts(); }
    const HealthChecker& health_checker() const { return context_.health_checker; }
    const AccessLog& access_log() const { return completion_.access_log(); }
    const control::InvariantChecker& invariant_checker() const { return context_.invariant_checker; }

private:
    void on_router_release(const ReleaseLease& release);
    void on_router_reject(const Reject& reject);
    void on_router_fail(const Fail& fail);
    void on_router_migrate(const MigrateStream& migrate);
    void on_timer(const Driver::Timer& timer);
    void on_attempt_timer(const Driver::Timer& timer);
    void on_violation(control::Invariant invariant, std::uint64_t handle, const std::string& details);

    LifecycleContext context_;
    LeaseManager lease_keeper_;
    RequestCompletion completion_;
    StreamForwarder streams_;
    AttemptRunner attempts_;
};

}  // namespace gorsenotch::platform
