#include "platform/lease_releaser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "http/parser.h"

namespace gorsenotch::platform {
namespace {

// Fractions of the release timeout.
constexpr double kRetryFraction = 0.15;          // from a call to the next one at another endpoint
constexpr double kSecondReleaseFraction = 0.35;  // from an answer to the second release
constexpr double kThirdReleaseFraction = 0.2;    // from the answer of the second release to the third
constexpr double kGraceFraction = 0.2;           // after the timeout, for the last calls to be answered
constexpr double kCallTimeoutFraction = 0.3;     // after which a call is ended
constexpr Millis kDefaultTimeout = 1000;         // if the settings have no release timeout

// Added to the time before the third release, in ms: with it an endpoint that has not seen the end of an
// attempt has as long for it as control/lease_ledger allows.
constexpr Millis kThirdReleaseExtra = 150;
constexpr std::size_t kUnprovedReleases = 2;  // after the first, if an attempt's end is not proved

constexpr std::size_t kMaxConcurrentCalls = 4;   // of one release
constexpr std::size_t kMaxUnansweredCalls = 12;  // of one release, before it backs off
constexpr std::size_t kMaxCallsInFlight = 32;    // over all releases

// Exponential backoff between retries, and how long it continues after the release's deadline, in ms.
constexpr Millis kMinBackoff = 500;
constexpr Millis kMaxBackoff = 2000;
constexpr Millis kBackoffPeriod = 8000;

// A timer may fire early by up to this, in ms.
constexpr Millis kTimerTolerance = 0.5;

// An endpoint's score is the negative age of its latest answer in ms, adjusted by these bonuses and
// penalties.
constexpr Millis kMaxAnswerAge = 60000;       // older answers all score the same
constexpr double kUnresponsivePenalty = 1e6;  // it did not answer last time
constexpr double kIdleConnectionBonus = 2000;
constexpr double kHolderBonus = 500;  // it is believed to hold the KV cache or slot
// What it shares with an endpoint that did not answer: endpoints of one kind, zone or cell tend to fail
// together.
constexpr double kSameKindPenalty = 20000;
constexpr double kSameZonePenalty = 10000;
constexpr double kSameCellPenalty = 5000;

}  // namespace

std::string lease_call(const char* method, const std::string& txn, const std::string& address) {
    return http::request_head(method, "/bootstrap/rooms/" + txn,
                              {{"host", address}, {"content-length", "0"}});
}

LeaseReleaser::LeaseReleaser(Millis release_timeout, EndpointList& endpoints, Environment& environment,
                             std::function<void(Millis, std::uint64_t, bool)> set_timer)
    : release_timeout_(release_timeout),
      endpoints_(endpoints),
      environment_(environment),
      set_timer_(std::move(set_timer)) {}

Millis LeaseReleaser::timeout() const { return release_timeout_ > 0 ? release_timeout_ : kDefaultTimeout; }

std::uint64_t LeaseReleaser::start(ReleaseRequest request) {
    const std::uint64_t id = ++last_id_;
    Release& release = releases_[id];
    if (request.needs_second_release) release.further_releases = kUnprovedReleases;
    release.request = std::move(request);
    release.started_at = environment_.now();
    release.deadline = environment_.now() + (1 + kGraceFraction) * timeout();
    ++counts_.started;
    retry(id);
    return id;
}

void LeaseReleaser::restart(std::uint64_t id, bool needs_second_release) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.further_releases = needs_second_release ? kUnprovedReleases : 0;
    release.end_proved = false;
    if (!needs_second_release) {
        for (Call& call : release.calls) end_call(call, false);
        release.calls.clear();
    }
    release.phase = Phase::normal;
    release.unanswered_calls = std::min<std::size_t>(release.unanswered_calls, kMaxConcurrentCalls);
    release.tried.clear();
    release.next_retry_at = 0;
    release.deadline = std::max(release.deadline, environment_.now() + (1 + kGraceFraction) * timeout());
    retry(id);
}

bool LeaseReleaser::in_progress(std::uint64_t id) const {
    const auto it = releases_.find(id);
    return it != releases_.end() && !it->second.withdrawn;
}

