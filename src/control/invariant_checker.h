// Checks the effects of each request against the invariants at run time. It keeps its own records, fed by
// effects only, and shares no state with the code that decides on them (the Router,
// control/send_preconditions). No I/O; the caller supplies the clock, in ms.
//
// Each violation is counted by invariant and passed to on_violation.
// Ownership: one per request lifecycle, its only caller. It holds one entry per request until drop_request(),
// and one per leased KV cache, see control/lease_invariant. Errors: calls for an unknown request have no
// effect.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/lease_invariant.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The checked invariants, each named for its violation; kInvariantNames has the names for the log.
enum class Invariant {
    sent_after_end,        // an attempt after the final response, or for a client known to have disconnected
    sent_while_draining,   // an attempt to an endpoint listed as not healthy for longer than the drain grace
    overlapping_attempts,  // a second attempt while another is in flight
    duplicate_execution,   // another attempt after a decode of an unsafe request that may have run
    outside_dedup_scope,   // another attempt of a keyed request outside its dedup scope
    outside_dedup_window,  // another attempt of a keyed request after its dedup window
    rejected_after_possible_run,  // a rejection after a decode that may have run and must not be repeated
    duplicate_answer,
    lease_overrun,  // a KV cache leased for too long with no proof that it was taken or released
    late_answer,    // a stall of this process can cause it, so it is counted and never fatal
};
constexpr std::array<const char*, 10> kInvariantNames = {
    "sent_after_end",      "sent_while_draining",  "overlapping_attempts",        "duplicate_execution",
    "outside_dedup_scope", "outside_dedup_window", "rejected_after_possible_run", "duplicate_answer",
    "lease_overrun",       "late_answer"};

// Records the effects of each request, counts violations and reports each through on_violation.
class InvariantChecker {
public:
    using Handle = LeaseInvariant::Handle;
    // `settings` must outlive this.
    explicit InvariantChecker(const Settings& settings) : settings_(settings), leases_(settings) {}

    // `detail`: for the log, may be empty.
    std::function<void(Invariant, Handle, const std::string& detail)> on_violation;

    // ---- requests and their attempts ----
    void on_request_accepted(Handle request, int cls, Millis deadline);
    // Called for each entry of a received endpoint list.
    void on_endpoint_listed(EndpointId endpoint, EndpointStatus status, Millis now);
    // Called for each full list: an endpoint missing from it is removed.
    void on_full_list(const std::vector<Endpoint>& entries, Millis now);
    // The first byte of an attempt was sent.
    void on_attempt_sent(Handle request, int attempt, const Endpoint& to, Role role, Millis now);
    // `never_ran`: it is proved that the endpoint did not run the attempt.
    void on_attempt_ended(Handle request, int attempt, bool never_ran);
    // The client got a final response. `rejected`: the request was rejected, so the client may retry it.
    void on_answered(Handle request, bool rejected, Millis now);
    void on_client_disconnected(Handle request);
    // Drops the request's entry; its KV lease remains.
    void drop_request(Handle request) { requests_.erase(request); }

    // ---- KV caches stored by prefills, see LeaseInvariant ----
    void on_prefill_answered(Handle request, Millis now, Millis stalled_for) {
        leases_.on_prefill_answered(request, now, stalled_for);
    }
    void on_decode_answered(Handle request) { leases_.on_decode_answered(request); }
    void on_decode_ended(Handle request, Millis now, Millis stalled_for) {
        leases_.on_decode_ended(request, now, stalled_for);
    }
    void on_lease_taken(Handle request) { leases_.on_lease_taken(request); }
    void on_release_called(Handle request) { leases_.on_release_called(request); }
    void on_release_answered(Handle request, Millis sent) { leases_.on_release_answered(request, sent); }
    void on_endpoint_answered(Millis now) { leases_.on_endpoint_answered(now); }
    // May be called at any interval.
    void check_leases(Millis now, Millis stalled_for);
    // See LeaseInvariant::unanswered().
    std::uint64_t unresponsive_overruns() const { return leases_.unanswered(); }

    // ---- results ----
    // The number of violations by Invariant.
    const std::array<std::uint64_t, kInvariantNames.size()>& violations() const { return violations_; }
    // The number of requests with an entry.
    std::size_t size() const { return requests_.size(); }

private:
    struct SentAttempt {
        int attempt = 0;
        Endpoint to;
        bool is_decode = false;
        bool in_flight = true;
        bool never_ran = false;
        Millis sent_at = 0;
    };
    struct Request {
        int cls = 0;
        Millis deadline = 0;
        bool answered = false;
        bool client_disconnected = false;
        std::vector<SentAttempt> sent;
    };
    const ClassSettings& class_of(const Request& request) const;
    void report_violation(Invariant invariant, Handle request, const std::string& detail);
    void check_request_open(Handle handle, const Request& request);
    void check_endpoint_healthy(Handle handle, const Endpoint& to, Millis now);
    void check_retry(Handle handle, const Request& request, const SentAttempt& earlier, const Endpoint& to,
                     Millis now);
    void check_rejection(Handle handle, const Request& request);

    const Settings& settings_;
    std::unordered_map<Handle, Request> requests_;
    std::unordered_map<EndpointId, Millis> unhealthy_since_;  // only endpoints listed as not healthy
    LeaseInvariant leases_;
    std::array<std::uint64_t, kInvariantNames.size()> violations_{};
};

}  // namespace gorsenotch::control
