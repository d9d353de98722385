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

void Audit::breach(Rule rule, Handle request, const std::string& what) {
    ++breaches_[static_cast<std::size_t>(rule)];
    if (on_breach) on_breach(rule, request, what);
}

void Audit::taken(Handle handle, int cls, Millis deadline) {
    Request& request = requests_[handle];
    request.cls = cls;
    request.deadline = deadline;
}

void Audit::listed(EndpointId server, EndpointStatus mode, Millis now) {
    if (mode == EndpointStatus::healthy) {
        not_up_since_.erase(server);
        return;
    }
    not_up_since_.try_emplace(server, now);
    if (not_up_since_.size() <= kMostNotUp) return;
    std::erase_if(not_up_since_, [now](const auto& entry) { return now - entry.second > kNotUpForgotten; });
}

void Audit::list_is_whole(const std::vector<Endpoint>& entries, Millis now) {
    std::unordered_set<EndpointId> in_list;
    for (const auto& entry : entries) in_list.insert(entry.id);
    for (const auto& [handle, request] : requests_) {
        for (const Sent& sent : request.sent) {
            if (!in_list.count(sent.to.id)) listed(sent.to.id, EndpointStatus::removed, now);
        }
    }
}

void Audit::sent(Handle handle, int attempt, const Endpoint& to, Role role, Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    if (request.answered || request.left)
        breach(Rule::sent_after_end, handle, request.left ? "left" : "answered");
    if (const auto since = not_up_since_.find(to.id);
        since != not_up_since_.end() && now - since->second > settings_.drain_grace)
        breach(Rule::sent_to_drained, handle, std::to_string(now - since->second) + " ms after it was told");
    for (const Sent& before : request.sent) {
        if (before.out && !settings_.hedging) breach(Rule::two_out, handle, "");
        if (before.write && !before.never_ran) check_repeat(handle, request, before, to, now);
    }
    request.sent.push_back({attempt, to, role != Role::prefill, true, false, now});
}

void Audit::check_repeat(Handle handle, const Request& request, const Sent& before, const Endpoint& to,
                         Millis now) {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
    if (cls.idempotency == Idempotency::unsafe) breach(Rule::repeated_effect, handle, "");
    if (cls.idempotency != Idempotency::with_key) return;
    if ((cls.dedup_scope == DedupScope::zone && before.to.zone != to.zone) ||
        (cls.dedup_scope == DedupScope::cell && before.to.cell != to.cell))
        breach(Rule::outside_group, handle, "");
    if (now - before.at > cls.dedup_window + kHeldUp)
        breach(Rule::outside_window, handle, std::to_string(now - before.at) + " ms");
}

void Audit::ended(Handle handle, int attempt, bool never_ran) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    for (Sent& sent : it->second.sent) {
        if (sent.attempt != attempt) continue;
        sent.out = false;
        sent.never_ran = never_ran;
    }
}

void Audit::answered(Handle handle, bool refused, Millis now) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    Request& request = it->second;
    if (std::exchange(request.answered, true)) breach(Rule::second_answer, handle, "");
    if (now > request.deadline + settings_.answer_slack + kHeldUp)
        breach(Rule::late_answer, handle, std::to_string(now - request.deadline) + " ms after its time");
    if (!refused) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
    if (cls.idempotency == Idempotency::idempotent ||
        (cls.idempotency == Idempotency::with_key && cls.dedup_scope == DedupScope::all))
        return;
    if (std::any_of(request.sent.begin(), request.sent.end(),
                    [](const Sent& sent) { return sent.write && !sent.never_ran; }))
        breach(Rule::harmless_promised, handle, "");
}

void Audit::client_left(Handle handle) {
    if (const auto it = requests_.find(handle); it != requests_.end()) it->second.left = true;
}

void Audit::read_answered(Handle request, Millis now, Millis stood) {
    held_.try_emplace(request, Held{now, stood, false, 0});  // what stands from before is the older
}

void Audit::write_answered(Handle request) {
    if (const auto it = held_.find(request); it != held_.end()) it->second.arrived = true;
}

void Audit::write_ended(Handle request, Millis now, Millis stood) {
    const auto it = held_.find(request);
    if (it != held_.end() && it->second.arrived) it->second = Held{now, stood, false, 0};
}

void Audit::release_called(Handle request) {
    if (const auto it = held_.find(request); it != held_.end()) ++it->second.calls;
}

void Audit::release_answered(Handle request, Millis sent) {
    const auto it = held_.find(request);
    if (it != held_.end() && it->second.since <= sent) held_.erase(it);
}

void Audit::check_held(Millis now, Millis stood) {
    if (now < next_check_) return;
    next_check_ = now + kHeldChecked;
    const Millis allowed =
        settings_.lease_release_timeout > 0 ? settings_.lease_release_timeout : kReleaseUnset;
    for (auto it = held_.begin(); it != held_.end();) {
        const Held& held = it->second;
        const Millis age = now - held.since - (stood - held.stood);
        if (held.arrived || age <= allowed + kHeldMore + kHeldUp) {
            ++it;
            continue;
        }
        const Handle request = it->first;
        const bool tried = held.calls >= kServersAsked || answered_at_ <= held.since + allowed / 2;
        it = held_.erase(it);
        if (tried)
            ++held_unanswered_;
        else
            breach(Rule::held_too_long, request, std::to_string(age) + " ms");
    }
}

}  // namespace gorsenotch::control