void LeaseReleaser::retry(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    const Millis now = environment_.now();
    if (release.withdrawn || handle_deadline(release)) return end(id);
    if (now + kTimerTolerance < release.next_retry_at) return;  // the timer of an earlier retry
    end_overdue_calls(release);
    const bool backing_off = release.phase != Phase::normal;
    release.next_retry_at = now + (backing_off ? release.retry_interval : kRetryFraction * timeout());
    if (backing_off) release.retry_interval = std::min(2 * release.retry_interval, kMaxBackoff);
    release.further_scheduled = false;
    set_timer_(release.next_retry_at, id, true);
    if (release.unanswered_calls >= kMaxUnansweredCalls) back_off(release);
    const std::size_t count = concurrent_calls(release);
    for (std::size_t i = 0; i < count && in_progress(id); ++i) {
        const DiscoveredEndpoint* endpoint = next_endpoint(release);
        if (!endpoint) {
            release.tried.clear();  // no endpoint answered: start another round, with backoff
            return back_off(release);
        }
        release.tried.push_back(endpoint->endpoint.id);
        if (release.tried.size() > 1) ++counts_.retries;
        send_call(id, release, *endpoint);
    }
}

// One call for each that went unanswered: if most endpoints are unresponsive, calling them one by one would
// take longer than the timeout.
std::size_t LeaseReleaser::concurrent_calls(const Release& release) const {
    if (release.phase != Phase::normal) return 1;
    const std::size_t unresponsive = release.unanswered_calls + (release.request.unresponsive != 0 ? 1 : 0);
    return std::clamp<std::size_t>(unresponsive, 1, kMaxConcurrentCalls);
}

// Returns true if the release is to end. Reports a release that was not answered by its deadline, once, and
// extends the deadline for retries with backoff.
bool LeaseReleaser::handle_deadline(Release& release) {
    if (environment_.now() < release.deadline) return false;
    // Guards against skipping the second release because this process was stalled when it was due.
    if (release.further_scheduled) {
        release.deadline = environment_.now() + timeout();
        return false;
    }
    if (release.answered || release.phase == Phase::failed) return true;
    ++counts_.failed;
    report(release, ReleaseEnd::unanswered);
    release.deadline += kBackoffPeriod;
    back_off(release);
    release.phase = Phase::failed;
    return false;
}

// Limits the release to one call at a time, at growing intervals. Guards against a retry storm of many
// releases and many gateways if no endpoint answers.
void LeaseReleaser::back_off(Release& release) {
    if (release.phase != Phase::normal) return;
    release.phase = Phase::backing_off;
    release.retry_interval = kMinBackoff;
}

// Ends calls that have timed out; bytes already written may still arrive. Marks their endpoints as failed, so
// that other releases call them last. Guards against connections piling up at unresponsive endpoints, and
// against every release starting with the same unresponsive endpoint.
void LeaseReleaser::end_overdue_calls(Release& release) {
    const Millis before = environment_.now() - kCallTimeoutFraction * timeout();
    for (Call& call : release.calls) {
        if (call.started_at <= before) end_call(call, true);
    }
    std::erase_if(release.calls, [](const Call& call) { return call.exchange->has_outcome(); });
}

void LeaseReleaser::end_call(Call& call, bool endpoint_failed) {
    if (call.exchange->has_outcome()) return;
    DiscoveredEndpoint* endpoint = endpoint_failed ? endpoints_.find(call.endpoint) : nullptr;
    if (endpoint) endpoint->last_failure = environment_.now();
    call.exchange->on_ended = nullptr;
    environment_.close(*call.exchange);
    call.exchange->abort(AttemptResult::cancelled);
    --calls_in_flight_;
}

// Ends the oldest call if too many are in flight. Guards against calls to unresponsive endpoints using up the
// connections.
void LeaseReleaser::limit_calls_in_flight() {
    if (calls_in_flight_ < kMaxCallsInFlight) return;
    Call* oldest = nullptr;
    for (auto& [id, release] : releases_) {
        for (Call& call : release.calls) {
            if (!call.exchange->has_outcome() && (!oldest || call.started_at < oldest->started_at))
                oldest = &call;
        }
    }
    if (oldest) end_call(*oldest, true);
}

// The endpoint with the highest score among those not yet tried in this round; null if all have been tried.
const DiscoveredEndpoint* LeaseReleaser::next_endpoint(const Release& release) const {
    const DiscoveredEndpoint* best = nullptr;
    double best_score = std::numeric_limits<double>::lowest();
    for (const auto& [id, endpoint] : endpoints_.all()) {
        if (std::count(release.tried.begin(), release.tried.end(), id) > 0) continue;
        const double endpoint_score = score(release, id, endpoint);
        if (endpoint_score <= best_score) continue;
        best = &endpoint;
        best_score = endpoint_score;
    }
    return best;
}

// The penalty for what an endpoint has in common with one that does not answer.
double LeaseReleaser::similarity_penalty(EndpointId unresponsive, const DiscoveredEndpoint& endpoint) const {
    const DiscoveredEndpoint* other = endpoints_.find(unresponsive);
    if (!other) return 0;
    double penalty = 0;
    if (other->endpoint.kind == endpoint.endpoint.kind) penalty += kSameKindPenalty;
    if (other->endpoint.zone == endpoint.endpoint.zone) penalty += kSameZonePenalty;
    if (other->endpoint.cell == endpoint.endpoint.cell) penalty += kSameCellPenalty;
    return penalty;
}

