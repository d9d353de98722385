// LeaseReleaser what may be held for requests at model servers: read states and places. No I/O; the clock
// comes from Ports, alarms are the owner's.
//
// Any server takes a release for all of them. One is asked at first, further ones where it does not answer
// within its part of the time that the settings allow: of another role, zone or cell, then several at once.
// One that nobody has answered within that time and a little more is told as failed, and asked on at a slower
// pace for some seconds: what is let go of late is not held for good. Its calls are closed then. Units: ms.
// Ownership: calls are shared with Ports until they are over. Errors: one that nobody answered is logged and
// counted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/kv_lease.h"
#include "platform/endpoint_list.h"
#include "platform/environment.h"

namespace gorsenotch::platform {

// A call without a body about what is held for a request: POST holds a place, DELETE releases all.
std::string lease_call(const char* method, const std::string& txn, const std::string& dial);

// Why a release began.
enum class ReleaseReason {
    request_over,       // nothing of the request will take what is held
    lease_expiring,     // no proof that its write has arrived came in time
    prefill_unanswered  // a read is out for long: it may have ended, its answer lost
};
constexpr std::array<const char*, 3> kReleaseReasons = {"request_over", "lease_expiring",
                                                        "prefill_unanswered"};

enum class ReleaseEnd { answered, unanswered, withdrawn };
constexpr std::array<const char*, 3> kReleaseEnds = {"answered", "unanswered", "withdrawn"};

class LeaseReleaser {
public:
    struct Order {
        std::string txn;
        std::uint64_t request = 0;  // the owner's name for it, handed back
        EndpointId holder = 0;      // where something is thought to be held
        EndpointId silent = 0;      // a server that has left an attempt without proof; 0: none
        // A read was cut off and may have ended well all the same, so it is released once more a little
        // later.
        bool uncertain = false;
        ReleaseReason reason = ReleaseReason::request_over;
        std::string held;  // what is known of it, for the log
    };
    // How one ended; `answered` may come twice, where one is uncertain.
    struct Ended {
        const Order& order;
        ReleaseEnd end = ReleaseEnd::answered;
        EndpointId by = 0;      // the server that answered ...
        Millis sent = 0;        // ... a call made then
        std::size_t calls = 0;  // made so far
        Millis took = 0;
    };
    struct Counts {
        std::uint64_t begun = 0, asked_again = 0, failed = 0;
    };
    // `release_within`: what the settings allow. `set_alarm`: retry(id) is to be called at `at`; `timeout` as
    // for Driver::alarm.
    LeaseReleaser(Millis release_within, EndpointList& hosts, Environment& ports,
                  std::function<void(Millis at, std::uint64_t id, bool timeout)> set_alarm);

    std::function<void(const Ended&)> on_ended;
    std::function<void(const Order&)> on_call;  // a server is asked

    // Returns the id that names it.
    std::uint64_t begin(Order order);
    void retry(std::uint64_t id);
    // Something has come to be held since it began: all servers are asked anew, and once more a little later.
    void repeat(std::uint64_t id);
    // Another attempt of the request begins: what was not sent yet would take what the attempt is to leave.
    void withdraw(std::uint64_t id);
    bool in_progress(std::uint64_t id) const;  // and not withdrawn
    std::size_t size() const { return releases_.size(); }
    const Counts& counts() const { return counts_; }

private:
    struct Call {
        std::shared_ptr<UpstreamExchange> attempt;
        EndpointId server = 0;
        Millis begun = 0;
    };
    struct Release {
        Order order;
        std::vector<EndpointId> asked;
        Millis begun = 0;
        std::size_t calls_made = 0, unanswered = 0;  // in all, and since the latest answer
        bool late = false;                           // all were silent: asked on at a slower pace
        Millis pause = 0;                            // until the next try, then
        bool told_failed = false;                    // its time is over
        std::vector<Call> calls;                     // those out
        Millis until = 0, next_try = 0;
        bool once_more = false;      // a second one follows the first answer
        bool once_more_due = false;  // that has not been asked for yet
        bool answered = false;
        bool withdrawn = false;  // no further call; those handed over may end
    };
    Millis allowed() const;
    const DiscoveredEndpoint* next_server(const Release& release) const;
    double preference(const Release& release, EndpointId server, const DiscoveredEndpoint& host) const;
    double likeness(EndpointId silent, const DiscoveredEndpoint& host) const;
    void call(std::uint64_t id, Release& release, const DiscoveredEndpoint& to);
    void answered(std::uint64_t id, EndpointId by, Millis sent);
    void tell(const Release& release, ReleaseEnd end, EndpointId by = 0, Millis sent = 0);
    void end_silent_calls(Release& release);
    void end_call(Call& call, bool silent);
    void make_room();
    bool out_of_time(Release& release);
    void be_late(Release& release);
    void end(std::uint64_t id);

    const Millis release_within_;
    EndpointList& endpoints_;
    Environment& environment_;
    const std::function<void(Millis, std::uint64_t, bool)> set_alarm_;
    std::unordered_map<std::uint64_t, Release> releases_;
    std::uint64_t last_id_ = 0;
    std::size_t calls_out_ = 0;
    Counts counts_;
};

}  // namespace gorsenotch::platform
