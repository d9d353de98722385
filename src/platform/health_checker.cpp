#include "platform/health_checker.h"

#include <algorithm>
#include <utility>

#include "platform/lease_releaser.h"

namespace gorsenotch::platform {
namespace {

// A request is long over, ms after its end: its releases have been answered, nothing of it is under way.
constexpr Millis kLongOver = 1000;
// A timer may fire so much early, ms.
constexpr Millis kTimerTolerance = 0.5;

}  // namespace

HealthChecker::HealthChecker(Millis timeout, EndpointList& endpoints, Environment& environment,
                             std::function<void(Millis, EndpointId)> set_timer)
    : timeout_(timeout), endpoints_(endpoints), environment_(environment), set_timer_(std::move(set_timer)) {}

void HealthChecker::on_answered(EndpointId id, Millis sent) {
    EndpointHealth& health = endpoint_health_[id];
    if (sent < health.sent) return;
    health.sent = sent;
    health.answered_at = environment_.now();
}

std::optional<Millis> HealthChecker::answered_since(EndpointId id, Millis since) const {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || it->second.sent < since) return std::nullopt;
    return it->second.answered_at;
}

void HealthChecker::request_over(const std::string& txn) {
    const Millis now = environment_.now();
    if (now - latest_over_since_ < kLongOver) return;
    earlier_over_ = std::exchange(latest_over_, txn);
    latest_over_since_ = now;
}

void HealthChecker::check(EndpointId id) {
    const DiscoveredEndpoint* endpoint = endpoints_.find(id);
    EndpointHealth& health = endpoint_health_[id];
    if (!endpoint || !can_check() || health.check) return;
    ++checks_sent_;
    health.check = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    health.check_sent_at = environment_.now();
    const auto check = health.check;
    check->on_first_byte = [this, id, sent = health.check_sent_at] { on_answered(id, sent); };
    check->on_ended = [this, id](const AttemptOutcome&) { endpoint_health_[id].check.reset(); };
    set_timer_(health.check_sent_at + timeout_, id);
    environment_.start_exchange(endpoint->dial_address,
                                lease_call("DELETE", earlier_over_, endpoint->dial_address), check);
}

void HealthChecker::on_timeout(EndpointId id) {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || !it->second.check) return;
    if (environment_.now() + kTimerTolerance < it->second.check_sent_at + timeout_)
        return;  // the timer of an earlier check
    ++checks_unanswered_;
    close(it->second);
}

void HealthChecker::close(EndpointHealth& health) {
    const auto check = std::exchange(health.check, nullptr);
    if (!check || check->is_over()) return;
    check->on_ended = nullptr;
    environment_.close(*check);
}

void HealthChecker::forget_unlisted() {
    for (auto it = endpoint_health_.begin(); it != endpoint_health_.end();) {
        if (endpoints_.find(it->first)) {
            ++it;
            continue;
        }
        close(it->second);
        it = endpoint_health_.erase(it);
    }
}

}  // namespace gorsenotch::platform
