#include "platform/health_checker.h"

#include <algorithm>
#include <utility>

#include "platform/lease_releaser.h"

namespace gorsenotch::platform {
namespace {

// A request is long over, ms after its end: its releases have been answered, nothing of it is under way.
constexpr Millis kLongOver = 1000;

}  // namespace

Liveness::Liveness(Millis patience, EndpointList& hosts, Ports& ports,
                   std::function<void(Millis, EndpointId)> set_alarm)
    : patience_(patience), endpoints_(hosts), ports_(ports), set_alarm_(std::move(set_alarm)) {}

void Liveness::answered(EndpointId id, Millis sent) {
    Server& server = servers_[id];
    if (sent < server.sent) return;
    server.sent = sent;
    server.at = ports_.now();
}

std::optional<Millis> Liveness::answered_since(EndpointId id, Millis since) const {
    const auto it = servers_.find(id);
    if (it == servers_.end() || it->second.sent < since) return std::nullopt;
    return it->second.at;
}

void Liveness::request_over(const std::string& txn) {
    const Millis now = ports_.now();
    if (now - over_since_ < kLongOver) return;
    over_before_ = std::exchange(over_now_, txn);
    over_since_ = now;
}

void Liveness::ask(EndpointId id) {
    const DiscoveredEndpoint* host = endpoints_.find(id);
    Server& server = servers_[id];
    if (!host || !can_ask() || server.question) return;
    ++asked_;
    server.question = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::call);
    server.asked = ports_.now();
    const auto question = server.question;
    question->on_heard = [this, id, sent = server.asked] { answered(id, sent); };
    question->on_over = [this, id](const AttemptOutcome&) { servers_[id].question.reset(); };
    set_alarm_(server.asked + patience_, id);
    ports_.start(host->dial_address, lease_call("DELETE", over_before_, host->dial_address), question);
}

void Liveness::expire(EndpointId id) {
    const auto it = servers_.find(id);
    if (it == servers_.end() || !it->second.question) return;
    if (ports_.now() + 0.5 < it->second.asked + patience_) return;  // an alarm of an earlier question
    ++unanswered_;
    close(it->second);
}

void Liveness::close(Server& server) {
    const auto question = std::exchange(server.question, nullptr);
    if (!question || question->over()) return;
    question->on_over = nullptr;
    ports_.close(*question);
}

void Liveness::forget_unlisted() {
    for (auto it = servers_.begin(); it != servers_.end();) {
        if (endpoints_.find(it->first)) {
            ++it;
            continue;
        }
        close(it->second);
        it = servers_.erase(it);
    }
}

}  // namespace gorsenotch::platform
