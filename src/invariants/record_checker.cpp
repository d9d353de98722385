#include "invariants/record_checker.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "invariants/checks.h"
#include "invariants/record_index.h"
#include "invariants/service_summary.h"

namespace gorsenotch::invariants {
namespace {

constexpr std::size_t kMaxTraceRecords = 20;

// The request id of a subject, which is a request, an attempt or a client; empty if it has none.
std::string request_in(const RecordIndex& index, const std::string& subject) {
    const auto client = index.clients().find(subject);
    if (client != index.clients().end()) return client->second.request;
    const bool is_request = request_of(subject).rfind("req_", 0) == 0;
    return is_request ? subject.substr(0, subject.find('.')) : "";
}

// True if the record belongs to the subject or its request.
bool is_about(const RecordIndex& index, const Record& record, const std::string& subject,
              const std::string& request) {
    if (!request.empty() && record.text("id").rfind(request, 0) == 0) return true;
    const std::string number = record.text("c");
    if (number.empty()) return false;
    const std::string name = record.source + "/" + number;
    if (name == subject) return true;
    const auto client = index.clients().find(name);
    return !request.empty() && client != index.clients().end() && client->second.request == request;
}

// Adds the records of the finding's first violation.
void add_trace(const RecordIndex& index, Finding& finding) {
    const std::string subject = finding.example.substr(0, finding.example.find_first_of(" :"));
    if (subject.empty()) return;
    const std::string request = request_in(index, subject);
    for (const Record& record : index.records()) {
        if (finding.trace.size() >= kMaxTraceRecords) return;
        if (is_about(index, record, subject, request))
            finding.trace.push_back(record_location(&record) + " " + record.fields.dump());
    }
}

}  // namespace

Finding make_finding(const char* rule, const char* what) {
    Finding finding;
    finding.rule = rule;
    finding.what = what;
    return finding;
}

void add_violation(Finding& finding, const std::string& example) {
    if (finding.broken++ == 0) finding.example = example;
}

std::string record_location(const Record* record) {
    if (!record) return "";
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%.1f", record->t);
    return record->source + ":" + std::to_string(record->line) + " at " + time.data();
}

bool Verdict::all_hold() const {
    return std::all_of(findings.begin(), findings.end(),
                       [](const Finding& finding) { return finding.broken == 0; });
}

Verdict check_records(const std::vector<Record>& records, const CheckerSettings& settings) {
    const RecordIndex index(records, settings);
    Verdict verdict;
    verdict.findings = {check_answered(index),   check_nothing_after(index), check_text(index),
                        check_runs_once(index),  check_no_overlap(index),    check_drains(index),
                        check_slow_start(index), check_leased_states(index), check_complete(index)};
    verdict.service = summarize_service(index);
    for (Finding& finding : verdict.findings) add_trace(index, finding);
    return verdict;
}

}  // namespace gorsenotch::invariants
