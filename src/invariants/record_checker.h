// Checks the five invariants against the records of engines, clients and the scenario's runner. Logs and
// status of the gateways under test are not used. No I/O. The checks are declared in checks.h, their view of
// the records in record_index.h.
#pragma once

#include <string>
#include <vector>

#include "gorsenotch/settings.h"
#include "invariants/record.h"

namespace gorsenotch::invariants {

// Limits of the invariants.
struct CheckerSettings {
    std::vector<std::string> classes;           // names, as in the records
    std::vector<ClassSettings> class_settings;  // by class
    Millis answer_slack = 50;
    Millis drain_grace = 250;
    Millis release_within = 1000;
    Millis overload_window = 2000;
    double overload_factor = 2.5;
    // Time from an event to its record in another process on the same machine; added to each limit.
    Millis record_delay = 60;
    // Within this time after the end of a suspension by the runner (SIGSTOP), a gateway must work normally
    // again.
    Millis suspension_recovery = 1000;
};

// The result of one check.
struct Finding {
    std::string rule;  // the invariant, with its number; equal for all its checks
    std::string what;  // the property that this check verifies
    long cases = 0;
    long broken = 0;
    long excused = 0;  // late only because the runner had killed or suspended the responsible gateway or cut
                       // off the engine
    std::string example;             // the first violation, with the locations of its records
    std::vector<std::string> trace;  // the records of the first violation by time, at most 20
};

// How clients were served.
struct Service {
    long asked = 0, answered = 0, refused = 0, failed = 0, client_disconnected = 0;
    // Connections that closed without an answer: after the runner had killed the gateway (no violation; the
    // client must retry), or with a live gateway (a violation of invariant 1).
    long lost_with_killed_gateway = 0, lost_with_live_gateway = 0;
    // Attempts in flight while their gateway was suspended, and attempts sent within
    // CheckerSettings::suspension_recovery afterwards. Counted only at engines without an injected fault and
    // for clients that still waited. `cancelled_...`: those that the gateway cancelled.
    long attempts_during_suspension = 0, cancelled_during_suspension = 0, attempts_after_suspension = 0,
         cancelled_after_suspension = 0;
    double value = 0;  // value earned / value requested, 0 to 1; a request and its retries count once
    std::vector<std::pair<std::string, double>> by_class;
    double p50 = 0, p99 = 0,
           p999 = 0;  // ms to the first token, or to the answer without a stream; served requests only
};

// The findings of all checks and the service summary of a run.
struct Verdict {
    std::vector<Finding> findings;
    Service service;
    // True if there is no violation.
    bool all_hold() const;
};

Verdict check_records(const std::vector<Record>& records, const CheckerSettings& settings);
// The verdict as a table, with the records of each first violation.
std::string format_verdict(const Verdict& verdict);

}  // namespace gorsenotch::invariants
