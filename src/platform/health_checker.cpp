#include "platform/health_checker.h"

#include <algorithm>
#include <utility>

#include "platform/lease_releaser.h"

namespace gorsenotch::platform {
namespace {

// How long a request has to have ended, in ms, before checks may use its id: by then its releases have been
// answered, and no message about it is in flight.
constexpr Millis kMinTimeSinceEnd = 1000;
// A timer may fire early by up to this, in ms.
constexpr Millis kTimerTolerance = 0.5;

}  // namespace

HealthChecker::HealthChecker(Millis timeout, EndpointList& endpoints, Environment& environment,
                             std::function<void(Millis, EndpointId)> set_timer)
    : timeout_(timeout), endpoints_(endpoints), environment_(environment), set_timer_(std::move(set_timer)) {}

void HealthChecker::on_answered(EndpointId id, Millis sent_at) {
    EndpointHealth& health = endpoint_health_[id];
    if (sent_at < health.answered_sent_at) return;
    health.answered_sent_at = sent_at;
    health.answered_at = environment_.now();
}

std::optional<Millis> HealthChecker::answered_since(EndpointId id, Millis since) const {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || it->second.answered_sent_at < since) return std::nullopt;
    return it->second.answered_at;
}

void HealthChecker::on_request_ended(const std::string& txn) {
    const Millis now = environment_.now();
    if (now - latest_finished_at_ < kMinTimeSinceEnd) return;
    older_finished_txn_ = std::exchange(latest_finished_txn_, txn);
    latest_finished_at_ = now;
}

void HealthChecker::check(EndpointId id) {
    const DiscoveredEndpoint* endpoint = endpoints_.find(id);
    EndpointHealth& health = endpoint_health_[id];
    if (!endpoint || !can_check() || health.check) return;
    ++checks_sent_;
    health.check = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    health.check_sent_at = environment_.now();
    const auto check = health.check;
    check->on_first_byte = [this, id, sent_at = health.check_sent_at] { on_answered(id, sent_at); };
    check->on_ended = [this, id](const AttemptOutcome&) { endpoint_health_[id].check.reset(); };
    set_timer_(health.check_sent_at + timeout_, id);
    environment_.start_exchange(endpoint->dial_address,
                                lease_call("DELETE", older_finished_txn_, endpoint->dial_address), check);
}

void HealthChecker::on_timeout(EndpointId id) {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || !it->second.check) return;
    if (environment_.now() + kTimerTolerance < it->second.check_sent_at + timeout_)
        return;  // the timer of an earlier check
    ++checks_unanswered_;
    close_check(it->second);
}

void HealthChecker::close_check(EndpointHealth& health) {
    const auto check = std::exchange(health.check, nullptr);
    if (!check || check->has_outcome()) return;
    check->on_ended = nullptr;
    environment_.close(*check);
}

void HealthChecker::forget_unlisted() {
    for (auto it = endpoint_health_.begin(); it != endpoint_health_.end();) {
        if (endpoints_.find(it->first)) {
            ++it;
            continue;
        }
        close_check(it->second);
        it = endpoint_health_.erase(it);
    }
}

}  // namespace gorsenotch::platform
