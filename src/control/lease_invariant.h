// Checks at run time that KV caches stored by prefills are taken or released in time, based on responses
// alone. It keeps its own records and shares no state with the code that decides on releases
// (control/lease_ledger). No I/O; the caller supplies the clock, in ms.
//
// Ownership: part of InvariantChecker. It holds one entry per leased KV cache, even after the request ends,
// until the cache is proved taken or released, or its overrun is reported. Errors: calls for an unknown
// request have no effect.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// Records the KV lease of each request and finds the leases that overran.
class LeaseInvariant {
public:
    using Handle = std::uint64_t;
    // A KV cache leased for longer than allowed, with no proof that it was taken or released.
    struct Overrun {
        Handle request = 0;
        Millis age = 0;
    };
    explicit LeaseInvariant(const Settings& settings) : settings_(settings) {}

    // A prefill's response was received, so its KV cache is stored.
    // `stalled_for`: total stall time of this process so far; it does not count towards a lease's age.
    void on_prefill_answered(Handle request, Millis now, Millis stalled_for);
    // The first byte of a decode's response was received, so the decode arrived at its endpoint.
    void on_decode_answered(Handle request);
    // The decode ended without taking the KV cache. If it had arrived, the lease restarts.
    void on_decode_ended(Handle request, Millis now, Millis stalled_for);
    // A decode took the KV cache.
    void on_lease_taken(Handle request) { leases_.erase(request); }
    // A release was sent to an endpoint.
    void on_release_called(Handle request);
    // An endpoint answered a release that was sent at `sent_at`.
    void on_release_answered(Handle request, Millis sent_at);
    // Any endpoint answered any request.
    void on_endpoint_answered(Millis now) { last_answer_at_ = now; }

    // Reports each overrun once. May be called at any interval; calls within the check interval do nothing.
    std::vector<Overrun> check(Millis now, Millis stalled_for);
    // Overruns that are not violations, as no endpoint responded: either several releases were sent and none
    // was answered, or no endpoint answered any request since half of the allowed time. The endpoints may be
    // reachable but hung.
    std::uint64_t unanswered() const { return unanswered_; }

private:
    struct Lease {
        Millis acquired_at = 0;
        Millis stalled_for = 0;       // at `acquired_at`
        bool decode_arrived = false;  // the decode in flight arrived at its endpoint
        int release_calls = 0;
    };
    Millis allowed_duration() const;
    bool endpoints_unresponsive(const Lease& lease) const;

    const Settings& settings_;
    std::unordered_map<Handle, Lease> leases_;
    Millis last_answer_at_ = 0;
    Millis next_check_ = 0;
    std::uint64_t unanswered_ = 0;
};

}  // namespace gorsenotch::control
