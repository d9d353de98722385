// Releases the KV caches and decode slots that endpoints may hold for requests. No I/O; the clock comes from
// Environment, and the owner runs the timers.
//
// Any endpoint accepts a release on behalf of all of them. A release starts with one call to one endpoint. If
// that endpoint does not answer within a fraction of the release timeout, further endpoints are called,
// preferably of another role, zone or cell, and later several at once. A release that is still unanswered
// shortly after its timeout is reported as failed. It is then retried at a lower rate for some seconds,
// because a late release is better than none; after that its calls are closed.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/lease_ledger.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/endpoint_list.h"
#include "platform/environment.h"

namespace gorsenotch::platform {

// Builds a request without a body for the lease of transaction `txn`. POST reserves a decode slot; DELETE
// releases everything that endpoints hold for the transaction.
std::string lease_call(const char* method, const std::string& txn, const std::string& address);

// Why a release was started.
enum class ReleaseReason {
    request_over,        // the request has no attempt left that will read the KV cache
    lease_expiring,      // its decode attempt was not confirmed to have arrived in time
    prefill_unanswered,  // a prefill has been in flight for long; it may have ended and its response been
                         // lost
    before_prefill       // another prefill is about to start, whose result a later release would free
};
constexpr std::array<const char*, 4> kReleaseReasons = {"request_over", "lease_expiring",
                                                        "prefill_unanswered", "before_prefill"};

// How a release ended: an endpoint answered it, none did in time, or another attempt of the request started.
enum class ReleaseEnd { answered, unanswered, withdrawn };
constexpr std::array<const char*, 3> kReleaseEnds = {"answered", "unanswered", "withdrawn"};

// Ownership: the releases in progress and, shared with Environment, their calls. Errors: a release that no
// endpoint answers is reported as unanswered and counted. Units: ms. Threading: one thread; hooks may be
// called from within any call.
class LeaseReleaser {
public:
    // What to release, and what is known about the lease.
    struct ReleaseRequest {
        std::string txn;
        std::uint64_t request = 0;  // the owner's handle of the request; not used here
        EndpointId holder = 0;      // the endpoint believed to hold the KV cache or slot
        // The endpoint of an attempt in flight that has not been confirmed to have arrived; 0: none.
        EndpointId unresponsive = 0;
        // An attempt that was cancelled may still run or wait. A second release follows the first answer, at
        // once if the attempt's end is proved, and a third one the second.
        bool needs_second_release = false;
        ReleaseReason reason = ReleaseReason::request_over;
        std::string lease_description;  // for the log
    };
    // How a release ended. `answered` may be reported twice if a second release is needed.
    struct Result {
        const ReleaseRequest& release;
        ReleaseEnd end = ReleaseEnd::answered;
        EndpointId answered_by = 0;
        Millis call_sent_at = 0;     // when the answered call was made
        std::size_t calls_made = 0;  // so far
        Millis duration = 0;
    };
    struct Counts {
        std::uint64_t started = 0;
        std::uint64_t retries = 0;  // calls beyond the first of a round
        std::uint64_t failed = 0;
    };
    // `release_timeout`: from the settings. `set_timer`: has to call retry(id) at `at`; `timeout` as for
    // proxy::RouterDriver::set_timer.
    LeaseReleaser(Millis release_timeout, EndpointList& endpoints, Environment& environment,
                  std::function<void(Millis at, std::uint64_t id, bool timeout)> set_timer);

    std::function<void(const Result&)> on_ended;
    // Called right before a release call is sent to an endpoint.
    std::function<void(const ReleaseRequest&)> on_call;

    // Starts a release and returns its id.
    std::uint64_t start(ReleaseRequest request);
    // Calls further endpoints if the release is due for a retry.
    void retry(std::uint64_t id);
    // Starts a new round over all endpoints, because a lease has been acquired since the release was started.
    // With `needs_second_release` calls in flight may still be answered, and a second release follows.
    // Without it only calls of the new round count.
    void restart(std::uint64_t id, bool needs_second_release);
    // The endpoint of an attempt of this request has seen the attempt's end: the next further release is made
    // at once.
    void on_close_proved(std::uint64_t request);
    // Stops a release because another attempt of the request starts: a call that was not sent yet would free
    // the KV cache that the attempt is to read.
    void withdraw(std::uint64_t id);
    // The release exists and was not withdrawn.
    bool in_progress(std::uint64_t id) const;
    std::size_t size() const { return releases_.size(); }
    const Counts& counts() const { return counts_; }

private:
    enum class Phase {
        normal,
        backing_off,  // no endpoint answered: one call at a time, at growing intervals
        failed        // still backing off, and reported as unanswered
    };
    struct Call {
        std::shared_ptr<UpstreamExchange> exchange;
        EndpointId endpoint = 0;
        Millis started_at = 0;
    };
    struct Release {
        ReleaseRequest request;
        std::vector<EndpointId> tried;  // endpoints called in this round
        std::vector<Call> calls;        // those in flight
        Millis started_at = 0;
        Millis deadline = 0;
        Millis next_retry_at = 0;
        Millis retry_interval = 0;  // while backing off
        std::size_t calls_made = 0;
        std::size_t unanswered_calls = 0;  // since the latest answer
        Phase phase = Phase::normal;
        std::size_t further_releases = 0;  // that follow the next answers
        bool further_scheduled = false;    // the timer of the next one is set
        bool end_proved = false;           // an attempt's end was seen, see on_close_proved()
        bool answered = false;
        bool withdrawn = false;  // makes no further call; calls already written may still be answered
    };
    Millis timeout() const;
    std::size_t concurrent_calls(const Release& release) const;
    const DiscoveredEndpoint* next_endpoint(const Release& release) const;
    double score(const Release& release, EndpointId id, const DiscoveredEndpoint& endpoint) const;
    double similarity_penalty(EndpointId unresponsive, const DiscoveredEndpoint& endpoint) const;
    void send_call(std::uint64_t id, Release& release, const DiscoveredEndpoint& endpoint);
    Millis further_release_delay(const Release& release) const;
    void on_answered(std::uint64_t id, EndpointId answered_by, Millis call_sent_at);
    void report(const Release& release, ReleaseEnd end, EndpointId answered_by = 0, Millis call_sent_at = 0);
    void end_overdue_calls(Release& release);
    void end_call(Call& call, bool endpoint_failed);
    void limit_calls_in_flight();
    bool handle_deadline(Release& release);
    void back_off(Release& release);
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
