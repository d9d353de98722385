// The life of each request on the platform: it feeds the Router every event and carries out its actions.
//
// The Router decides; what this adds are duties without a choice: one final answer for each client, an end
// for a stream that breaks, and a release for whatever endpoints may keep. The work is divided between
//   AttemptRunner      attempts at endpoints: start, timeout, end
//   LeaseKeeper        KV-cache leases and their release
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
// Environment::now(). Errors: none are thrown; what goes wrong ends requests. Threading: one thread;
// Environment and Client may call back from within its calls to them.
//
// Requests get handles of this class's own towards the Router, whose ids never repeat; towards clients and
// endpoints they keep the client's id, which may come again once its request is over.
class RequestLifecycle {
public:
    RequestLifecycle(const settings::NamedSettings& named, std::uint64_t seed, EndpointList& endpoints,
                     Environment& environment);

    // ---- requests ----
    // A request with this id of a client's is open.
    bool open(const std::string& txn) const { return context_.requests.contains_transaction(txn); }
    // Returns the handle that names the request in the calls below; 0: one with its id is open, and nothing
    // was taken. `age`: ms since its first byte came.
    std::uint64_t on_request(Inbound inbound, Millis age, Client* client);
    void on_client_disconnected(std::uint64_t handle);
    void on_client_congested(std::uint64_t handle, bool congested) {
        streams_.on_client_congested(handle, congested);
    }

    // To be called after EndpointList has taken the update, or to say that discovery failed.
    void on_endpoint_update(EndpointUpdate update);
    // Carries out one of the Router's actions. Public for those that tests ask for themselves.
    void execute(const Action& action);

    // ---- for a process that stops ----
    // Streams that have begun and not ended.
    std::size_t streams() const { return streams_.streams(); }
    // Ends the latest `count` of them; their clients ask for the rest elsewhere.
    void migrate_streams(std::size_t count) { streams_.migrate_latest(count); }
    // Ends the streams of requests that arrived at `arrived_since` or later and whose endpoints have been
    // silent for a while: the platform lets the kill end earlier ones alone.
    void end_silent_streams(Millis arrived_since) { streams_.end_silent(arrived_since); }
    // Requests without a stream get their final answer now; which one is the Router's to say.
    void shutdown() { context_.driver.feed(Shutdown{}); }

    // ---- the event loop; see proxy::RouterDriver ----
    // Does what is due; returns the time at which it wants to be called next.
    Millis tick();
    void before_poll(Millis due) { context_.driver.before_poll(due); }
    void after_poll(Millis at) { context_.driver.after_poll(at); }
    std::function<void()>& on_wake() { return context_.driver.on_wake; }

    // ---- status ----
    std::size_t open() const { return context_.requests.size(); }
    std::size_t releases() const { return lease_keeper_.releases_in_progress(); }
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
    LeaseKeeper lease_keeper_;
    RequestCompletion completion_;
    StreamForwarder streams_;
    AttemptRunner attempts_;
};

}  // namespace gorsenotch::platform
