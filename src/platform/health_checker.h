// What is known of whether endpoints answer: for each, the latest thing sent to it that it has answered, and
// a cheap health check where nothing else shows it. No I/O; the clock comes from Environment, timers are the
// owner's.
//
// An answer proves that the endpoint ran, and could be reached both ways, after what was answered had been
// sent. It does not prove that a given connection works. A health check is a release for a request of this
// process that is long over: every endpoint takes it, and nothing is held for it. One is in flight for an
// endpoint at a time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/endpoint_list.h"
#include "platform/environment.h"

namespace gorsenotch::platform {

// Ownership: the health of each listed endpoint and, shared with Environment, the checks in flight. Errors: a
// check that is not answered is counted. Units: ms. Threading: one thread.
class HealthChecker {
public:
    // `timeout`: how long a check may be in flight. `set_timer`: on_timeout(endpoint) is to be called at
    // `at`.
    HealthChecker(Millis timeout, EndpointList& endpoints, Environment& environment,
                  std::function<void(Millis at, EndpointId)> set_timer);

    // A byte of an answer came to what was begun at `sent`.
    void on_answered(EndpointId endpoint, Millis sent);
    // When the latest answer came to something begun at `since` or later; nothing if none has.
    std::optional<Millis> answered_since(EndpointId endpoint, Millis since) const;
    // Whether a check can be sent at all: a request of this process has been over for a while.
    bool can_check() const { return !earlier_over_.empty(); }
    // Sends a check, unless one is in flight or the endpoint is not listed.
    void check(EndpointId endpoint);
    // The timer of a check.
    void on_timeout(EndpointId endpoint);
    // A request of this process is over, and nothing is held for it.
    void request_over(const std::string& txn);
    // Forgets endpoints that are not listed.
    void forget_unlisted();

    std::uint64_t checks_sent() const { return checks_sent_; }
    std::uint64_t checks_unanswered() const { return checks_unanswered_; }

private:
    struct EndpointHealth {
        Millis sent = -1e18;         // when that was sent which was answered last
        Millis answered_at = -1e18;  // when its answer came
        std::shared_ptr<UpstreamExchange> check;
        Millis check_sent_at = 0;
    };
    void close(EndpointHealth& health);

    const Millis timeout_;
    EndpointList& endpoints_;
    Environment& environment_;
    const std::function<void(Millis, EndpointId)> set_timer_;
    std::unordered_map<EndpointId, EndpointHealth> endpoint_health_;
    // Ids of requests of this process that are over; checks use the older one, which has been for longer.
    std::string latest_over_;
    std::string earlier_over_;
    Millis latest_over_since_ = -1e18;
    std::uint64_t checks_sent_ = 0;
    std::uint64_t checks_unanswered_ = 0;
};

}  // namespace gorsenotch::platform
