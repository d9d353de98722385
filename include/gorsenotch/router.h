// The Router: decides which endpoint serves a request, and when to retry, shed or migrate it.
//
// A host (a gateway, or the simulator adapter) creates one Router for each gateway process, reports every
// event to it in the order in which it happened and carries out the returned actions in the order given.
//
// Units: times are milliseconds on one monotonic clock of the host's choosing; lengths are tokens.
// Ownership: the Router copies what it needs; ids handed in come back unchanged.
// Threading: a Router has no locks and no global state; calls to one Router must not overlap.
// Errors: the constructor throws std::invalid_argument naming the setting at fault. An event about an unknown
// request, attempt, timer or endpoint changes nothing. The host guarantees that time never goes backwards,
// request ids never repeat within a Router's lifetime, each StartAttempt gets exactly one AttemptEnded, and
// each SetTimer one TimerFired.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch {

class Router {
public:
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Handles one event that happened at `now`; appends the actions to carry out at once to `actions`.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gorsenotch
