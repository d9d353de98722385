#include "control/invariant_checker.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace gorsenotch::control {
namespace {
// Servers remembered as not up, before those no longer listed are forgotten.
constexpr std::size_t kMostNotUp = 8192;
constexpr Millis kNotUpForgotten = 60000;
// A process may be held up for so long between its clock and a write; windows and deadlines allow for it.
constexpr Millis kHeldUp = 150;
// The platform allows so much more than the settings for what is held; looked at so often.
constexpr Millis kHeldMore = 300, kHeldChecked = 50;
constexpr int kServersAsked = 3;        // releases after which their answers are what is missing
constexpr Millis kReleaseUnset = 1000;  // where the settings name no time
}  // namespace

void InvariantChecker::report_violation(Invariant rule, Handle request, const std::string& what) {
    ++violations_[static_cast<std::size_t>(rule)];
    if (on_violation) on_violation(rule, request, what);
}

void InvariantChecker::on_request_accepted(Handle handle, int cls, Millis deadline) {
    Request& request = requests_[handle];
    request.cls = cls;
    request.deadline = deadline;
}

void InvariantChecker::on_endpoint_listed(EndpointId server, EndpointStatus mode, Millis now) {
    if (mode == EndpointStatus::healthy) {
        unhealthy_since_.erase(server);
        return;
    }
    unhealthy_since_.try_emplace(server, now);
    if (unhealthy_since_.size() <= kMostNotUp) return;
    std::erase_if(unhealthy_since_,
                  [now](const auto& entry) { return now - entry.second > kNotUpForgotten; });
}

void InvariantChecker::on_full_list(const std::vector<Endpoint>& entries, Millis now) {
    std::unordered_set<EndpointId> in_list;
    for (const auto& entry : entries) in_list.insert(entry.id);
    for (const auto& [handle, request] : requests_) {
        for (const SentAttempt& sent : request.sent) {
            if (!in_list.count(sent.to.id)) on_endpoint_listed(sent.to.id, EndpointStatus::removed, now);
        }
    }
}

void InvariantChecker::on_attempt_sent(Handle handle, int attempt, const Endpoint& to, Role role,
                                       Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    if (request.answered || request.client_disconnected)
        report_violation(Invariant::sent_after_end, handle,
                         request.client_disconnected ? "left" : "answered");
    if (const auto since = unhealthy_since_.find(to.id);
        since != unhealthy_since_.end() && now - since->second > settings_.drain_grace)
        report_violation(Invariant::sent_while_draining, handle,
                         std::to_string(now - since->second) + " ms after it was told");
    for (const SentAttempt& before : request.sent) {
        if (before.in_flight && !settings_.hedging)
            report_violation(Invariant::overlapping_attempts, handle, "");
        if (before.is_decode && !before.never_ran) check_retry(handle, request, before, to, now);
    }
    request.sent.push_back({attempt, to, role != Role::prefill, true, false, now});
}

void InvariantChecker::check_retry(Handle handle, const Request& request, const SentAttempt& before,
                                   const Endpoint& to, Millis now) {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
    if (cls.idempotency == Idempotency::unsafe) report_violation(Invariant::duplicate_execution, handle, "");
    if (cls.idempotency != Idempotency::with_key) return;
    if ((cls.dedup_scope == DedupScope::zone && before.to.zone != to.zone) ||
        (cls.dedup_scope == DedupScope::cell && before.to.cell != to.cell))
        report_violation(Invariant::outside_dedup_scope, handle, "");
    if (now - before.sent_at > cls.dedup_window + kHeldUp)
        report_violation(Invariant::outside_dedup_window, handle,
                         std::to_string(now - before.sent_at) + " ms");
}

void InvariantChecker::on_attempt_ended(Handle handle, int attempt, bool never_ran) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    for (SentAttempt& sent : it->second.sent) {
        if (sent.attempt != attempt) continue;
        sent.in_flight = false;
        sent.never_ran = never_ran;
    }
}

void InvariantChecker::on_answered(Handle handle, bool refused, Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    if (std::exchange(request.answered, true)) report_violation(Invariant::duplicate_answer, handle, "");
    if (now > request.deadline + settings_.answer_slack + kHeldUp)
        report_violation(Invariant::late_answer, handle,
                         std::to_string(now - request.deadline) + " ms after its time");
    if (!refused) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
    if (cls.idempotency == Idempotency::idempotent ||
        (cls.idempotency == Idempotency::with_key && cls.dedup_scope == DedupScope::all))
        return;
    if (std::any_of(request.sent.begin(), request.sent.end(),
                    [](const SentAttempt& sent) { return sent.is_decode && !sent.never_ran; }))
        report_violation(Invariant::rejected_after_possible_run, handle, "");
}

void InvariantChecker::on_client_disconnected(Handle handle) {
    if (const auto it = requests_.find(handle); it != requests_.end()) it->second.client_disconnected = true;
}

void InvariantChecker::on_prefill_answered(Handle request, Millis now, Millis stood) {
    leases_.try_emplace(request, Lease{now, stood, false, 0});  // what stands from before is the older
}

void InvariantChecker::on_decode_answered(Handle request) {
    if (const auto it = leases_.find(request); it != leases_.end()) it->second.decode_arrived = true;
}

void InvariantChecker::on_decode_ended(Handle request, Millis now, Millis stood) {
    const auto it = leases_.find(request);
    if (it != leases_.end() && it->second.decode_arrived) it->second = Lease{now, stood, false, 0};
}

void InvariantChecker::on_release_called(Handle request) {
    if (const auto it = leases_.find(request); it != leases_.end()) ++it->second.release_calls;
}

void InvariantChecker::on_release_answered(Handle request, Millis sent) {
    const auto it = leases_.find(request);
    if (it != leases_.end() && it->second.since <= sent) leases_.erase(it);
}

void InvariantChecker::check_leases(Millis now, Millis stood) {
    if (now < next_check_) return;
    next_check_ = now + kHeldChecked;
    const Millis allowed =
        settings_.lease_release_timeout > 0 ? settings_.lease_release_timeout : kReleaseUnset;
    for (auto it = leases_.begin(); it != leases_.end();) {
        const Lease& held = it->second;
        const Millis age = now - held.since - (stood - held.stalled_for);
        if (held.decode_arrived || age <= allowed + kHeldMore + kHeldUp) {
            ++it;
            continue;
        }
        const Handle request = it->first;
        const bool tried = held.release_calls >= kServersAsked || last_answer_at_ <= held.since + allowed / 2;
        it = leases_.erase(it);
        if (tried)
            ++unanswered_leases_;
        else
            report_violation(Invariant::lease_overrun, request, std::to_string(age) + " ms");
    }
}

}  // namespace gorsenotch::control
