// Checks at run time what was done for each request against the rules: an account of its own, told of effects
// only and kept apart from what decides them (the Router, control/send_preconditions). No I/O; the clock is
// handed in, ms.
//
// A breach is counted by its rule and handed to on_violation. Ownership: one entry for each request until
// forget(). Errors: calls about an unknown request change nothing.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gorsenotch/logic.h"

namespace gorsenotch::control {

enum class Invariant {
    sent_after_end,        // an attempt after the final answer, or for a client known to have left
    sent_while_draining,   // an attempt at a server that has been told not to be up for longer than the grace
    overlapping_attempts,  // a second attempt while one is out
    duplicate_execution,   // a further attempt after a write of an unsafe request that may have run
    outside_dedup_scope,   // a further attempt of a keyed request outside its group
    outside_dedup_window,  // or after its window
    rejected_after_possible_run,  // a refusal after a write that may have run and must not be repeated
    duplicate_answer,
    lease_overrun,  // a read state for longer than allowed, with no proof that it was taken or let go of
    late_answer,    // may be this process's standstill, so it is counted and never fatal
};
constexpr std::array<const char*, 10> kInvariantNames = {
    "sent_after_end",      "sent_while_draining",  "overlapping_attempts",        "duplicate_execution",
    "outside_dedup_scope", "outside_dedup_window", "rejected_after_possible_run", "duplicate_answer",
    "lease_overrun",       "late_answer"};

class InvariantChecker {
public:
    using Handle = std::uint64_t;
    explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

    std::function<void(Invariant, Handle, const std::string& what)> on_violation;

    void on_request_accepted(Handle request, int cls, Millis deadline);
    // The list as it was taken: `mode` of a server, at each entry.
    void on_endpoint_listed(EndpointId server, EndpointStatus mode, Millis now);
    void on_full_list(const std::vector<Endpoint>& entries, Millis now);  // what it lacks is gone
    // The first byte of an attempt goes out.
    void on_attempt_sent(Handle request, int attempt, const Endpoint& to, Role role, Millis now);
    void on_attempt_ended(Handle request, int attempt, bool never_ran);
    void on_answered(Handle request, bool refused, Millis now);
    void on_client_disconnected(Handle request);
    void forget(Handle request) { requests_.erase(request); }

    // ---- what a read leaves, told by answers alone; kept beyond forget() until it is gone ----
    // `stood`: time that this process has stood still, in sum; that is nobody's.
    void on_prefill_answered(Handle request, Millis now, Millis stood);
    // A byte of an answer to a write: it has arrived.
    void on_decode_answered(Handle request);
    void on_decode_ended(Handle request, Millis now, Millis stood);
    void on_lease_taken(Handle request) { leases_.erase(request); }
    // A server was asked to release it.
    void on_release_called(Handle request);
    // A server answered a release that was sent at `sent`.
    void on_release_answered(Handle request, Millis sent);
    // Any server has answered anything.
    void on_endpoint_answered(Millis now) { last_answer_at_ = now; }
    // To be called as often as is convenient.
    void check_leases(Millis now, Millis stood);
    // Held too long though several servers were asked, or while no server answered anything: no breach, as
    // nothing more could be done. They may have been reached and hang.
    std::uint64_t unanswered_leases() const { return unanswered_leases_; }

    const std::array<std::uint64_t, kInvariantNames.size()>& violations() const { return violations_; }
    std::size_t size() const { return requests_.size(); }

private:
    struct SentAttempt {
        int attempt = 0;
        Endpoint to;
        bool is_decode = false, in_flight = true, never_ran = false;
        Millis sent_at = 0;
    };
    struct Request {
        int cls = 0;
        Millis deadline = 0;
        bool answered = false, client_disconnected = false;
        std::vector<SentAttempt> sent;
    };
    struct Lease {
        Millis since = 0, stalled_for = 0;
        bool decode_arrived = false;  // a write that is out has
        int release_calls = 0;        // releases asked for
    };
    void report_violation(Invariant rule, Handle request, const std::string& what);
    void check_retry(Handle handle, const Request& request, const SentAttempt& before, const Endpoint& to,
                     Millis now);

    const Settings& settings_;
    std::unordered_map<Handle, Request> requests_;
    std::unordered_map<EndpointId, Millis> unhealthy_since_;  // servers told not to be up, since when
    std::unordered_map<Handle, Lease> leases_;
    Millis last_answer_at_ = 0, next_check_ = 0;
    std::uint64_t unanswered_leases_ = 0;
    std::array<std::uint64_t, kInvariantNames.size()> violations_{};
};

}  // namespace gorsenotch::control
