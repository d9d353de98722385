// Releases what endpoints may keep for requests: KV-cache states and reserved slots. No I/O; the clock comes
// from Environment, timers are the owner's.
//
// Any endpoint takes a release for all of them. One is asked at first, further ones where it does not answer
// within its part of the time that the settings allow: of another role, zone or cell, then several at once. A
// release that nobody has answered within that time and a little more is reported as failed, and goes on at a
// slower pace for some seconds, as a late release is better than none. Its calls are closed then.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/kv_lease.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/endpoint_list.h"
#include "platform/environment.h"

namespace gorsenotch::platform {

// A request without a body about what endpoints keep for a request: POST reserves a slot, DELETE releases
// all.
std::string lease_call(const char* method, const std::string& txn, const std::string& address);

// Why a release began.
enum class ReleaseReason {
    request_over,       // no attempt of the request will read what is held
    lease_expiring,     // no proof came in time that its decode attempt has arrived
    prefill_unanswered  // a prefill is in flight for long: it may have ended, its answer lost
};
constexpr std::array<const char*, 3> kReleaseReasons = {"request_over", "lease_expiring",
                                                        "prefill_unanswered"};

// How a release ended: an endpoint answered it, none did in time, or another attempt began.
enum class ReleaseEnd { answered, unanswered, withdrawn };
constexpr std::array<const char*, 3> kReleaseEnds = {"answered", "unanswered", "withdrawn"};

// Ownership: the releases under way and, shared with Environment, their calls. Errors: one that nobody
// answered is reported as unanswered and counted. Units: ms. Threading: one thread; hooks may be called from
// within any call.
class LeaseReleaser {
public:
    struct Order {
        std::string txn;
        std::uint64_t request = 0;  // the owner's name for it, handed back
        EndpointId holder = 0;      // where something is thought to be held
        EndpointId silent = 0;      // an endpoint that has left an attempt without proof; 0: none
        // A prefill was cut off and may have ended well all the same, so a second release follows a little
        // later.
        bool uncertain = false;
        ReleaseReason reason = ReleaseReason::request_over;
        std::string held;  // what is known of it, for the log
    };
    // How one ended; `answered` may come twice, where one is uncertain.
    struct Ended {
        const Order& order;
        ReleaseEnd end = ReleaseEnd::answered;
        EndpointId by = 0;      // the endpoint that answered ...
        Millis sent = 0;        // ... a call made then
        std::size_t calls = 0;  // made so far
        Millis took = 0;
    };
    struct Counts {
        std::uint64_t begun = 0;
        std::uint64_t asked_again = 0;  // calls beyond the first of a round
        std::uint64_t failed = 0;
    };
    // `release_timeout`: what the settings allow. `set_timer`: retry(id) is to be called at `at`; `timeout`
    // as for proxy::RouterDriver::set_timer.
    LeaseReleaser(Millis release_timeout, EndpointList& endpoints, Environment& environment,
                  std::function<void(Millis at, std::uint64_t id, bool timeout)> set_timer);

    std::function<void(const Ended&)> on_ended;
    std::function<void(const Order&)> on_call;  // an endpoint is asked

    // Returns the id that names it.
    std::uint64_t begin(Order order);
    void retry(std::uint64_t id);
    // Something has come to be held since it began: all endpoints are asked anew, and once more a little
    // later.
    void repeat(std::uint64_t id);
    // Another attempt of the request begins: a call that was not sent yet would take what the attempt is to
    // read.
    void withdraw(std::uint64_t id);
    bool in_progress(std::uint64_t id) const;  // and not withdrawn
    std::size_t size() const { return releases_.size(); }
    const Counts& counts() const { return counts_; }

private:
    enum class Phase {
        in_time,
        slow,   // all endpoints were silent: one call at a time, ever more seldom
        failed  // slow, and its time is over, which was reported
    };
    enum class SecondRelease {
        none,
        after_answer,  // follows the first answer
        scheduled      // its timer is set
    };
    struct Call {
        std::shared_ptr<UpstreamExchange> attempt;
        EndpointId endpoint = 0;
        Millis begun = 0;
    };
    struct Release {
        Order order;
        std::vector<EndpointId> asked;  // in this round
        std::vector<Call> calls;        // those in flight
        Millis begun = 0;
        Millis until = 0;  // its time is over then
        Millis next_try = 0;
        Millis pause = 0;            // between two tries, while slow
        std::size_t calls_made = 0;  // in all
        std::size_t unanswered = 0;  // calls since the latest answer
        Phase phase = Phase::in_time;
        SecondRelease second = SecondRelease::none;
        bool answered = false;
        bool withdrawn = false;  // no further call; those handed over may end
    };
    Millis timeout() const;
    std::size_t calls_at_once(const Release& release) const;
    const DiscoveredEndpoint* next_endpoint(const Release& release) const;
    double preference(const Release& release, EndpointId endpoint, const DiscoveredEndpoint& host) const;
    double similarity(EndpointId silent, const DiscoveredEndpoint& host) const;
    void call(std::uint64_t id, Release& release, const DiscoveredEndpoint& to);
    void answered(std::uint64_t id, EndpointId by, Millis sent);
    void report(const Release& release, ReleaseEnd end, EndpointId by = 0, Millis sent = 0);
    void end_overdue_calls(Release& release);
    void end_call(Call& call, bool silent);
    void limit_calls_in_flight();
    bool is_out_of_time(Release& release);
    void slow_down(Release& release);
    void end(std::uint64_t id);

    const Millis release_timeout_;
    EndpointList& endpoints_;
    Environment& environment_;
    const std::function<void(Millis, std::uint64_t, bool)> set_timer_;
    std::unordered_map<std::uint64_t, Release> releases_;
    std::uint64_t last_id_ = 0;
    std::size_t calls_in_flight_ = 0;
    Counts counts_;
};

}  // namespace gorsenotch::platform
