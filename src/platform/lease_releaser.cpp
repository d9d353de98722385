#include "platform/lease_releaser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "http/parser.h"

namespace gorsenotch::platform {
namespace {

// Parts of the time that the settings allow for a release.
constexpr double kRetryPart = 0.15;          // for a call to be answered before another endpoint is asked
constexpr double kSecondReleasePart = 0.35;  // between an answer and the second release
constexpr double kGracePart = 0.2;           // beyond that time, for the last calls
constexpr double kCallTimeoutPart = 0.3;     // after which a call is ended
constexpr Millis kDefaultTimeout = 1000;     // where the settings name no time

constexpr std::size_t kMaxCallsAtOnce = 4;
constexpr std::size_t kMaxUnansweredCalls = 12;  // until it goes on at the slow pace
constexpr std::size_t kMaxCallsInFlight = 32;    // over all releases

// The slow pace: the first pause, the longest one, and how long it goes on beyond the release's time, ms.
constexpr Millis kFirstSlowPause = 500;
constexpr Millis kLongestSlowPause = 2000;
constexpr Millis kSlowPeriod = 8000;

// A timer may fire so much early, ms.
constexpr Millis kTimerTolerance = 0.5;

// Preferences between endpoints, in ms of how lately one answered.
constexpr Millis kLongestAgo = 60000;  // an older answer says no less
constexpr double kSilentNow = 1e6;     // it did not answer the last time
constexpr double kConnected = 2000;    // a connection to it is idle
constexpr double kIsHolder = 500;      // it is thought to hold something
constexpr double kSameKind = 20000;    // as one that did not answer: such endpoints fall silent together
constexpr double kSameZone = 10000;
constexpr double kSameCell = 5000;

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

std::uint64_t LeaseReleaser::begin(Order order) {
    const std::uint64_t id = ++last_id_;
    Release& release = releases_[id];
    if (order.uncertain) release.second = SecondRelease::after_answer;
    release.order = std::move(order);
    release.begun = environment_.now();
    release.until = environment_.now() + (1 + kGracePart) * timeout();
    ++counts_.begun;
    retry(id);
    return id;
}

void LeaseReleaser::repeat(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.second = SecondRelease::after_answer;
    release.phase = Phase::in_time;
    release.unanswered = std::min<std::size_t>(release.unanswered, kMaxCallsAtOnce);
    release.asked.clear();
    release.next_try = 0;
    release.until = std::max(release.until, environment_.now() + (1 + kGracePart) * timeout());
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
    if (release.withdrawn || is_out_of_time(release)) return end(id);
    if (now + kTimerTolerance < release.next_try) return;  // the timer of an earlier try
    end_overdue_calls(release);
    const bool slow = release.phase != Phase::in_time;
    release.next_try = now + (slow ? release.pause : kRetryPart * timeout());
    if (slow) release.pause = std::min(2 * release.pause, kLongestSlowPause);
    if (release.second == SecondRelease::scheduled) release.second = SecondRelease::none;
    set_timer_(release.next_try, id, true);
    if (release.unanswered >= kMaxUnansweredCalls) slow_down(release);
    const std::size_t count = calls_at_once(release);
    for (std::size_t i = 0; i < count && in_progress(id); ++i) {
        const DiscoveredEndpoint* to = next_endpoint(release);
        if (!to) {
            release.asked.clear();  // all are silent: from the first on again, at the slow pace
            return slow_down(release);
        }
        release.asked.push_back(to->endpoint.id);
        if (release.asked.size() > 1) ++counts_.asked_again;
        call(id, release, *to);
    }
}

// As many as went unanswered: when most endpoints are silent, one by one would take longer than the timeout.
std::size_t LeaseReleaser::calls_at_once(const Release& release) const {
    if (release.phase != Phase::in_time) return 1;
    const std::size_t silent = release.unanswered + (release.order.silent != 0 ? 1 : 0);
    return std::clamp<std::size_t>(silent, 1, kMaxCallsAtOnce);
}

// Whether nothing more is to be tried. Reports a release that nobody has answered in its time, once.
bool LeaseReleaser::is_out_of_time(Release& release) {
    if (environment_.now() < release.until) return false;
    // Guards against a second release that is skipped as this process stood still when it was due.
    if (release.second == SecondRelease::scheduled) {
        release.until = environment_.now() + timeout();
        return false;
    }
    if (release.answered || release.phase == Phase::failed) return true;
    ++counts_.failed;
    report(release, ReleaseEnd::unanswered);
    release.until += kSlowPeriod;
    slow_down(release);
    release.phase = Phase::failed;
    return false;
}

// From here on one endpoint is asked at a time, ever more seldom. Guards against calls from many releases,
// and many gateways, that add up where nobody answers.
void LeaseReleaser::slow_down(Release& release) {
    if (release.phase != Phase::in_time) return;
    release.phase = Phase::slow;
    release.pause = kFirstSlowPause;
}

// Ends calls that have had their time: what they wrote arrives all the same, if it can. Their endpoints are
// asked last by other releases too. Guards against connections that many releases keep at silent endpoints,
// and one release after another that begins with the same silent endpoint.
void LeaseReleaser::end_overdue_calls(Release& release) {
    const Millis before = environment_.now() - kCallTimeoutPart * timeout();
    for (Call& call : release.calls) {
        if (call.begun <= before) end_call(call, true);
    }
    std::erase_if(release.calls, [](const Call& call) { return call.attempt->is_over(); });
}

void LeaseReleaser::end_call(Call& call, bool silent) {
    if (call.attempt->is_over()) return;
    DiscoveredEndpoint* host = silent ? endpoints_.find(call.endpoint) : nullptr;
    if (host) host->last_failure = environment_.now();
    call.attempt->on_ended = nullptr;
    environment_.close(*call.attempt);
    call.attempt->abort(AttemptResult::cancelled);
    --calls_in_flight_;
}

// Guards against connections used up by calls to silent endpoints: the oldest call makes room.
void LeaseReleaser::limit_calls_in_flight() {
    if (calls_in_flight_ < kMaxCallsInFlight) return;
    Call* oldest = nullptr;
    for (auto& [id, release] : releases_) {
        for (Call& call : release.calls) {
            if (!call.attempt->is_over() && (!oldest || call.begun < oldest->begun)) oldest = &call;
        }
    }
    if (oldest) end_call(*oldest, true);
}

// The one most likely to answer of those not asked yet; null where all have been.
const DiscoveredEndpoint* LeaseReleaser::next_endpoint(const Release& release) const {
    const DiscoveredEndpoint* best = nullptr;
    double most = std::numeric_limits<double>::lowest();
    for (const auto& [endpoint, host] : endpoints_.all()) {
        if (std::count(release.asked.begin(), release.asked.end(), endpoint) > 0) continue;
        const double value = preference(release, endpoint, host);
        if (value <= most) continue;
        best = &host;
        most = value;
    }
    return best;
}

// How much a endpoint has in common with one that does not answer.
double LeaseReleaser::similarity(EndpointId silent, const DiscoveredEndpoint& host) const {
    const DiscoveredEndpoint* other = endpoints_.find(silent);
    if (!other) return 0;
    double value = 0;
    if (other->endpoint.kind == host.endpoint.kind) value += kSameKind;
    if (other->endpoint.zone == host.endpoint.zone) value += kSameZone;
    if (other->endpoint.cell == host.endpoint.cell) value += kSameCell;
    return value;
}

double LeaseReleaser::preference(const Release& release, EndpointId endpoint,
                                 const DiscoveredEndpoint& host) const {
    double value = std::max(host.last_success - environment_.now(), -kLongestAgo);
    if (host.last_failure > host.last_success) value -= kSilentNow;
    if (environment_.has_idle_connection(host.dial_address)) value += kConnected;
    if (endpoint == release.order.holder) value += kIsHolder;
    if (endpoint == release.order.silent) value -= kSilentNow;
    value -= similarity(release.order.silent, host);
    for (const EndpointId asked : release.asked) value -= similarity(asked, host);
    return value;
}

void LeaseReleaser::call(std::uint64_t id, Release& release, const DiscoveredEndpoint& to) {
    limit_calls_in_flight();
    const auto call = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    release.calls.push_back({call, to.endpoint.id, environment_.now()});
    ++calls_in_flight_;
    ++release.calls_made;
    ++release.unanswered;
    call->on_ended = [this, id, by = to.endpoint.id,
                      sent = environment_.now()](const AttemptOutcome& outcome) {
        --calls_in_flight_;
        if (DiscoveredEndpoint* host = endpoints_.find(by))
            (outcome.status > 0 ? host->last_success : host->last_failure) = environment_.now();
        if (outcome.status >= 200 && outcome.status < 300) answered(id, by, sent);
    };
    if (on_call) on_call(release.order);
    // Where one went unanswered kept connections may have fallen silent.
    const auto connection = release.unanswered > 1 ? Connection::fresh : Connection::any;
    environment_.start_exchange(to.dial_address, lease_call("DELETE", release.order.txn, to.dial_address),
                                call, connection);
}

void LeaseReleaser::report(const Release& release, ReleaseEnd end, EndpointId by, Millis sent) {
    if (on_ended)
        on_ended({release.order, end, by, sent, release.calls_made, environment_.now() - release.begun});
}

void LeaseReleaser::answered(std::uint64_t id, EndpointId by, Millis sent) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.answered = true;
    release.unanswered = 0;
    if (!release.withdrawn) report(release, ReleaseEnd::answered, by, sent);
    if (release.second != SecondRelease::after_answer || release.withdrawn) return end(id);
    release.second = SecondRelease::scheduled;
    release.next_try = environment_.now() + kSecondReleasePart * timeout();
    release.until = release.next_try + timeout();
    release.asked.clear();
    release.phase = Phase::in_time;
    set_timer_(release.next_try, id, false);
}

void LeaseReleaser::withdraw(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    if (!std::exchange(release.withdrawn, true) && !release.answered) report(release, ReleaseEnd::withdrawn);
    release.next_try = 0;
    for (Call& call : release.calls) {
        if (!call.attempt->request_written()) end_call(call, false);
    }
}

// Guards against calls to a silent endpoint that would keep their connections for good.
void LeaseReleaser::end(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    auto calls = std::move(it->second.calls);
    releases_.erase(it);
    for (Call& call : calls) end_call(call, false);
}

}  // namespace gorsenotch::platform