double LeaseReleaser::score(const Release& release, EndpointId id, const DiscoveredEndpoint& endpoint) const {
    double score = std::max(endpoint.last_success - environment_.now(), -kMaxAnswerAge);
    if (endpoint.last_failure > endpoint.last_success) score -= kUnresponsivePenalty;
    if (environment_.has_idle_connection(endpoint.dial_address)) score += kIdleConnectionBonus;
    if (id == release.request.holder) score += kHolderBonus;
    if (id == release.request.unresponsive) score -= kUnresponsivePenalty;
    score -= similarity_penalty(release.request.unresponsive, endpoint);
    for (const EndpointId tried : release.tried) score -= similarity_penalty(tried, endpoint);
    return score;
}

void LeaseReleaser::send_call(std::uint64_t id, Release& release, const DiscoveredEndpoint& endpoint) {
    limit_calls_in_flight();
    const auto exchange = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    release.calls.push_back({exchange, endpoint.endpoint.id, environment_.now()});
    ++calls_in_flight_;
    ++release.calls_made;
    ++release.unanswered_calls;
    exchange->on_ended = [this, id, called = endpoint.endpoint.id,
                          sent_at = environment_.now()](const AttemptOutcome& outcome) {
        --calls_in_flight_;
        if (DiscoveredEndpoint* listed = endpoints_.find(called))
            (outcome.status > 0 ? listed->last_success : listed->last_failure) = environment_.now();
        if (outcome.status >= 200 && outcome.status < 300) on_answered(id, called, sent_at);
    };
    if (on_call) on_call(release.request);
    // After an unanswered call idle connections may be dead, too.
    const auto connection = release.unanswered_calls > 1 ? Connection::fresh : Connection::any;
    environment_.start_exchange(endpoint.dial_address,
                                lease_call("DELETE", release.request.txn, endpoint.dial_address), exchange,
                                connection);
}

void LeaseReleaser::report(const Release& release, ReleaseEnd end, EndpointId answered_by,
                           Millis call_sent_at) {
    if (on_ended)
        on_ended({release.request, end, answered_by, call_sent_at, release.calls_made,
                  environment_.now() - release.started_at});
}

void LeaseReleaser::on_answered(std::uint64_t id, EndpointId answered_by, Millis call_sent_at) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.answered = true;
    release.unanswered_calls = 0;
    if (!release.withdrawn) report(release, ReleaseEnd::answered, answered_by, call_sent_at);
    // Another call of the same round was answered before.
    if (release.further_scheduled && !release.withdrawn) return;
    if (release.further_releases == 0 || release.withdrawn) return end(id);
    release.further_scheduled = true;
    release.next_retry_at = environment_.now() + further_release_delay(release);
    --release.further_releases;
    release.deadline = release.next_retry_at + timeout();
    release.tried.clear();
    release.phase = Phase::normal;
    set_timer_(release.next_retry_at, id, false);
}

// The last release does not rely on the proof: a proxy may end a connection before the endpoint behind it
// does.
Millis LeaseReleaser::further_release_delay(const Release& release) const {
    const Millis second = kSecondReleaseFraction * timeout();
    const Millis third = kThirdReleaseFraction * timeout() + kThirdReleaseExtra;
    if (release.further_releases == kUnprovedReleases) return release.end_proved ? 0 : second;
    return release.end_proved ? second + third : third;
}

void LeaseReleaser::on_close_proved(std::uint64_t request) {
    std::vector<std::uint64_t> due;
    for (auto& [id, release] : releases_) {
        if (release.request.request != request || release.end_proved) continue;
        release.end_proved = true;
        if (!release.further_scheduled) continue;
        release.next_retry_at = 0;
        due.push_back(id);
    }
    for (const std::uint64_t id : due) retry(id);
}

void LeaseReleaser::withdraw(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    if (!std::exchange(release.withdrawn, true) && !release.answered) report(release, ReleaseEnd::withdrawn);
    release.next_retry_at = 0;
    for (Call& call : release.calls) {
        if (!call.exchange->request_written()) end_call(call, false);
    }
}

// Ends all calls of the release. Guards against calls to unresponsive endpoints holding their connections
// forever.
void LeaseReleaser::end(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    auto calls = std::move(it->second.calls);
    releases_.erase(it);
    for (Call& call : calls) end_call(call, false);
}

}  // namespace gorsenotch::platform
