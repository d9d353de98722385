// The decision module's constants, each with its unit and reason: all that is tuned. Held for all
// deployments; everything else derives from settings, aims or what is observed. Times are ms, lengths are
// tokens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gorsenotch::router {

constexpr double kSlowFactor = 3;  // a server this many times slower than its peers is worth leaving
// Log-likelihood at which it is flagged. The test never ends, so chance reaches it once in some exp(8) =
// 3,000 stages; at 4, in 55 to some hundred, and a flag takes all the streams off a server.
constexpr double kSlownessThreshold = 8;
constexpr double kErrorRateThreshold = 0.35;  // recent share of failed outcomes that flags a server
constexpr double kErrorRateStep = 0.2;       // weight of one outcome in that share: two failures running flag
constexpr double kResetWeight = 0.5;         // of a broken connection in it: that may be the connection's own
constexpr double kMemoryNearFull = 0.9;      // reported share of memory at which a writer has no room
constexpr double kYoungStreamTokens = 500;   // tokens; the paper's quantum, for streams that are still young
constexpr double kMaxTrialConcurrency = 16;  // requests out at once that end a suspect's slow start
constexpr double kSlowStartSafety = 0.7;     // part of the allowed cold budget that is used
constexpr double kMinLoadMargin = 2;      // usual prompts by which a reader may hold more than the least ...
constexpr double kMaxLoadMargin = 8;      // ... growing to this with what the home saves
constexpr double kLowQuantile = 0.3;      // the quantile
constexpr double kQuantileStep = 0.8;     // and how fast it follows
constexpr double kTypicalQuantiles = 4;   // a usual time is so many times it at most
constexpr double kTimeoutQuantiles = 20;  // a time-out is so many times that quantile
constexpr std::array<double, 2> kMinTimeoutObjectiveFraction{
    2.5, 0.4};                            // and not under this part of the aim; reads, waits
constexpr double kCellPriorPrefills = 3;  // reads in a cell that outweigh what is usual in its zone
constexpr double kMaxCellWeightChange =
    1.2;  // what a cell's writers add to its readers' pull at most, or take from it
constexpr double kMinWaitObjectiveFraction =
    0.3;                                   // part of the aim that may be waited however long the own work is
constexpr double kNoSignalWaitFactor = 2;  // times by which a wait foreseen from few visits may be too long
constexpr double kAffinityReplicaLoad =
    1.5;  // times the mean of a reader that one of a beginning's homes carries of it
constexpr double kSharedPrefixPriorArrivals =
    10;  // arrivals that stand for what is not known of a beginning yet
constexpr double kUnknownZoneObjectiveFraction =
    0.1;  // part of the aim that reads take at most in a zone nothing is known of
constexpr double kCalmObjectiveFraction = 0.3;  // part of the aim that is quick anyway
constexpr double kClassEjectionTime =
    20000;  // ms for which a server that failed a class is left by it, at most
constexpr double kForgetRemovedAfter = 60000;  // ms after which a server that is gone is forgotten
constexpr int kFewGateways = 4;                // up to so many, own queues show enough of the load
constexpr double kRetriesPerFirstToken = 0.3;  // further attempts for each first token: the retry budget
constexpr double kMinRetryBudget = 4;          // further attempts that any gateway starts with
constexpr double kCompletionSpan = 4000;       // ms over which the usual times fade
constexpr double kPriorWeight = 2;             // completions that the prior of a completion time stands for
constexpr double kTransitFraction = 0.5;  // part of the dial time-out within which what is sent has arrived
// Of a role with more servers than the first a choice looks at the second, from the request's place on a ring
// of all.
constexpr std::size_t kMaxFullScan = 128, kCandidateWindow = 96;
constexpr std::size_t kEndpointsPerStatsTick = 256;  // servers, in the mean
constexpr std::uint64_t kHealthTimer = 0;  // timer label of the periodic check; others number requests

}  // namespace gorsenotch::router
