// The outcome of each request, and a log line for each request that was not served in time. No I/O.
//
// Bounds: at most AccessLog::kLinesPerSecond lines per second, and some hundred bytes per line; suppressed
// lines are counted. Times: ms. Threading: one thread.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/lease_ledger.h"
#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "platform/stream_monitor.h"

namespace gorsenotch::platform {

// Limits the rate of one kind of log line, and counts the suppressed lines.
class LogRateLimiter {
public:
    explicit LogRateLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}
    // Returns true if a line may be logged now.
    bool allow(Millis now);
    // The number of suppressed lines.
    std::uint64_t not_logged() const { return not_logged_; }

private:
    const int lines_per_second_;
    Millis window_start_ = -1e18;
    int lines_in_window_ = 0;
    std::uint64_t not_logged_ = 0;
};

// How a request ended. `late_prefill`: its prefill ended after the latency objective. `late_decode`: the
// prefill ended in time, but the first token was late. `slow_stream`: the mean time between tokens was over
// the inter-token objective. `incomplete`: its stream ended without its end marker. `broken`: its stream
// ended in another way before it was complete.
enum class RequestOutcome {
    in_time,
    late_prefill,
    late_decode,
    slow_stream,
    rejected_unsent,
    rejected,
    failed,
    incomplete,
    broken,
    migrated,
    client_disconnected
};
constexpr std::array<const char*, 11> kOutcomeNames = {
    "in_time", "late_prefill", "late_decode", "slow_stream", "rejected_unsent",    "rejected",
    "failed",  "incomplete",   "broken",      "migrated",    "client_disconnected"};

// In the order of EndCause. EndCause::shed_load is logged as load_shed.
constexpr std::array<const char*, kEndCauses> kEndCauseNames = {
    "deadline",           "load_shed",       "no_decode_endpoint",
    "attempts_exhausted", "may_have_run",    "retry_budget",
    "no_endpoint",        "decode_too_late", "shutdown"};

// One attempt as logged; times are ms since the request's first byte.
struct AttemptRecord {
    std::string endpoint;  // its name
    bool is_prefill = false;
    bool in_flight = false;
    AttemptResult result = AttemptResult::served;
    Millis started_at = 0;
    Millis ended_at = 0;
};

// The stream of a request as logged, once it has ended.
struct StreamRecord {
    StreamEnd end = StreamEnd::complete;
    std::uint64_t events = 0;  // complete ones
    std::uint64_t bytes = 0;
    Millis last_event = 0;  // when its last bytes were received, in ms since the request's first byte
};

// One request as logged; times are ms since its first byte.
struct RequestRecord {
    std::string_view txn;
    int cls = 0;
    double prompt_tokens = 0;
    double completion_tokens = 0;  // of the answer; 0: not given
    Millis first_token = -1;       // below 0: no token was received
    Millis ended = 0;
    std::optional<EndCause> cause;  // of a final answer without a stream
    std::vector<AttemptRecord> attempts;
    std::optional<StreamRecord> stream;
    std::string lease;  // its history, see describe_timeline; empty: nothing is held
};

// Ownership: the counts of outcomes and end causes. Errors: none.
class AccessLog {
public:
    static constexpr int kLinesPerSecond = 10;
    explicit AccessLog(const Settings& settings) : settings_(settings) {}

    // The outcome of a request with a complete answer: in time, late or slow.
    RequestOutcome classify_served(const RequestRecord& record) const;
    // Counts the outcome of a request; returns true if its line is to be logged.
    bool count_outcome(Millis now, RequestOutcome outcome, std::optional<EndCause> cause = std::nullopt);
    // The log line of a request.
    static std::string format_line(const RequestRecord& record, RequestOutcome outcome);

    const std::array<std::uint64_t, kOutcomeNames.size()>& outcomes() const { return outcomes_; }
    const std::array<std::uint64_t, kEndCauses>& causes() const { return causes_; }
    std::uint64_t not_logged() const { return rate_limiter_.not_logged(); }

private:
    const Settings& settings_;
    std::array<std::uint64_t, kOutcomeNames.size()> outcomes_{};
    std::array<std::uint64_t, kEndCauses> causes_{};
    LogRateLimiter rate_limiter_{kLinesPerSecond};
};

// The history of a lease: "lease 612 prefill_done at r1, acquired 23, expiring 623; w0 sent 23 unconfirmed".
// The first number is the age of the lease at `now`, in ms; the others are ms since `arrived`. "expiring":
// when the time limit for proof of arrival passed. "unconfirmed": no response proves that the attempt
// arrived.
std::string describe_timeline(const control::LeaseLedger::Timeline& timeline, Millis arrived, Millis now,
                              const std::string& holder, const std::string& attempt_endpoint);

// The number of completion tokens given in the closing events of an answer; 0 if there is none.
double completion_tokens(std::string_view events);

}  // namespace gorsenotch::platform
