// A verdict as text for a terminal or a log.
#include <array>
#include <cstdio>

#include "invariants/record_checker.h"

namespace gorsenotch::invariants {
namespace {

constexpr std::size_t kMaxLine = 512;

// One formatted piece, cut at kMaxLine.
template <class... Values>
std::string format(const char* pattern, Values... values) {
    std::array<char, kMaxLine> line{};
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
        "asks %ld: served %ld, refused %ld, failed %ld, left by the client %ld, connection lost "
        "with a gateway that the day killed %ld (excused by rule 1: the client's to retry), with one "
        "that lived %ld (breaks it)\n"
        "service %.3f (worth in time over worth asked, retries with their first try)",
        service.asked, service.answered, service.refused, service.failed, service.client_disconnected,
        service.lost_killed, service.lost, service.value);
    for (const auto& [name, value] : service.by_class) out += format(", %s %.3f", name.c_str(), value);
    out += format("\nfirst token or whole answer, ms: p50 %.1f, p99 %.1f, p99.9 %.1f\n", service.p50,
                  service.p99, service.p999);
    return out;
}

std::string format_stalls(const Service& service) {
    return format(
        "attempts at healthy engines for clients that waited: out when their gateway stood still %ld, "
        "cut off by it %ld; begun within a second after %ld, cut off %ld\n",
        service.attempts_during_stall, service.cut_during_stall, service.attempts_after_stall,
        service.cut_after_stall);
}

}  // namespace

std::string format_verdict(const Verdict& verdict) {
    std::string out = format("%-30s %-60s %8s %8s %8s\n", "rule", "looked at", "cases", "broken", "excused");
    for (const Finding& finding : verdict.findings) out += format_finding(finding);
    out += format_service(verdict.service);
    if (verdict.service.attempts_during_stall + verdict.service.attempts_after_stall > 0)
        out += format_stalls(verdict.service);
    return out;
}

}  // namespace gorsenotch::invariants
