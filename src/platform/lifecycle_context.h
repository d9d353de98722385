// The context shared by the parts of RequestLifecycle: the settings, the environment, and the components that
// all parts use.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "control/executed_requests.h"
#include "control/invariant_checker.h"
#include "control/send_preconditions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/endpoint_list.h"
#include "platform/health_checker.h"
#include "platform/lease_releaser.h"
#include "platform/request_state.h"
#include "platform/stream_monitor.h"

namespace gorsenotch::platform {

// Counts since the start of the process, for the status line.
struct Counters {
    std::uint64_t arrived = 0;
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken = 0;
    std::uint64_t client_disconnected = 0;
    std::uint64_t migrated = 0;
    std::uint64_t attempts = 0;
    std::uint64_t responses_too_long = 0;
    std::uint64_t stream_pauses = 0;    // an endpoint is not read because the client lags behind
    std::uint64_t stream_resumes = 0;   // it is read again
    std::uint64_t stalled_clients = 0;  // their paused stream was ended, as they took nothing of it
    std::uint64_t results[9] = {};      // by AttemptResult
    std::array<std::uint64_t, kStreamEndNames.size()> stream_ends{};
    std::array<std::uint64_t, control::kSendBlockReasonNames.size()> send_blocks{};
    // Releases by how they ended and by why they were started.
    std::array<std::uint64_t, kReleaseEnds.size()> release_ends{};
    std::array<std::uint64_t, kReleaseReasons.size()> release_reasons{};
    // ms from the acquisition of a lease until its release was answered, by LeaseOrigin.
    std::array<Millis, control::kLeaseOriginNames.size()> longest_leases{};

    std::uint64_t& of(AttemptResult result) { return results[static_cast<std::size_t>(result)]; }
};

// Ownership: RequestLifecycle owns the one instance and outlives the parts that hold a reference to it. The
// settings, the endpoint list and the environment belong to the caller of RequestLifecycle. Any part may call
// the driver, the table and the checkers, and change the counters; only RequestLifecycle sets the hooks of
// the driver and of the invariant checker. Threading: one thread.
struct LifecycleContext {
    LifecycleContext(const settings::NamedSettings& named_settings, std::uint64_t seed,
                     EndpointList& endpoint_list, Environment& process)
        : named(named_settings),
          endpoints(endpoint_list),
          environment(process),
          driver(named.settings, seed, &RequestState::timers, &RequestState::timeouts),
          requests(named.settings.lease_release_timeout),
          health_checker(control::LeaseLedger(named.settings.lease_release_timeout).duration(), endpoints,
                         environment,
                         [this](Millis at, EndpointId endpoint) {
                             driver.set_timer(TimerKind::health_check, at, nullptr, 0, endpoint, true);
                         }),
          invariant_checker(named.settings) {}
    LifecycleContext(const LifecycleContext&) = delete;
    LifecycleContext& operator=(const LifecycleContext&) = delete;

    // The status in the latest endpoint list; nothing if the endpoint is not listed.
    std::optional<EndpointStatus> endpoint_status(EndpointId id) {
        const DiscoveredEndpoint* endpoint = endpoints.find(id);
        return endpoint ? std::optional(endpoint->endpoint.status) : std::nullopt;
    }
    // For log lines; "gone" if the endpoint is not listed.
    std::string endpoint_name(EndpointId id) {
        const DiscoveredEndpoint* endpoint = endpoints.find(id);
        return endpoint ? endpoint->name : "gone";
    }

    const settings::NamedSettings& named;
    EndpointList& endpoints;
    Environment& environment;
    Driver driver;
    RequestTable requests;
    HealthChecker health_checker;
    control::InvariantChecker invariant_checker;
    // Requests that are not idempotent, and over.
    control::ExecutedRequests executed_requests;
    Counters counters;
    std::size_t attempts_in_flight = 0;  // of all requests
};

}  // namespace gorsenotch::platform
