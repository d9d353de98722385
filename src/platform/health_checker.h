// What is known of whether servers answer: for each, the latest thing sent to it that it has answered, and a
// cheap question where nothing else tells. No I/O; the clock comes from Ports, alarms are the owner's.
//
// An answer proves that the server ran, and could be reached both ways, after what was answered had been
// sent. It does not prove that a given connection works. A question is a release for a request of our own
// that is long over: every server takes it, and nothing is held for it. One is out for a server at a time.
// Units: ms. Ownership: calls are shared with Ports until they are over.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "platform/endpoint_list.h"
#include "platform/environment.h"

namespace gorsenotch::platform {

class HealthChecker {
public:
    // `patience`: how long a question may be out. `set_alarm`: expire(server) is to be called at `at`.
    HealthChecker(Millis patience, EndpointList& hosts, Environment& ports,
                  std::function<void(Millis at, EndpointId)> set_alarm);

    // A byte of an answer came to what was begun at `sent`.
    void on_answered(EndpointId server, Millis sent);
    // When the latest answer came to something begun at `since` or later; nothing if none has.
    std::optional<Millis> answered_since(EndpointId server, Millis since) const;
    // Whether a question can be asked at all: a request of our own has been over for a while.
    bool can_check() const { return !over_before_.empty(); }
    void check(EndpointId server);
    void on_timeout(EndpointId server);
    // A request of our own is over, and nothing is held for it.
    void request_over(const std::string& txn);
    // Forgets servers that are not listed.
    void forget_unlisted();

    std::uint64_t checks_sent() const { return checks_sent_; }
    std::uint64_t checks_unanswered() const { return checks_unanswered_; }

private:
    struct EndpointHealth {
        Millis sent = -1e18, at = -1e18;  // of what was answered last, and when
        std::shared_ptr<UpstreamExchange> check;
        Millis check_sent_at = 0;
    };
    void close(EndpointHealth& server);

    const Millis timeout_;
    EndpointList& endpoints_;
    Environment& environment_;
    const std::function<void(Millis, EndpointId)> set_timer_;
    std::unordered_map<EndpointId, EndpointHealth> endpoint_health_;
    // Ids of requests of our own that were over by then; the older one is used.
    std::string over_now_, over_before_;
    Millis over_since_ = -1e18;
    std::uint64_t checks_sent_ = 0, checks_unanswered_ = 0;
};

}  // namespace gorsenotch::platform
