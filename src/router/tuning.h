// Constants of the Router that are the same in every deployment; all other parameters derive from the
// settings, the latency objectives or observations. Times are in milliseconds, lengths in tokens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gorsenotch::router {

// ---- outlier_detector ----
// Slowdown relative to the peers that the slowness test detects.
constexpr double kSlowFactor = 3;
// Log-likelihood ratio of slow against normal at which an endpoint is ejected. The test runs continuously, so
// random variation reaches 8 once in about exp(8) = 3,000 stages. At 4 a false ejection would occur once in
// 55 to a few hundred stages, and each one migrates all streams off an endpoint.
constexpr double kSlownessThreshold = 8;
// Smoothed error rate above which an endpoint is ejected.
constexpr double kErrorRateThreshold = 0.35;
// Weight of one attempt in the smoothed error rate. Two consecutive failures exceed the threshold.
constexpr double kErrorRateSmoothingFactor = 0.2;
// Weight of a connection reset relative to other failures, as the network may have caused it.
constexpr double kResetWeight = 0.5;
// Limit of concurrent trial requests above which an ejection ends.
constexpr double kMaxTrialConcurrency = 16;
// How long a class avoids an endpoint at which one of its requests failed.
constexpr double kClassEjectionTimeMs = 20000;
// Fraction of its latency objective after which a pending attempt counts as delayed.
constexpr double kDelayedObjectiveFraction = 0.5;

// ---- slow_start ----
// Fraction of the permitted load that the slow-start budget uses, as a safety margin.
constexpr double kSlowStartBudgetFraction = 0.7;

// ---- eligibility ----
// Reported memory utilization from which an endpoint counts as full.
constexpr double kFullMemoryFraction = 0.9;
// Network transit time that is assumed for the bytes of a request, as a fraction of the connect timeout.
constexpr double kTransitFraction = 0.5;

// ---- in_flight_requests, request_properties ----
// Fixed overhead of a prefill or KV-cache transfer, in thousands of tokens.
constexpr double kPrefillOverheadKilotokens = 0.2;
// A stream is young until it has produced this many tokens: the scheduling quantum of the Pascal paper.
constexpr double kYoungStreamTokens = 500;
// Tokens of a stream that make one unit of work.
constexpr double kTokensPerStreamUnit = 100;
// Bounds of the predicted work units of a stream. They limit the effect of inaccurate length predictions.
constexpr double kMinStreamUnits = 0.3;
constexpr double kMaxStreamUnits = 3.0;

// ---- prefill_selector ----
// Load above that of the least loaded endpoint at which an endpoint is still a candidate, in typical prompts.
// The margin grows from the minimum to the maximum with the tokens that the prefix cache saves.
constexpr double kMinLoadMarginPrompts = 2;
constexpr double kMaxLoadMarginPrompts = 8;
// Exponent applied to the cell weights when prefills are divided among zones, with and without a load signal.
constexpr int kZoneExponent = 2;
constexpr int kNoLoadSignalZoneExponent = 4;

// ---- prefix_affinity ----
// Load that one prefix may cause at each of its replicas, as a multiple of the mean load of an endpoint.
constexpr double kMaxReplicaLoadFactor = 1.5;
// Prior for the total number of arrivals, so that the first arrivals of a prefix do not make it popular.
constexpr double kSharedPrefixPriorArrivals = 10;
// Decayed arrival count below which a shared prefix is no longer tracked.
constexpr double kMinPrefixArrivals = 0.05;

// ---- completion_times ----
// Time constant of the decay of completion times.
constexpr double kCompletionTimeConstantMs = 4000;
// Weight of the prior of a completion time, in completions.
constexpr double kPriorCompletions = 2;
// The low quantile of durations that is tracked, and the step size of its estimator.
constexpr double kLowQuantile = 0.3;
constexpr double kQuantileStep = 0.8;
// Upper bound of a typical duration, as a multiple of the low quantile.
constexpr double kMaxTypicalToLowQuantileRatio = 4;

// ---- attempt_timeout ----
// Attempt timeout as a multiple of the mean duration, and its minimum as a fraction of the latency objective.
constexpr double kMeanTimeoutFactor = 6;
constexpr double kMeanTimeoutObjectiveFraction = 0.6;
// Attempt timeout at a low sample rate as a multiple of the low quantile, and its minimum as a fraction of
// the latency objective: the first value for prefills without a load signal, the second for all other
// attempts.
constexpr double kTimeoutLowQuantileFactor = 20;
constexpr std::array<double, 2> kMinTimeoutObjectiveFraction{2.5, 0.4};

