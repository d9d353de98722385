// The checks of the invariants: each is a pure function from the indexed records to a finding.
#pragma once

#include <string>

#include "invariants/record_checker.h"
#include "invariants/record_index.h"

namespace gorsenotch::invariants {

// Invariant 1 (client_checks.cpp).
Finding check_answered(const RecordIndex& index);
Finding check_nothing_after(const RecordIndex& index);
Finding check_text(const RecordIndex& index);
Finding check_complete(const RecordIndex& index);
// Invariant 2 (execution_checks.cpp).
Finding check_runs_once(const RecordIndex& index);
Finding check_no_overlap(const RecordIndex& index);
// Invariant 3 (drain_check.cpp).
Finding check_drains(const RecordIndex& index);
// Invariant 4 (slow_start_check.cpp).
Finding check_slow_start(const RecordIndex& index);
// Invariant 5 (held_state_check.cpp).
Finding check_leased_states(const RecordIndex& index);

// ---- helpers of the checks ----
Finding make_finding(const char* rule, const char* what);
// Counts a violation and stores the text of the first one, which must begin with the name of a request or a
// client.
void add_violation(Finding& finding, const std::string& example);
// The file, line and time of a record as text; empty for null.
std::string record_location(const Record* record);

}  // namespace gorsenotch::invariants
