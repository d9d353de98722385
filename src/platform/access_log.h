// What became of each request, by where its worth went, and a line for each that did not end well. No I/O.
//
// Bounds: at most kLinesPerSecond lines a second, a line at most some hundred bytes long; what is left out is
// counted.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/kv_lease.h"
#include "gorsenotch/logic.h"

namespace gorsenotch::platform {

// So many lines a second at most; the rest is counted.
class LineBudget {
public:
    explicit LineBudget(int lines_per_second) : lines_per_second_(lines_per_second) {}
    bool take(Millis now);
    std::uint64_t not_logged() const { return not_logged_; }

private:
    const int lines_per_second_;
    Millis second_ = -1e18;
    int lines_ = 0;
    std::uint64_t not_logged_ = 0;
};

// Where the worth of a request went. `late_prefill`: the prompt was read only after the aim; `late_decode`:
// it was read in time, and the first token came after the aim; `slow_stream`: tokens came slower than wanted.
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

// One attempt as the log tells of it; times are ms since the request's first byte.
struct AttemptRecord {
    std::string server;
    bool is_prefill = false, out = false;
    AttemptResult result = AttemptResult::served;
    Millis sent = 0, ended = 0;
};

struct RequestRecord {
    std::string_view txn;
    int cls = 0;
    double prompt_tokens = 0, tokens = 0;  // tokens: of the answer, 0 where it did not say
    Millis first = -1, ended = 0;          // the first token, if it came, and the end
    std::optional<EndCause> cause;         // of a final answer without a stream
    std::vector<AttemptRecord> attempts;
    std::string lease;  // what was held for it as it ended: see describe_timeline; empty: nothing
};

class AccessLog {
public:
    static constexpr int kLinesPerSecond = 10;
    explicit AccessLog(const Settings& settings) : settings_(settings) {}

    // A whole answer is in time, late or slow.
    RequestOutcome served(const RequestRecord& record) const;
    // Counts it; true if it is to be logged.
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

// A held state's life: "held 612 prefill_done at r1, made 23, at_risk 623; w0 sent 23 unproved". Times are ms
// since `arrived`, but for the first, its age at `now`.
std::string describe_timeline(const control::KvLease::Timeline& timeline, Millis arrived, Millis now,
                              const std::string& holder, const std::string& awaited);

// The number of tokens that an answer's closing events name, or 0.
double completion_tokens(std::string_view events);

}  // namespace gorsenotch::platform