// ---- fleet_stats ----
// Time constant of the decay of rates, and the age up to which a load report is recent.
constexpr double kRateTimeConstantMs = 3000;
// With at most this many gateways, the queues of each one reflect the load of the endpoints.
constexpr int kMaxGatewaysAtHighSampleRate = 4;
// Average number of endpoints that are scanned for statistics per health tick.
constexpr std::size_t kEndpointsPerStatsTick = 256;
// Number of arrivals over which the typical prompt lengths are averaged.
constexpr std::uint64_t kTypicalPromptArrivals = 30;
// Weight of the zone's mean cost in the cost of a cell, in prefills.
constexpr double kCellPriorPrefills = 3;
// Maximum factor by which the number of decode endpoints raises or lowers the weight of a cell.
constexpr double kMaxCellWeightFactor = 1.2;
// Bounds of the factor by which recent prefill times change the weight of a cell.
constexpr double kMinCellCostFactor = 0.3;
constexpr double kMaxCellCostFactor = 1.5;
// Maximum cost assumed for prefills in a zone without samples, as a fraction of the latency objective.
constexpr double kUnknownZoneObjectiveFraction = 0.1;
// Added to prefill costs before they are compared, as a fraction of the latency objective. Differences
// between costs well below it have little effect.
constexpr double kCellCostOffsetFraction = 0.3;

// ---- load_shedder ----
// Minimum of the allowed wait as a fraction of the latency objective, whatever the prefill itself takes.
constexpr double kMinWaitObjectiveFraction = 0.3;
// Factor by which an expected wait may be overestimated where few samples are available.
constexpr double kNoLoadSignalWaitFactor = 2;
// Fraction of the allowed wait above which a request of value 0 is shed, and the amount that the highest
// value adds to it.
constexpr double kMinShedThreshold = 0.3;
constexpr double kShedThresholdRange = 0.5;
// Lower bound of the highest priority weight, which is a divisor.
constexpr double kMinPriorityWeight = 1e-9;
// Size of a tenant's token bucket: at least the first value, or the requests that its quota permits in the
// second.
constexpr double kMinQuotaBurstRequests = 2.0;
constexpr double kQuotaBurstSeconds = 2;

// ---- retry_budget ----
// Retries earned by each first token.
constexpr double kRetriesPerFirstToken = 0.3;
// Initial retry budget: the total is divided among the gateways, and each share is kept within the bounds.
constexpr double kInitialRetriesOfAllGateways = 40.0;
constexpr double kMinInitialRetryBudget = 4;
constexpr double kMaxInitialRetryBudget = 20.0;
// The retry budget is capped at the number of arrivals in this time.
constexpr double kRetryBudgetWindowMs = 6000;

// ---- resume_allowance ----
// Initial allowance of resumed streams: the total is divided among the gateways, and each share is kept
// within the bounds.
constexpr double kInitialResumesOfAllGateways = 64;
constexpr double kMinInitialResumes = 8;
constexpr double kMaxInitialResumes = 32;
// Allowance for each stream of this gateway: two gateways with as many may break at once.
constexpr double kResumesPerStream = 2;
// Time in which an empty allowance is refilled, and time constant of the decay of the peak of streams.
constexpr double kResumeWindowMs = 5000;
// The most that one resumed stream takes, as a fraction of the allowance.
constexpr double kMaxResumeFraction = 0.25;
// Weight of one arrival's sample in the mean length of the prompts of streams.
constexpr double kResumeLengthSmoothingFactor = 0.05;

// ---- request_dispatcher ----
// Fraction of its latency objective up to which a prefill at a slow endpoint is migrated.
constexpr double kMigratableObjectiveFraction = 0.8;

// ---- endpoint_registry ----
// A hash ring with more endpoints than the first value is not scanned in full: the selection considers a
// window of the second size, which starts at the request's position on the ring.
constexpr std::size_t kMaxFullScanEndpoints = 128;
constexpr std::size_t kCandidateWindowEndpoints = 96;
// Time for which the state of a removed endpoint is kept.
constexpr double kRemovedEndpointRetentionMs = 60000;

// ---- health_monitor ----
// Id of the timer of the health tick. The ids of all other timers are serial numbers of requests.
constexpr std::uint64_t kHealthTickTimerId = 0;
// Delay after which a failed poll of the endpoint list is repeated.
constexpr double kPollRetryDelayMs = 500;

}  // namespace gorsenotch::router
