// The Router decides which endpoint serves a request, and when to retry, shed or migrate it.
//
// A host (a gateway, or the simulator adapter) creates one Router per gateway process, reports events to it
// in the order in which they occurred, and executes the returned actions in the order given.
//
// Units: times are in milliseconds on a monotonic clock chosen by the host; lengths are in tokens.
// Ownership: the Router copies the data that it keeps. Actions carry the ids of the events unchanged.
// Threading: a Router is not thread-safe; it has no locks and no global state. Calls to one Router must not
// overlap.
// Errors: the constructor throws std::invalid_argument, which names the invalid setting. An event for an
// unknown request, attempt, timer or endpoint has no effect.
//
// Preconditions: time does not decrease, request ids are not reused within a Router's lifetime, and the host
// reports exactly one AttemptEnded for each StartAttempt and one TimerFired for each SetTimer.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch {

// The decision engine of one gateway process.
class Router {
public:
    // `seed` initializes the random number generator and the hashes of requests.
    Router(const Settings& settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Handles an event that occurred at `now` and appends the actions to execute immediately to `actions`.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gorsenotch
