#include "control/invariant_checker.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "control/process_delay.h"

namespace gorsenotch::control {
namespace {
// Above this many entries for unhealthy endpoints, those older than the retention time are dropped.
constexpr std::size_t kMaxUnhealthyEntries = 8192;
constexpr Millis kUnhealthyRetention = 60000;

bool in_dedup_scope(DedupScope scope, const Endpoint& earlier, const Endpoint& to) {
    if (scope == DedupScope::zone) return earlier.zone == to.zone;
    if (scope == DedupScope::cell) return earlier.cell == to.cell;
    return true;
}

bool may_repeat_anywhere(const ClassSettings& cls) {
    if (cls.idempotency == Idempotency::idempotent) return true;
    return cls.idempotency == Idempotency::with_key && cls.dedup_scope == DedupScope::all;
}
}  // namespace

const ClassSettings& InvariantChecker::class_of(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.cls)];
}

void InvariantChecker::report_violation(Invariant invariant, Handle request, const std::string& detail) {
    ++violations_[static_cast<std::size_t>(invariant)];
    if (on_violation) on_violation(invariant, request, detail);
}

void InvariantChecker::on_request_accepted(Handle handle, int cls, Millis deadline) {
    Request& request = requests_[handle];
    request.cls = cls;
    request.deadline = deadline;
}

void InvariantChecker::on_endpoint_listed(EndpointId endpoint, EndpointStatus status, Millis now) {
    if (status == EndpointStatus::healthy) {
        unhealthy_since_.erase(endpoint);
        return;
    }
    unhealthy_since_.try_emplace(endpoint, now);
    if (unhealthy_since_.size() <= kMaxUnhealthyEntries) return;
    std::erase_if(unhealthy_since_,
                  [now](const auto& entry) { return now - entry.second > kUnhealthyRetention; });
}

void InvariantChecker::on_full_list(const std::vector<Endpoint>& entries, Millis now) {
    std::unordered_set<EndpointId> listed;
    for (const auto& entry : entries) listed.insert(entry.id);
    for (const auto& [handle, request] : requests_) {
        for (const SentAttempt& sent : request.sent) {
            if (!listed.count(sent.to.id)) on_endpoint_listed(sent.to.id, EndpointStatus::removed, now);
        }
    }
}

void InvariantChecker::on_attempt_sent(Handle handle, int attempt, const Endpoint& to, Role role,
                                       Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    check_request_open(handle, request);
    check_endpoint_healthy(handle, to, now);
    for (const SentAttempt& earlier : request.sent) {
        if (earlier.in_flight && !settings_.hedging)
            report_violation(Invariant::overlapping_attempts, handle, "");
        if (earlier.is_decode && !earlier.never_ran) check_retry(handle, request, earlier, to, now);
    }
    request.sent.push_back({attempt, to, role != Role::prefill, true, false, now});
}

void InvariantChecker::check_request_open(Handle handle, const Request& request) {
    if (!request.answered && !request.client_disconnected) return;
    report_violation(Invariant::sent_after_end, handle,
                     request.client_disconnected ? "client disconnected" : "final response sent");
}

void InvariantChecker::check_endpoint_healthy(Handle handle, const Endpoint& to, Millis now) {
    const auto since = unhealthy_since_.find(to.id);
    if (since == unhealthy_since_.end()) return;
    const Millis unhealthy_for = now - since->second;
    if (unhealthy_for <= settings_.drain_grace) return;
    report_violation(Invariant::sent_while_draining, handle,
                     std::to_string(unhealthy_for) + " ms after the endpoint was listed as not healthy");
}

void InvariantChecker::check_retry(Handle handle, const Request& request, const SentAttempt& earlier,
                                   const Endpoint& to, Millis now) {
    const ClassSettings& cls = class_of(request);
    if (cls.idempotency == Idempotency::unsafe) report_violation(Invariant::duplicate_execution, handle, "");
    if (cls.idempotency != Idempotency::with_key) return;
    if (!in_dedup_scope(cls.dedup_scope, earlier.to, to))
        report_violation(Invariant::outside_dedup_scope, handle, "");
    const Millis age = now - earlier.sent_at;
    if (age > cls.dedup_window + kMaxProcessDelay)
        report_violation(Invariant::outside_dedup_window, handle,
                         std::to_string(age) + " ms after the earlier attempt");
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

void InvariantChecker::on_answered(Handle handle, bool rejected, Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    if (std::exchange(request.answered, true)) report_violation(Invariant::duplicate_answer, handle, "");
    if (now > request.deadline + settings_.answer_slack + kMaxProcessDelay)
        report_violation(Invariant::late_answer, handle,
                         std::to_string(now - request.deadline) + " ms after the deadline");
    if (rejected) check_rejection(handle, request);
}

void InvariantChecker::check_rejection(Handle handle, const Request& request) {
    if (may_repeat_anywhere(class_of(request))) return;
    const bool may_have_run =
        std::any_of(request.sent.begin(), request.sent.end(),
                    [](const SentAttempt& sent) { return sent.is_decode && !sent.never_ran; });
    if (may_have_run) report_violation(Invariant::rejected_after_possible_run, handle, "");
}

void InvariantChecker::on_client_disconnected(Handle handle) {
    if (const auto it = requests_.find(handle); it != requests_.end()) it->second.client_disconnected = true;
}

void InvariantChecker::check_leases(Millis now, Millis stalled_for) {
    for (const LeaseInvariant::Overrun& overrun : leases_.check(now, stalled_for))
        report_violation(Invariant::lease_overrun, overrun.request,
                         std::to_string(overrun.age) + " ms since the lease began, stalls excluded");
}

}  // namespace gorsenotch::control
