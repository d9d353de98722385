#include "platform/access_log.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gorsenotch::platform {
namespace {

constexpr std::array<const char*, 9> kResults = {"served",    "error",       "rejected",
                                                 "timed_out", "unreachable", "reset",
                                                 "cancelled", "not_sent",    "prefill_done"};
constexpr std::size_t kAttemptsLogged = 8;

std::string whole(Millis t) { return std::to_string(std::lround(t)); }

}  // namespace

bool LineBudget::take(Millis now) {
    if (now - second_ >= 1000) {
        second_ = now;
        lines_ = 0;
    }
    if (++lines_ <= lines_per_second_) return true;
    ++not_logged_;
    return false;
}

std::string describe_timeline(const control::KvLease::Timeline& timeline, Millis arrived, Millis now,
                              const std::string& holder, const std::string& awaited) {
    std::string s("lease ");
    s.append(whole(now - timeline.acquired)).append(" ");
    s.append(control::kLeaseOriginNames[static_cast<std::size_t>(timeline.origin)])
        .append(" at ")
        .append(holder);
    s.append(", acquired ").append(whole(timeline.acquired - arrived));
    if (timeline.expiring >= 0) s.append(", expiring ").append(whole(timeline.expiring - arrived));
    if (timeline.released >= 0) s.append(", release ").append(whole(timeline.released - arrived));
    if (timeline.written < timeline.acquired) return s;
    s.append("; ").append(awaited).append(" sent ").append(whole(timeline.written - arrived));
    if (timeline.arrived < 0) return s.append(" unconfirmed");
    return s.append(" arrived ").append(whole(timeline.arrived - arrived));
}

RequestOutcome AccessLog::served(const RequestRecord& record) const {
    const ClassSettings& class_settings = settings_.classes[static_cast<std::size_t>(record.cls)];
    const Millis aim = class_settings.latency_objective +
                       class_settings.latency_objective_per_1000_tokens * record.prompt_tokens / 1000;
    if (record.first > aim) {
        const bool read_late =
            std::any_of(record.attempts.begin(), record.attempts.end(), [&](const AttemptRecord& l) {
                return l.result == AttemptResult::prefill_done && !l.out && l.ended > aim;
            });
        return read_late ? RequestOutcome::late_prefill : RequestOutcome::late_decode;
    }
    const bool slow =
        record.tokens > 1 && class_settings.inter_token_objective > 0 &&
        record.ended - record.first > class_settings.inter_token_objective * (record.tokens - 1);
    return slow ? RequestOutcome::slow_stream : RequestOutcome::in_time;
}

bool AccessLog::count(Millis now, RequestOutcome disposition, std::optional<EndCause> cause) {
    ++outcomes_[static_cast<std::size_t>(disposition)];
    if (cause) ++causes_[static_cast<std::size_t>(*cause)];
    if (disposition == RequestOutcome::in_time) return false;
    return lines_.take(now);
}

std::string AccessLog::line(const RequestRecord& record, RequestOutcome disposition) {
    std::string s(record.txn);
    s.append(" ").append(kOutcomeNames[static_cast<std::size_t>(disposition)]);
    if (record.cause) s.append(" cause ").append(kEndCauseNames[static_cast<std::size_t>(*record.cause)]);
    s.append(" class ").append(std::to_string(record.cls));
    s.append(" prompt ").append(whole(record.prompt_tokens));
    if (record.first >= 0) s.append(" first ").append(whole(record.first));
    s.append(" end ").append(whole(record.ended));
    for (std::size_t i = 0; i < std::min(kAttemptsLogged, record.attempts.size()); ++i) {
        const AttemptRecord& l = record.attempts[i];
        s.append(l.is_prefill ? "; prefill " : "; decode ")
            .append(l.server)
            .append(" ")
            .append(whole(l.sent));
        if (l.out) {
            s.append(" in_flight");
        } else {
            s.append(" +")
                .append(whole(l.ended - l.sent))
                .append(" ")
                .append(kResults[static_cast<std::size_t>(l.result)]);
        }
    }
    if (!record.lease.empty()) s.append("; ").append(record.lease);
    return s;
}

double completion_tokens(std::string_view events) {
    constexpr std::string_view name = "\"completion_tokens\":";
    const auto at = events.find(name);
    if (at == std::string_view::npos) return 0;
    std::size_t from = at + name.size();
    while (from < events.size() && events[from] == ' ') ++from;
    int n = 0;
    std::from_chars(events.data() + from, events.data() + events.size(), n);
    return std::max(0, n);
}

}  // namespace gorsenotch::platform
