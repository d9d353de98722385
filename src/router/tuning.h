// The tuned constants of the Router, each with its unit and reason. The same for all deployments; everything
// else derives from settings, latency objectives or observations. Times are ms, lengths are tokens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gorsenotch::router {

// ---- outlier_detector ----
// An endpoint this many times slower than its peers is ejected.
constexpr double kSlowFactor = 3;
// Log-likelihood ratio at which it is ejected. The test never ends, so chance reaches it once in about exp(8)
// = 3,000 stages; at 4, in 55 to some hundred, and an ejection migrates all streams off an endpoint.
constexpr double kSlownessThreshold = 8;
// Recent share of failed attempts that ejects an endpoint.
constexpr double kErrorRateThreshold = 0.35;
// Weight of one attempt in that share: two failures in a row eject.
constexpr double kErrorRateSmoothingFactor = 0.2;
// Weight of a reset connection relative to another failure: the fault may be the connection's.
constexpr double kResetWeight = 0.5;
// Concurrent trial requests beyond which an ejection ends.
constexpr double kMaxTrialConcurrency = 16;
// Time for which a class does not use an endpoint that failed it.
constexpr double kClassEjectionTimeMs = 20000;
// Fraction of its latency objective from which an attempt is delayed.
constexpr double kDelayedObjectiveFraction = 0.5;

// ---- slow_start ----
// Fraction of the allowed slow-start budget that is used.
constexpr double kSlowStartBudgetFraction = 0.7;

// ---- eligibility ----
// Reported memory utilization at which a decode endpoint has no capacity.
constexpr double kFullMemoryFraction = 0.9;
// Fraction of the connect timeout within which sent bytes have arrived.
constexpr double kTransitFraction = 0.5;

// ---- in_flight_requests, request_properties ----
// Fixed work of a prefill or transfer, in thousands of tokens.
constexpr double kPrefillOverheadKilotokens = 0.2;
// Tokens up to which a stream is young: the quantum of the Pascal paper.
constexpr double kYoungStreamTokens = 500;
// Tokens of a stream in one unit of work.
constexpr double kTokensPerStreamUnit = 100;
// Bounds of a stream's predicted units, as predictions are rough.
constexpr double kMinStreamUnits = 0.3;
constexpr double kMaxStreamUnits = 3.0;

// ---- prefill_selector ----
// Typical prompts that an endpoint may hold above the least loaded one, growing from the first to the second
// with the tokens that its cache saves.
constexpr double kMinLoadMarginPrompts = 2;
constexpr double kMaxLoadMarginPrompts = 8;
// Power of the cells' weights by which zones share prefills; without a load signal the second.
constexpr int kZoneExponent = 2;
constexpr int kNoLoadSignalZoneExponent = 4;

// ---- prefix_affinity ----
// How many times the mean load of an endpoint one prefix may cause at a replica.
constexpr double kMaxReplicaLoadFactor = 1.5;
// Arrivals of other prefixes assumed before any is seen.
constexpr double kSharedPrefixPriorArrivals = 10;
// Decayed arrivals below which a shared prefix is forgotten.
constexpr double kMinPrefixArrivals = 0.05;

// ---- completion_times ----
// Time over which completion times decay.
constexpr double kCompletionTimeConstantMs = 4000;
// Completions that the prior of a completion time counts for.
constexpr double kPriorCompletions = 2;
// The low quantile of durations, and the step of its estimate.
constexpr double kLowQuantile = 0.3;
constexpr double kQuantileStep = 0.8;
// A typical duration is at most this many times the low quantile.
constexpr double kMaxTypicalToLowQuantileRatio = 4;

// ---- attempt_timeout ----
// A timeout is this many times the mean duration, and at least this fraction of the latency objective.
constexpr double kMeanTimeoutFactor = 6;
constexpr double kMeanTimeoutObjectiveFraction = 0.6;
// At a low sample rate it is this many times the low quantile, and at least a fraction of the latency
// objective: the first one for a prefill without a load signal, else the second.
constexpr double kTimeoutLowQuantileFactor = 20;
constexpr std::array<double, 2> kMinTimeoutObjectiveFraction{2.5, 0.4};

// ---- fleet_stats ----
// Time over which rates are averaged.
constexpr double kRateTimeConstantMs = 3000;
// Up to this many gateways, the queues of one show enough of the load.
constexpr int kMaxGatewaysAtHighSampleRate = 4;
// Endpoints scanned for statistics in one tick, on average.
constexpr std::size_t kEndpointsPerStatsTick = 256;
// Arrivals that the typical prompt lengths average over.
constexpr std::uint64_t kTypicalPromptArrivals = 30;
// Prefills that the mean of its zone counts for in a cell.
constexpr double kCellPriorPrefills = 3;
// Factor by which decode endpoints raise or lower a cell's weight at most.
constexpr double kMaxCellWeightFactor = 1.2;
// Bounds of the factor by which recent prefill times change a cell's weight.
constexpr double kMinCellCostFactor = 0.3;
constexpr double kMaxCellCostFactor = 1.5;
// Fraction of the latency objective that prefills are assumed to take in an unknown zone, at most.
constexpr double kUnknownZoneObjectiveFraction = 0.1;
// Fraction of the latency objective below which differences of prefill times matter little.
constexpr double kCellCostOffsetFraction = 0.3;

// ---- load_shedder ----
// Fraction of the latency objective that may be queued for, however long the prefill.
constexpr double kMinWaitObjectiveFraction = 0.3;
// Factor by which a wait estimated from few samples may be too long.
constexpr double kNoLoadSignalWaitFactor = 2;
// Fraction of the allowed wait at which a request of no value is shed, and what the highest priority weight
// adds.
constexpr double kMinShedThreshold = 0.3;
constexpr double kShedThresholdRange = 0.5;
// Used for the highest priority weight if that is 0.
constexpr double kMinPriorityWeight = 1e-9;
// Requests of a tenant at once within its quota: at least the first, or what the quota allows in so many
// seconds.
constexpr double kMinQuotaBurstRequests = 2.0;
constexpr double kQuotaBurstSeconds = 2;

// ---- retry_budget ----
// Retries earned by each first token.
constexpr double kRetriesPerFirstToken = 0.3;
// Retries at the start: the first is split among the gateways, within the bounds that follow.
constexpr double kInitialRetriesOfAllGateways = 40.0;
constexpr double kMinInitialRetryBudget = 4;
constexpr double kMaxInitialRetryBudget = 20.0;
// Arrivals of this time cap the retry budget.
constexpr double kRetryBudgetWindowMs = 6000;

// ---- request_dispatcher ----
// Fraction of its latency objective up to which a prefill at a slow endpoint is restarted elsewhere.
constexpr double kMigratableObjectiveFraction = 0.8;

// ---- endpoint_registry ----
// Of a role with more endpoints than the first a choice considers the second, from the request's position on
// the hash ring.
constexpr std::size_t kMaxFullScanEndpoints = 128;
constexpr std::size_t kCandidateWindowEndpoints = 96;
// Time after which a removed endpoint is forgotten.
constexpr double kRemovedEndpointRetentionMs = 60000;

// ---- health_monitor ----
// Label of the health tick's timer; all others are serials of requests.
constexpr std::uint64_t kHealthTickTimerId = 0;
// Time after which a failed poll of the endpoint list is repeated.
constexpr double kPollRetryDelayMs = 500;

}  // namespace gorsenotch::router
