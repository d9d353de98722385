// The tuned constants of the Router, each with its unit and reason. The same for all deployments; everything
// else derives from settings, latency objectives or observations. Times are ms, lengths are tokens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gorsenotch::router {

constexpr double kSlowFactor = 3;  // an endpoint this many times slower than its peers is ejected
// Log-likelihood ratio at which it is ejected. The test never ends, so chance reaches it once in about exp(8)
// = 3,000 stages; at 4, in 55 to some hundred, and an ejection migrates all streams off an endpoint.
constexpr double kSlownessThreshold = 8;
constexpr double kErrorRateThreshold = 0.35;  // recent share of failed attempts that ejects an endpoint
constexpr double kErrorRateStep = 0.2;  // weight of one attempt in that share: two failures in a row eject
constexpr double kResetWeight = 0.5;    // of a reset connection in it: the fault may be the connection's
constexpr double kMemoryNearFull =
    0.9;  // reported memory utilization at which a decode endpoint has no capacity
constexpr double kYoungStreamTokens =
    500;  // tokens up to which a stream is young: the quantum of the Pascal paper
constexpr double kMaxTrialConcurrency = 16;  // concurrent trial requests beyond which an ejection ends
constexpr double kSlowStartSafety = 0.7;     // fraction of the allowed slow-start budget that is used
constexpr double kMinLoadMargin = 2;   // typical prompts that an endpoint may hold above the least loaded ...
constexpr double kMaxLoadMargin = 8;   // ... growing to this with the tokens saved by prefix affinity
constexpr double kLowQuantile = 0.3;   // the low quantile of durations ...
constexpr double kQuantileStep = 0.8;  // ... and the step of its estimate
constexpr double kTypicalQuantiles = 4;   // a typical duration is at most this many times it
constexpr double kTimeoutQuantiles = 20;  // a timeout is this many times it
constexpr std::array<double, 2> kMinTimeoutObjectiveFraction{
    2.5, 0.4};  // ... and at least this fraction of the objective; prefill, first token
constexpr double kCellPriorPrefills = 3;  // prefills that the mean of its zone counts for in a cell
constexpr double kMaxCellWeightChange =
    1.2;  // factor by which decode endpoints raise or lower a cell's weight at most
constexpr double kMinWaitObjectiveFraction =
    0.3;  // fraction of the objective that may be queued for, however long the prefill
constexpr double kNoSignalWaitFactor =
    2;  // factor by which a wait estimated from few samples may be too long
constexpr double kAffinityReplicaLoad =
    1.5;  // times the mean load of an endpoint that one prefix may cause at a replica
constexpr double kSharedPrefixPriorArrivals = 10;  // arrivals of other prefixes assumed before any is seen
constexpr double kUnknownZoneObjectiveFraction =
    0.1;  // fraction of the objective spent on prefills in an unknown zone, at most
constexpr double kCalmObjectiveFraction =
    0.3;  // fraction of the objective below which differences do not matter
constexpr double kClassEjectionTime =
    20000;  // ms for which an endpoint that failed a class is not used for it
constexpr double kForgetRemovedAfter = 60000;  // ms after which a removed endpoint is forgotten
constexpr int kFewGateways = 4;                // up to this many, own queues show enough of the load
constexpr double kRetriesPerFirstToken = 0.3;  // retries earned by each first token
constexpr double kMinRetryBudget = 4;          // retries that each gateway starts with at least
constexpr double kCompletionSpan = 4000;       // ms over which completion times decay
constexpr double kPriorWeight = 2;             // completions that the prior of a completion time counts for
constexpr double kTransitFraction =
    0.5;  // fraction of the connect timeout within which sent bytes have arrived
// Of a role with more endpoints than kMaxFullScan a choice considers kCandidateWindow, from the request's
// position on the hash ring.
constexpr std::size_t kMaxFullScan = 128;
constexpr std::size_t kCandidateWindow = 96;
constexpr std::size_t kEndpointsPerStatsTick =
    256;                                   // endpoints scanned for statistics in one tick, on average
constexpr std::uint64_t kHealthTimer = 0;  // timer of the health tick; all others are serials of requests
constexpr double kRateSpan = 3000;         // ms over which rates are averaged
constexpr double kPrefillOverheadKilotokens = 0.2;     // fixed work of a prefill or transfer, as tokens
constexpr double kInitialRetriesOfAllGateways = 40.0;  // split among the gateways at their start ...
constexpr double kMaxInitialRetryBudget = 20.0;        // ... with no more than this for each
constexpr std::uint64_t kTypicalPromptArrivals = 30;   // arrivals that typical prompt lengths average over
constexpr double kMinCellCostFactor = 0.3;             // bounds of what recent prefill times change ...
constexpr double kMaxCellCostFactor = 1.5;             // ... in a cell's weight
constexpr double kDelayedObjectiveFraction = 0.5;      // of the objective, from which an attempt is delayed
constexpr double kMigratableObjectiveFraction =
    0.8;                                  // of the objective, up to which a prefill can be restarted
constexpr double kMeanTimeoutFactor = 6;  // a timeout is this many times the mean duration ...
constexpr double kMeanTimeoutObjectiveFraction = 0.6;  // ... and at least this fraction of the objective
constexpr double kMinShedThreshold =
    0.3;  // fraction of the allowed wait at which a worthless request is shed ...
constexpr double kShedThresholdRange = 0.5;   // ... and what the highest priority weight adds
constexpr double kForgetPrefixBelow = 0.05;   // decayed arrivals below which a shared prefix is forgotten
constexpr double kTokensPerStreamUnit = 100;  // tokens of a stream in one unit of work
constexpr double kMinStreamUnits = 0.3;       // bounds of a stream's predicted units ...
constexpr double kMaxStreamUnits = 3.0;       // ... as predictions are rough
constexpr int kZoneExponent = 2;              // power of the cells' weights by which zones share prefills ...
constexpr int kNoSignalZoneExponent = 4;      // ... and without a load signal
constexpr double kMinPriorityWeight = 1e-9;   // stands for a highest priority weight of 0
constexpr double kMinQuotaBurst = 2.0;        // requests of a tenant at once within its quota ...
constexpr double kQuotaBurstSeconds = 2;      // ... or what its quota allows in so many seconds
constexpr double kPollRetryDelay = 500;       // ms after which a failed poll of the endpoint list is repeated
constexpr double kRetryBudgetSpan = 6000;     // ms of arrivals that cap the retry budget

}  // namespace gorsenotch::router
