// The program's exit codes; scripts of users depend on them.
#pragma once

namespace gorsenotch::cli {

constexpr int kExitDone = 0;
constexpr int kExitViolation = 1;    // an invariant was violated, or a replay differed
constexpr int kExitUsage = 2;        // wrong use of the command line
constexpr int kExitRefused = 3;      // a file was refused
constexpr int kExitSystem = 4;       // the system refused: an address in use, a process that can't be started
constexpr int kExitInterrupted = 5;  // stopped by a signal before its job was done

}  // namespace gorsenotch::cli
