// What the parts of RequestLifecycle share: the settings, the process around them, and the components that
// each of them reports to.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "control/invariant_checker.h"
#include "control/send_preconditions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/endpoint_list.h"
#include "platform/health_checker.h"
#include "platform/lease_releaser.h"
#include "platform/request_state.h"

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
    std::uint64_t results[9] = {};  // by AttemptResult
    std::array<std::uint64_t, control::kSendBlockReasonNames.size()> send_blocks{};
    // Releases by how they ended and by why they began.
    std::array<std::uint64_t, kReleaseEnds.size()> release_ends{};
    std::array<std::uint64_t, kReleaseReasons.size()> release_reasons{};
    Millis longest_lease = 0;  // ms until a release was answered

    std::uint64_t& of(AttemptResult result) { return results[static_cast<std::size_t>(result)]; }
};

// Ownership: RequestLifecycle owns the one instance and outlives the parts that hold a reference to it. The
// settings, the list and the environment belong to the caller of RequestLifecycle. Any part may call the
// driver, the table, the checkers and count; the hooks of the driver and of the invariant checker are set by
// RequestLifecycle alone. Threading: one thread.
struct LifecycleContext {
    LifecycleContext(const settings::NamedSettings& named_settings, std::uint64_t seed,
                     EndpointList& endpoint_list, Environment& process)
        : named(named_settings),
          endpoints(endpoint_list),
          environment(process),
          driver(named.settings, seed, &RequestState::timers, &RequestState::timeouts),
          requests(named.settings.lease_release_timeout),
          health_checker(control::KvLease(named.settings.lease_release_timeout).duration(), endpoints,
                         environment,
                         [this](Millis at, EndpointId endpoint) {
                             driver.set_timer(TimerKind::health_check, at, nullptr, 0, endpoint, true);
                         }),
          invariant_checker(named.settings) {}
    LifecycleContext(const LifecycleContext&) = delete;
    LifecycleContext& operator=(const LifecycleContext&) = delete;

    // As the latest list has it; nothing where the endpoint is not listed.
    std::optional<EndpointStatus> endpoint_status(EndpointId id) {
        const DiscoveredEndpoint* endpoint = endpoints.find(id);
        return endpoint ? std::optional(endpoint->endpoint.status) : std::nullopt;
    }
    // For log lines; "gone" where the endpoint is not listed.
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
    Counters counters;
    std::size_t attempts_in_flight = 0;  // of all requests
};

}  // namespace gorsenotch::platform
