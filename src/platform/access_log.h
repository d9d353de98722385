// The outcome of each request, and a log line for each that was not served in time. No I/O.
//
// Bounds: at most AccessLog::kLinesPerSecond lines a second, a line at most some hundred bytes long; what is
// left out is counted. Times: ms. Threading: one thread.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/kv_lease.h"
#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::platform {

// Bounds the lines of one kind in the log. Owns the count of the present second and of the lines left out.
class LineBudget {
public:
    explicit LineBudget(int lines_per_second) : lines_per_second_(lines_per_second) {}
    // True if a line may be logged now.
    bool take(Millis now);
    std::uint64_t not_logged() const { return not_logged_; }

private:
    const int lines_per_second_;
    Millis second_ = -1e18;
    int lines_ = 0;
    std::uint64_t not_logged_ = 0;
};

// How a request ended. `late_prefill`: its prefill ended only after the latency objective; `late_decode`:
// that ended in time, and the first token came after the objective; `slow_stream`: tokens came more slowly
// than the inter-token objective.
enum class RequestOutcome {
    in_time,
    late_prefill,
    late_decode,
    slow_stream,
    rejected_unsent,
    rejected,
    failed,
    broken,
    migrated,
    client_disconnected
};
constexpr std::array<const char*, 10> kOutcomeNames = {
    "in_time",  "late_prefill", "late_decode", "slow_stream", "rejected_unsent",
    "rejected", "failed",       "broken",      "migrated",    "client_disconnected"};

constexpr std::array<const char*, kEndCauses> kEndCauseNames = {
    "deadline",           "load_shed",       "no_decode_endpoint",
    "attempts_exhausted", "may_have_run",    "retry_budget",
    "no_endpoint",        "decode_too_late", "shutdown"};

// One attempt for the log; times are ms since the request's first byte.
struct AttemptRecord {
    std::string server;  // the endpoint's name
    bool is_prefill = false;
    bool out = false;  // in flight
    AttemptResult result = AttemptResult::served;
    Millis sent = 0;
    Millis ended = 0;
};

// One request as the log describes it; times are ms since its first byte.
struct RequestRecord {
    std::string_view txn;
    int cls = 0;
    double prompt_tokens = 0;
    double tokens = 0;  // of the answer, 0 where it did not say
    Millis first = -1;  // of the first token; below 0: none came
    Millis ended = 0;
    std::optional<EndCause> cause;  // of a final answer without a stream
    std::vector<AttemptRecord> attempts;
    std::string lease;  // what endpoints may keep for it as it ends: see describe_timeline; empty: nothing
};

// Ownership: the counts of outcomes and causes. Errors: none.
class AccessLog {
public:
    static constexpr int kLinesPerSecond = 10;
    explicit AccessLog(const Settings& settings) : settings_(settings) {}

    // The outcome of a complete answer: in time, late or slow.
    RequestOutcome served(const RequestRecord& record) const;
    // Counts the outcome of a request; true if its line is to be logged.
    bool count(Millis now, RequestOutcome disposition, std::optional<EndCause> cause = std::nullopt);
    static std::string line(const RequestRecord& record, RequestOutcome disposition);

    const std::array<std::uint64_t, kOutcomeNames.size()>& outcomes() const { return outcomes_; }
    const std::array<std::uint64_t, kEndCauses>& causes() const { return causes_; }
    std::uint64_t not_logged() const { return lines_.not_logged(); }

private:
    const Settings& settings_;
    std::array<std::uint64_t, kOutcomeNames.size()> outcomes_{};
    std::array<std::uint64_t, kEndCauses> causes_{};
    LineBudget lines_{kLinesPerSecond};
};

// The history of a lease: "lease 612 prefill_done at r1, acquired 23, expiring 623; w0 sent 23 unconfirmed".
// Times are ms since `arrived`, but for the first, its age at `now`.
std::string describe_timeline(const control::KvLease::Timeline& timeline, Millis arrived, Millis now,
                              const std::string& holder, const std::string& awaited);

// The number of tokens that an answer's closing events name, or 0.
double completion_tokens(std::string_view events);

}  // namespace gorsenotch::platform
