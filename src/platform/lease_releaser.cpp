#include "platform/lease_releaser.h"

#include <algorithm>
#include <utility>

#include "http/parser.h"

namespace gorsenotch::platform {
namespace {

// Parts of the time that the settings allow for a release: for a call to be answered before another server is
// asked, until the second release after a read was cut off, and beyond it for the last calls.
constexpr double kTryPart = 0.15, kOnceMorePart = 0.35, kOverPart = 0.2;
constexpr Millis kAllowedUnset = 1000;     // where the settings name no time
constexpr std::size_t kCallsAtOnce = 4;    // at most
constexpr std::size_t kCallsMost = 12;     // unanswered, until it is asked on at a slower pace
constexpr double kCallPart = 0.3;          // part of the time allowed after which a call is given up
constexpr std::size_t kCallsOutMost = 32;  // over all releases
// Every server was silent: asked on after this pause, then twice as long ones, and for so long after its
// time, ms.
constexpr Millis kLatePause = 500, kLatePauseMost = 2000, kLateFor = 8000;

// Preferences between servers, in ms of how lately one answered.
constexpr Millis kLongestAgo = 60000;  // an older answer says no less
constexpr double kSilentNow = 1e6;     // it did not answer the last time
constexpr double kConnected = 2000;    // a connection to it is at hand
constexpr double kIsHolder = 500;      // it is thought to hold something
constexpr double kSameKind = 20000;    // as one that did not answer: such servers fall silent together
constexpr double kSameZone = 10000;
constexpr double kSameCell = 5000;

}  // namespace

std::string lease_call(const char* method, const std::string& txn, const std::string& dial) {
    return http::request_head(method, "/bootstrap/rooms/" + txn, {{"host", dial}, {"content-length", "0"}});
}

LeaseReleaser::LeaseReleaser(Millis release_within, EndpointList& hosts, Environment& ports,
                             std::function<void(Millis, std::uint64_t, bool)> set_alarm)
    : release_within_(release_within),
      endpoints_(hosts),
      environment_(ports),
      set_alarm_(std::move(set_alarm)) {}

Millis LeaseReleaser::allowed() const { return release_within_ > 0 ? release_within_ : kAllowedUnset; }

std::uint64_t LeaseReleaser::begin(Order order) {
    const std::uint64_t id = ++last_id_;
    Release& release = releases_[id];
    release.once_more = order.uncertain;
    release.order = std::move(order);
    release.begun = environment_.now();
    release.until = environment_.now() + (1 + kOverPart) * allowed();
    ++counts_.begun;
    retry(id);
    return id;
}

void LeaseReleaser::repeat(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.once_more = true;
    release.late = release.told_failed = false;
    release.unanswered = std::min<std::size_t>(release.unanswered, kCallsAtOnce);
    release.asked.clear();
    release.next_try = 0;
    release.until = std::max(release.until, environment_.now() + (1 + kOverPart) * allowed());
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
    if (release.withdrawn || out_of_time(release)) return end(id);
    if (now + 0.5 < release.next_try) return;  // an alarm of an earlier try
    end_silent_calls(release);
    release.next_try = now + (release.late ? release.pause : kTryPart * allowed());
    if (release.late) release.pause = std::min(2 * release.pause, kLatePauseMost);
    release.once_more_due = false;
    set_alarm_(release.next_try, id, true);
    // As many at once as went unanswered: when most servers are silent, one by one would take longer than is
    // allowed.
    if (release.unanswered >= kCallsMost) be_late(release);
    const std::size_t silent = release.unanswered + (release.order.silent != 0 ? 1 : 0);
    const std::size_t at_once = release.late ? 1 : std::clamp<std::size_t>(silent, 1, kCallsAtOnce);
    for (std::size_t i = 0; i < at_once && in_progress(id); ++i) {
        const DiscoveredEndpoint* to = next_server(release);
        if (!to) {
            release.asked.clear();  // all are silent: from the first on again, at the slower pace
            return be_late(release);
        }
        release.asked.push_back(to->endpoint.id);
        if (release.asked.size() > 1) ++counts_.asked_again;
        call(id, release, *to);
    }
}

// Whether it is to be given up.
bool LeaseReleaser::out_of_time(Release& release) {
    if (environment_.now() < release.until) return false;
    // Guards against a second release that is skipped as this process stood still when it was due.
    if (release.once_more_due) {
        release.until = environment_.now() + allowed();
        return false;
    }
    if (release.answered || release.told_failed) return true;
    ++counts_.failed;
    tell(release, ReleaseEnd::unanswered);
    release.told_failed = true;
    release.until += kLateFor;
    be_late(release);
    return false;
}

// From here on one server is asked at a time, ever more seldom. Guards against calls from many releases, and
// many gateways, that add up where nobody answers.
void LeaseReleaser::be_late(Release& release) {
    if (release.late) return;
    release.late = true;
    release.pause = kLatePause;
}

// Ends calls that have had their time: what they wrote arrives all the same, if it can. Their servers are
// asked last by other releases too. Guards against connections that many releases keep at silent servers, and
// one release after another that begins with the same silent server.
void LeaseReleaser::end_silent_calls(Release& release) {
    const Millis before = environment_.now() - kCallPart * allowed();
    for (Call& call : release.calls) {
        if (call.begun <= before) end_call(call, true);
    }
    std::erase_if(release.calls, [](const Call& call) { return call.attempt->is_over(); });
}

void LeaseReleaser::end_call(Call& call, bool silent) {
    if (call.attempt->is_over()) return;
    DiscoveredEndpoint* host = silent ? endpoints_.find(call.server) : nullptr;
    if (host) host->last_failure = environment_.now();
    call.attempt->on_ended = nullptr;
    environment_.close(*call.attempt);
    call.attempt->abort(AttemptResult::cancelled);
    --calls_out_;
}

// Guards against connections used up by calls to silent servers: the oldest call makes room.
void LeaseReleaser::make_room() {
    if (calls_out_ < kCallsOutMost) return;
    Call* oldest = nullptr;
    for (auto& [id, release] : releases_) {
        for (Call& call : release.calls) {
            if (!call.attempt->is_over() && (!oldest || call.begun < oldest->begun)) oldest = &call;
        }
    }
    if (oldest) end_call(*oldest, true);
}

// The one most likely to answer of those not asked yet; of all, where its time is over.
const DiscoveredEndpoint* LeaseReleaser::next_server(const Release& release) const {
    const DiscoveredEndpoint* best = nullptr;
    double most = -1e300;
    for (const auto& [server, host] : endpoints_.all()) {
        if (std::count(release.asked.begin(), release.asked.end(), server) > 0) continue;
        const double value = preference(release, server, host);
        if (value > most) best = &host, most = value;
    }
    return best;
}

// How much a server has in common with one that does not answer.
double LeaseReleaser::likeness(EndpointId silent, const DiscoveredEndpoint& host) const {
    const DiscoveredEndpoint* other = endpoints_.find(silent);
    if (!other) return 0;
    double value = 0;
    if (other->endpoint.kind == host.endpoint.kind) value += kSameKind;
    if (other->endpoint.zone == host.endpoint.zone) value += kSameZone;
    if (other->endpoint.cell == host.endpoint.cell) value += kSameCell;
    return value;
}

double LeaseReleaser::preference(const Release& release, EndpointId server,
                                 const DiscoveredEndpoint& host) const {
    double value = std::max(host.last_success - environment_.now(), -kLongestAgo);
    if (host.last_failure > host.last_success) value -= kSilentNow;
    if (environment_.has_idle_connection(host.dial_address)) value += kConnected;
    if (server == release.order.holder) value += kIsHolder;
    if (server == release.order.silent) value -= kSilentNow;
    value -= likeness(release.order.silent, host);
    for (const EndpointId asked : release.asked) value -= likeness(asked, host);
    return value;
}

void LeaseReleaser::call(std::uint64_t id, Release& release, const DiscoveredEndpoint& to) {
    make_room();
    const auto call = std::make_shared<UpstreamExchange>(UpstreamExchange::Kind::lease_call);
    release.calls.push_back({call, to.endpoint.id, environment_.now()});
    ++calls_out_;
    ++release.calls_made;
    ++release.unanswered;
    call->on_ended = [this, id, by = to.endpoint.id,
                      sent = environment_.now()](const AttemptOutcome& outcome) {
        --calls_out_;
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

void LeaseReleaser::tell(const Release& release, ReleaseEnd end, EndpointId by, Millis sent) {
    if (on_ended)
        on_ended({release.order, end, by, sent, release.calls_made, environment_.now() - release.begun});
}

void LeaseReleaser::answered(std::uint64_t id, EndpointId by, Millis sent) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    release.answered = true;
    release.unanswered = 0;
    if (!release.withdrawn) tell(release, ReleaseEnd::answered, by, sent);
    if (!release.once_more || release.withdrawn) return end(id);
    release.once_more = false;
    release.once_more_due = true;
    release.next_try = environment_.now() + kOnceMorePart * allowed();
    release.until = release.next_try + allowed();
    release.asked.clear();
    release.late = release.told_failed = false;
    set_alarm_(release.next_try, id, false);
}

void LeaseReleaser::withdraw(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& release = it->second;
    if (!std::exchange(release.withdrawn, true) && !release.answered) tell(release, ReleaseEnd::withdrawn);
    release.next_try = 0;
    for (Call& call : release.calls) {
        if (!call.attempt->request_written()) end_call(call, false);
    }
}

// Guards against calls to a silent server that would keep their connections for good.
void LeaseReleaser::end(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    auto calls = std::move(it->second.calls);
    releases_.erase(it);
    for (Call& call : calls) end_call(call, false);
}

}  // namespace gorsenotch::platform
