// The program's exit codes. Users' scripts depend on them.
#pragma once

namespace gorsenotch::cli {

constexpr int kExitSuccess = 0;
// An invariant was violated, a scenario was not completed, or a replay gave different decisions.
constexpr int kExitViolation = 1;
constexpr int kExitUsageError = 2;    // invalid command line
constexpr int kExitInvalidInput = 3;  // invalid input file, or an option value that does not fit the file
constexpr int kExitSystemError = 4;   // such as an address in use or a process that cannot be started
constexpr int kExitInterrupted = 5;   // stopped by a signal before its work was complete

}  // namespace gorsenotch::cli
