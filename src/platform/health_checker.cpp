#include "platform/health_checker.h"

#include <algorithm>
#include <utility>

#include "platform/lease_releaser.h"

namespace gorsenotch::platform {
namespace {

// A request is long over, ms after its end: its releases have been answered, nothing of it is under way.
constexpr Millis kLongOver = 1000;

}  // namespace

HealthChecker::HealthChecker(Millis patience, EndpointList& hosts, Environment& ports,
                             std::function<void(Millis, EndpointId)> set_alarm)
    : timeout_(patience), endpoints_(hosts), environment_(ports), set_timer_(std::move(set_alarm)) {}

void HealthChecker::on_answered(EndpointId id, Millis sent) {
    EndpointHealth& server = endpoint_health_[id];
    if (sent < server.sent) return;
    server.sent = sent;
    server.at = environment_.now();
}

std::optional<Millis> HealthChecker::answered_since(EndpointId id, Millis since) const {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || it->second.sent < since) return std::nullopt;
    return it->second.at;
}

void HealthChecker::request_over(const std::string& txn) {
    const Millis now = environment_.now();
    if (now - over_since_ < kLongOver) return;
    over_before_ = std::exchange(over_now_, txn);
    over_since_ = now;
}

void HealthChecker::check(EndpointId id) {
    const DiscoveredEndpoint* host = endpoints_.find(id);
    EndpointHealth& server = endpoint_health_[id];
    if (!host || !can_check() || server.check) return;
    ++checks_sent_;
    server.check = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    server.check_sent_at = environment_.now();
    const auto question = server.check;
    question->on_first_byte = [this, id, sent = server.check_sent_at] { on_answered(id, sent); };
    question->on_ended = [this, id](const AttemptOutcome&) { endpoint_health_[id].check.reset(); };
    set_timer_(server.check_sent_at + timeout_, id);
    environment_.start_exchange(host->dial_address, lease_call("DELETE", over_before_, host->dial_address),
                                question);
}

void HealthChecker::on_timeout(EndpointId id) {
    const auto it = endpoint_health_.find(id);
    if (it == endpoint_health_.end() || !it->second.check) return;
    if (environment_.now() + 0.5 < it->second.check_sent_at + timeout_)
        return;  // an alarm of an earlier question
    ++checks_unanswered_;
    close(it->second);
}

void HealthChecker::close(EndpointHealth& server) {
    const auto question = std::exchange(server.check, nullptr);
    if (!question || question->is_over()) return;
    question->on_ended = nullptr;
    environment_.close(*question);
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
