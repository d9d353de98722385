// Judges the five invariants from the records of clients' and engines' sockets and of the scenario's runner,
// never from what a gateway says of itself. Pure. The checks are in checks.h, their view of the records in
// record_index.h.
#pragma once

#include <string>
#include <vector>

#include "gorsenotch/settings.h"
#include "invariants/record.h"

namespace gorsenotch::invariants {

// Limits that the invariants are judged by; times are ms.
struct CheckerSettings {
    std::vector<std::string> classes;           // names, as in the records
    std::vector<ClassSettings> class_settings;  // by class
    Millis answer_slack = 50;
    Millis drain_grace = 250;
    Millis release_within = 1000;
    Millis overload_window = 2000;
    double overload_factor = 2.5;
    // What passes between a cause and its record in another process, on one machine; added to each limit.
    Millis notice = 60;
    // After a standstill that the runner made (a stopped process), a gateway is as before within this time.
    Millis recover = 1000;
};

// The result of one check.
struct Finding {
    std::string rule;  // the invariant, with its number
    std::string what;  // e.g. "answered once"
    long cases = 0;
    long broken = 0;
    long excused = 0;     // late only because the runner had killed or stopped the gateway that owed it
    std::string example;  // of the first violation: what was seen, with the records' places
    std::vector<std::string> trace;  // the records that speak of it, by time, at most 20
};

// What clients were served.
struct Service {
    long asked = 0, answered = 0, refused = 0, failed = 0, client_disconnected = 0;
    // The connection broke without an answer: because the runner had killed its gateway, which then owes
    // nothing (the client's to retry), or with the gateway alive, which breaks rule 1.
    long lost_killed = 0, lost = 0;
    // Attempts that were out while their gateway stood still, and others begun within
    // CheckerSettings::recover after, at engines without a trouble of their own and for clients that still
    // waited; those that the gateway cut.
    long attempts_during_stall = 0, cut_during_stall = 0, attempts_after_stall = 0, cut_after_stall = 0;
    double value = 0;  // earned over asked, retries counted with their first try; 0 to 1
    std::vector<std::pair<std::string, double>> by_class;
    double p50 = 0, p99 = 0, p999 = 0;  // ms to the first token or whole answer, of those served
};

// All findings of a run, and how well clients were served.
struct Verdict {
    std::vector<Finding> findings;
    Service service;
    // Whether no invariant is broken.
    bool all_hold() const;
};

Verdict check_records(const std::vector<Record>& records, const CheckerSettings& terms);
// As a table, with the records of each first violation.
std::string format_verdict(const Verdict& verdict);

}  // namespace gorsenotch::invariants
