// Tracks whether endpoints answer: for each endpoint, when the latest answered message was sent, and a cheap
// health check for when no other traffic shows it. No I/O; the clock comes from Environment, and the owner
// runs the timers.
//
// An answer proves that the endpoint was running and reachable in both directions after the answered message
// was sent. It does not prove that a given connection works. A health check is a release call for a request
// of this process that ended some time ago: every endpoint accepts it, and it has no effect because nothing
// is held for that request. At most one check per endpoint is in flight.
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

// Ownership: the health of each listed endpoint and, shared with Environment, the checks in flight. Errors:
// unanswered checks are counted. Units: ms. Threading: one thread.
class HealthChecker {
public:
    // `timeout`: how long a check may be in flight. `set_timer`: has to call on_timeout(endpoint) at `at`.
    HealthChecker(Millis timeout, EndpointList& endpoints, Environment& environment,
                  std::function<void(Millis at, EndpointId)> set_timer);

    // The first byte of an answer to an exchange started at `sent_at` was received.
    void on_answered(EndpointId endpoint, Millis sent_at);
    // When the endpoint answered the latest exchange, if that was started at `since` or later; else nothing.
    std::optional<Millis> answered_since(EndpointId endpoint, Millis since) const;
    // Whether checks can be sent: they need a request of this process that ended some time ago.
    bool can_check() const { return !older_finished_txn_.empty(); }
    // Sends a check, unless one is in flight or the endpoint is not listed.
    void check(EndpointId endpoint);
    // The timer of a check has fired.
    void on_timeout(EndpointId endpoint);
    // A request of this process has ended, and nothing is held for it.
    void on_request_ended(const std::string& txn);
    // Drops the state of endpoints that are no longer listed.
    void forget_unlisted();

    std::uint64_t checks_sent() const { return checks_sent_; }
    std::uint64_t checks_unanswered() const { return checks_unanswered_; }

private:
    struct EndpointHealth {
        Millis answered_sent_at = -1e18;  // start of the latest answered exchange
        Millis answered_at = -1e18;       // when its answer was received
        std::shared_ptr<UpstreamExchange> check;
        Millis check_sent_at = 0;
    };
    void close_check(EndpointHealth& health);

    const Millis timeout_;
    EndpointList& endpoints_;
    Environment& environment_;
    const std::function<void(Millis, EndpointId)> set_timer_;
    std::unordered_map<EndpointId, EndpointHealth> endpoint_health_;
    // Transaction ids of two ended requests. Checks use the older one, whose releases have surely finished.
    std::string latest_finished_txn_;
    std::string older_finished_txn_;
    Millis latest_finished_at_ = -1e18;
    std::uint64_t checks_sent_ = 0;
    std::uint64_t checks_unanswered_ = 0;
};

}  // namespace gorsenotch::platform
