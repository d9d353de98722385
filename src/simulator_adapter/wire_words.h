// The only definition of the words of the simulator's wire protocol and their meaning.
#pragma once

#include <array>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/text_values.h"

namespace gorsenotch::simulator_adapter::words {

// ---- a batch ----
constexpr const char* kBatchBegin = "clock";
constexpr const char* kBatchEnd = "over_to_you";
constexpr const char* kReplyEnd = "yield";

// ---- messages from the simulator ----
constexpr const char* kEndpointRows = "snapshot_rows";
constexpr const char* kEndpointRow = "m";
constexpr const char* kInit = "init";
constexpr const char* kKilled = "killed";
constexpr const char* kArrival = "knock";
constexpr const char* kAttemptEnded = "finished";
constexpr const char* kFirstToken = "first";
constexpr const char* kReservationReply = "held_note";
constexpr const char* kClientDisconnected = "client_gone";
constexpr const char* kHealthCheckResult = "ping_result";
constexpr const char* kTimerFired = "due";
constexpr const char* kEndpointUpdate = "fleet";

// ---- messages to the simulator ----
constexpr const char* kStartAttempt = "attempt";
constexpr const char* kStopAttempt = "stop_attempt";
constexpr const char* kReserveSlot = "hold_place";
constexpr const char* kReleaseLease = "drop_state";
constexpr const char* kReject = "reject";
constexpr const char* kFail = "end_failed";
constexpr const char* kMigrateStream = "reassign";
constexpr const char* kHealthCheck = "touch";
constexpr const char* kSetTimer = "set_timer";
constexpr const char* kWatchEndpoints = "watch";
constexpr const char* kPollEndpoints = "refresh";
constexpr const char* kLog = "log";
constexpr const char* kRouterError = "bug";

// ---- fields ----
constexpr std::array<settings::NamedValue<AttemptResult>, 9> kAttemptResults = {
    {{"GOOD", AttemptResult::served},
     {"BAD", AttemptResult::error},
     {"FULL", AttemptResult::rejected},
     {"LATE", AttemptResult::timed_out},
     {"NOCONN", AttemptResult::unreachable},
     {"RST", AttemptResult::reset},
     {"CXL", AttemptResult::cancelled},
     {"NOP", AttemptResult::not_sent},
     {"ready_to_answer", AttemptResult::prefill_done}}};
constexpr std::array<settings::NamedValue<EndpointStatus>, 3> kEndpointStatuses = {
    {{"healthy", EndpointStatus::healthy},
     {"cordoned", EndpointStatus::draining},
     {"deregistered", EndpointStatus::removed}}};
constexpr std::array<settings::NamedValue<EndpointUpdate::Kind>, 4> kUpdateKinds = {
    {{"D", EndpointUpdate::Kind::incremental},
     {"F", EndpointUpdate::Kind::full},
     {"C", EndpointUpdate::Kind::cached},
     {"X", EndpointUpdate::Kind::failed}}};
// Names in the name:value pairs of a load report.
constexpr const char* kMemoryUtilization = "x0";
constexpr const char* kQueuedKilotokens = "x1";
constexpr const char* kLatency = "mean_ms";

// Bits of an arrival's flags.
constexpr unsigned kHasLengthHint = 1;
constexpr unsigned kClientRetry = 2;
constexpr unsigned kResumed = 16;

}  // namespace gorsenotch::simulator_adapter::words
