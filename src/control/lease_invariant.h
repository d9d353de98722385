// Checks at run time that KV caches left by prefills are taken or released in time, from responses alone. An
// account of its own, kept apart from what decides releases (control/kv_lease). No I/O; the clock is handed
// in, ms.
//
// Ownership: part of InvariantChecker. One entry for each held KV cache, kept beyond the request until it is
// proved taken or released, or reported. Errors: calls about an unknown request change nothing.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::control {

class LeaseInvariant {
public:
    using Handle = std::uint64_t;
    // A KV cache held for longer than allowed, with no proof that it was taken or released.
    struct Overrun {
        Handle request = 0;
        Millis age = 0;
    };
    explicit LeaseInvariant(const Settings& settings) : settings_(settings) {}

    // `stalled_for`: the sum of this process's standstills so far, which count against nobody.
    void on_prefill_answered(Handle request, Millis now, Millis stalled_for);
    // A byte of a decode's response: the decode has arrived.
    void on_decode_answered(Handle request);
    void on_decode_ended(Handle request, Millis now, Millis stalled_for);
    void on_lease_taken(Handle request) { leases_.erase(request); }
    // An endpoint was asked to release it.
    void on_release_called(Handle request);
    // An endpoint answered a release that was sent at `sent`.
    void on_release_answered(Handle request, Millis sent);
    // Any endpoint has answered anything.
    void on_endpoint_answered(Millis now) { last_answer_at_ = now; }

    // Reports each overrun once. To be called as often as is convenient; it looks only every so often.
    std::vector<Overrun> check(Millis now, Millis stalled_for);
    // Overruns that are no violation, as nothing more could be done: several endpoints were asked, or none
    // answered anything. They may have been reached and hang.
    std::uint64_t unanswered() const { return unanswered_; }

private:
    struct Lease {
        Millis since = 0;
        Millis stalled_for = 0;       // at `since`
        bool decode_arrived = false;  // the decode in flight
        int release_calls = 0;
    };
    Millis allowed() const;
    bool nothing_more_to_do(const Lease& lease) const;

    const Settings& settings_;
    std::unordered_map<Handle, Lease> leases_;
    Millis last_answer_at_ = 0;
    Millis next_check_ = 0;
    std::uint64_t unanswered_ = 0;
};

}  // namespace gorsenotch::control
