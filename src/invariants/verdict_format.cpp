// Formats a verdict as text for a terminal or a log.
#include <array>
#include <cstdio>

#include "invariants/record_checker.h"

namespace gorsenotch::invariants {
namespace {

constexpr std::size_t kMaxLineBytes = 512;

// One formatted part, truncated to kMaxLineBytes - 1 bytes.
template <class... Values>
std::string format(const char* pattern, Values... values) {
    std::array<char, kMaxLineBytes> line{};
    // NOLINTNEXTLINE(clang-diagnostic-format-nonliteral): the patterns are literals of the callers below
    std::snprintf(line.data(), line.size(), pattern, values...);
    return line.data();
}

std::string format_finding(const Finding& finding) {
    std::string out = format("%-30s %-60s %8ld %8ld %8ld\n", finding.rule.c_str(), finding.what.c_str(),
                             finding.cases, finding.broken, finding.excused);
    if (finding.broken > 0) out += "    first: " + finding.example + "\n";
    for (const auto& record : finding.trace) out += "        " + record + "\n";
    return out;
}

std::string format_service(const Service& service) {
    std::string out = format(
        "requests %ld: served %ld, refused %ld, failed %ld, client disconnected %ld, connections lost "
        "to a killed gateway %ld (no violation: the client retries), to a live gateway %ld (violates rule "
        "1)\n"
        "service %.3f (value earned / value requested, a request and its retries count once)",
        service.asked, service.answered, service.refused, service.failed, service.client_disconnected,
        service.lost_with_killed_gateway, service.lost_with_live_gateway, service.value);
    for (const auto& [name, value] : service.by_class) out += format(", %s %.3f", name.c_str(), value);
    out += format("\nfirst token or complete answer, ms: p50 %.1f, p99 %.1f, p99.9 %.1f\n", service.p50,
                  service.p99, service.p999);
    return out;
}

std::string format_suspensions(const Service& service) {
    return format(
        "attempts at healthy engines for waiting clients: in flight during a suspension of their gateway "
        "%ld, "
        "cancelled by it %ld; sent within 1 s after it %ld, cancelled %ld\n",
        service.attempts_during_suspension, service.cancelled_during_suspension,
        service.attempts_after_suspension, service.cancelled_after_suspension);
}

}  // namespace

std::string format_verdict(const Verdict& verdict) {
    std::string out = format("%-30s %-60s %8s %8s %8s\n", "rule", "check", "cases", "broken", "excused");
    for (const Finding& finding : verdict.findings) out += format_finding(finding);
    out += format_service(verdict.service);
    if (verdict.service.attempts_during_suspension + verdict.service.attempts_after_suspension > 0)
        out += format_suspensions(verdict.service);
    return out;
}

}  // namespace gorsenotch::invariants
