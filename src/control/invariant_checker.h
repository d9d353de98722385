// Checks at run time what was done for each request against the rules: an account of its own, told of effects
// only and kept apart from what decides them (the Router, control/send_preconditions). No I/O; the clock is
// handed in, ms.
//
// A breach is counted by its rule and handed to on_breach. Ownership: one entry for each request until
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

enum class Rule {
    sent_after_end,     // an attempt after the final answer, or for a client known to have left
    sent_to_drained,    // an attempt at a server that has been told not to be up for longer than the grace
    two_out,            // a second attempt while one is out
    repeated_effect,    // a further attempt after a write of an unsafe request that may have run
    outside_group,      // a further attempt of a keyed request outside its group
    outside_window,     // or after its window
    harmless_promised,  // a refusal after a write that may have run and must not be repeated
    second_answer,
    held_too_long,  // a read state for longer than allowed, with no proof that it was taken or let go of
    late_answer,    // may be this process's standstill, so it is counted and never fatal
};
constexpr std::array<const char*, 10> kRules = {
    "sent_after_end", "sent_to_drained",   "two_out",       "repeated_effect", "outside_group",
    "outside_window", "harmless_promised", "second_answer", "held_too_long",   "late_answer"};

class Audit {
public:
    using Handle = std::uint64_t;
    explicit Audit(const Settings& settings) : settings_(settings) {}

    std::function<void(Rule, Handle, const std::string& what)> on_breach;

    void taken(Handle request, int cls, Millis deadline);
    // The list as it was taken: `mode` of a server, at each entry.
    void listed(EndpointId server, EndpointStatus mode, Millis now);
    void list_is_whole(const std::vector<Endpoint>& entries, Millis now);  // what it lacks is gone
    // The first byte of an attempt goes out.
    void sent(Handle request, int attempt, const Endpoint& to, Role role, Millis now);
    void ended(Handle request, int attempt, bool never_ran);
    void answered(Handle request, bool refused, Millis now);
    void client_left(Handle request);
    void forget(Handle request) { requests_.erase(request); }

    // ---- what a read leaves, told by answers alone; kept beyond forget() until it is gone ----
    // `stood`: time that this process has stood still, in sum; that is nobody's.
    void read_answered(Handle request, Millis now, Millis stood);
    // A byte of an answer to a write: it has arrived.
    void write_answered(Handle request);
    void write_ended(Handle request, Millis now, Millis stood);
    void state_taken(Handle request) { held_.erase(request); }
    // A server was asked to release it.
    void release_called(Handle request);
    // A server answered a release that was sent at `sent`.
    void release_answered(Handle request, Millis sent);
    // Any server has answered anything.
    void server_answered(Millis now) { answered_at_ = now; }
    // To be called as often as is convenient.
    void check_held(Millis now, Millis stood);
    // Held too long though several servers were asked, or while no server answered anything: no breach, as
    // nothing more could be done. They may have been reached and hang.
    std::uint64_t held_unanswered() const { return held_unanswered_; }

    const std::array<std::uint64_t, kRules.size()>& breaches() const { return breaches_; }
    std::size_t size() const { return requests_.size(); }

private:
    struct Sent {
        int attempt = 0;
        Endpoint to;
        bool write = false, out = true, never_ran = false;
        Millis at = 0;
    };
    struct Request {
        int cls = 0;
        Millis deadline = 0;
        bool answered = false, left = false;
        std::vector<Sent> sent;
    };
    struct Held {
        Millis since = 0, stood = 0;
        bool arrived = false;  // a write that is out has
        int calls = 0;         // releases asked for
    };
    void breach(Rule rule, Handle request, const std::string& what);
    void check_repeat(Handle handle, const Request& request, const Sent& before, const Endpoint& to,
                      Millis now);

    const Settings& settings_;
    std::unordered_map<Handle, Request> requests_;
    std::unordered_map<EndpointId, Millis> not_up_since_;  // servers told not to be up, since when
    std::unordered_map<Handle, Held> held_;
    Millis answered_at_ = 0, next_check_ = 0;
    std::uint64_t held_unanswered_ = 0;
    std::array<std::uint64_t, kRules.size()> breaches_{};
};

}  // namespace gorsenotch::control
