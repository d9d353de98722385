#include "platform/access_log.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gorsenotch::platform {
namespace {

constexpr std::array<const char*, 9> kResultNames = {"served",    "error",       "rejected",
                                                     "timed_out", "unreachable", "reset",
                                                     "cancelled", "not_sent",    "prefill_done"};
constexpr std::size_t kMaxAttemptsLogged = 8;

std::string rounded_text(double number) { return std::to_string(std::lround(number)); }

void append_attempt(std::string& text, const AttemptRecord& attempt) {
    text.append(attempt.is_prefill ? "; prefill " : "; decode ").append(attempt.endpoint);
    text.append(" ").append(rounded_text(attempt.started_at));
    if (attempt.in_flight) {
        text.append(" in_flight");
        return;
    }
    text.append(" +").append(rounded_text(attempt.ended_at - attempt.started_at));
    text.append(" ").append(kResultNames[static_cast<std::size_t>(attempt.result)]);
}

void append_stream(std::string& text, const StreamRecord& stream) {
    text.append("; stream ").append(kStreamEndNames[static_cast<std::size_t>(stream.end)]);
    text.append(", ").append(std::to_string(stream.events)).append(" events");
    text.append(", ").append(std::to_string(stream.bytes)).append(" bytes");
    text.append(", last event ").append(rounded_text(stream.last_event));
}

}  // namespace

bool LogRateLimiter::allow(Millis now) {
    if (now - window_start_ >= 1000) {
        window_start_ = now;
        lines_in_window_ = 0;
    }
    if (++lines_in_window_ <= lines_per_second_) return true;
    ++not_logged_;
    return false;
}

std::string describe_timeline(const control::LeaseLedger::Timeline& timeline, Millis arrived, Millis now,
                              const std::string& holder, const std::string& attempt_endpoint) {
    std::string text("lease ");
    text.append(rounded_text(now - timeline.acquired)).append(" ");
    text.append(control::kLeaseOriginNames[static_cast<std::size_t>(timeline.origin)])
        .append(" at ")
        .append(holder);
    text.append(", acquired ").append(rounded_text(timeline.acquired - arrived));
    if (timeline.expiring >= 0) text.append(", expiring ").append(rounded_text(timeline.expiring - arrived));
    if (timeline.released >= 0) text.append(", release ").append(rounded_text(timeline.released - arrived));
    if (timeline.written < timeline.acquired) return text;
    text.append("; ")
        .append(attempt_endpoint)
        .append(" sent ")
        .append(rounded_text(timeline.written - arrived));
    if (timeline.arrived < 0) return text.append(" unconfirmed");
    return text.append(" arrived ").append(rounded_text(timeline.arrived - arrived));
}

RequestOutcome AccessLog::classify_served(const RequestRecord& record) const {
    const ClassSettings& class_settings = settings_.classes[static_cast<std::size_t>(record.cls)];
    const Millis objective = class_settings.latency_objective +
                             class_settings.latency_objective_per_1000_tokens * record.prompt_tokens / 1000;
    if (record.first_token > objective) {
        const bool prefill_late =
            std::any_of(record.attempts.begin(), record.attempts.end(), [&](const AttemptRecord& attempt) {
                return attempt.result == AttemptResult::prefill_done && !attempt.in_flight &&
                       attempt.ended_at > objective;
            });
        return prefill_late ? RequestOutcome::late_prefill : RequestOutcome::late_decode;
    }
    const bool slow = record.completion_tokens > 1 && class_settings.inter_token_objective > 0 &&
                      record.ended - record.first_token >
                          class_settings.inter_token_objective * (record.completion_tokens - 1);
    return slow ? RequestOutcome::slow_stream : RequestOutcome::in_time;
}

bool AccessLog::count_outcome(Millis now, RequestOutcome outcome, std::optional<EndCause> cause) {
    ++outcomes_[static_cast<std::size_t>(outcome)];
    if (cause) ++causes_[static_cast<std::size_t>(*cause)];
    if (outcome == RequestOutcome::in_time) return false;
    return rate_limiter_.allow(now);
}

std::string AccessLog::format_line(const RequestRecord& record, RequestOutcome outcome) {
    std::string text(record.txn);
    text.append(" ").append(kOutcomeNames[static_cast<std::size_t>(outcome)]);
    if (record.cause) text.append(" cause ").append(kEndCauseNames[static_cast<std::size_t>(*record.cause)]);
    text.append(" class ").append(std::to_string(record.cls));
    text.append(" prompt ").append(rounded_text(record.prompt_tokens));
    if (record.first_token >= 0) text.append(" first ").append(rounded_text(record.first_token));
    text.append(" end ").append(rounded_text(record.ended));
    const std::size_t logged = std::min(kMaxAttemptsLogged, record.attempts.size());
    for (std::size_t i = 0; i < logged; ++i) append_attempt(text, record.attempts[i]);
    if (record.stream) append_stream(text, *record.stream);
    if (!record.lease.empty()) text.append("; ").append(record.lease);
    return text;
}

double completion_tokens(std::string_view events) {
    constexpr std::string_view kField = "\"completion_tokens\":";
    const auto at = events.find(kField);
    if (at == std::string_view::npos) return 0;
    std::size_t from = at + kField.size();
    while (from < events.size() && events[from] == ' ') ++from;
    int tokens = 0;
    std::from_chars(events.data() + from, events.data() + events.size(), tokens);
    return std::max(0, tokens);
}

}  // namespace gorsenotch::platform
