// The checks of invariants, each a function from the records to a finding. Pure.
#pragma once

#include <string>

#include "invariants/record_checker.h"
#include "invariants/record_index.h"

namespace gorsenotch::invariants {

// client_checks.cpp
Finding check_answered(const RecordIndex& index);
Finding check_nothing_after(const RecordIndex& index);
Finding check_text(const RecordIndex& index);
// execution_checks.cpp
Finding check_runs_once(const RecordIndex& index);
Finding check_no_overlap(const RecordIndex& index);
// drain_check.cpp
Finding check_drains(const RecordIndex& index);
// slow_start_check.cpp
Finding check_slow_start(const RecordIndex& index);
// held_state_check.cpp
Finding check_held_states(const RecordIndex& index);

// ---- shared by the checks ----
Finding make_finding(const char* rule, const char* what);
// Counts a violation; the first one's text is kept. It begins with the name of a request or a client.
void add_violation(Finding& finding, const std::string& example);
// File, line and time of a record.
std::string place(const Record* record);

}  // namespace gorsenotch::invariants
