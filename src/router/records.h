// Plain data structures for the state of endpoints, cells and requests. Times are in milliseconds on the
// Router's clock, lengths in tokens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/tuning.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

constexpr Millis kNever = 1e18;  // later than any time that occurs; -kNever is earlier than any

// The stages of a request: prefill, waiting for the first token at a decode endpoint, streaming.
enum class Stage { prefill, decode_queued, streaming };
constexpr std::array<Stage, 3> kStages{Stage::prefill, Stage::decode_queued, Stage::streaming};
constexpr std::array<Role, 3> kRoles{Role::prefill, Role::decode, Role::mixed};

// An array indexed by an enumeration with three values.
template <class Key, class Value>
class EnumArray {
public:
    Value& operator[](Key key) { return values_[static_cast<std::size_t>(key)]; }
    const Value& operator[](Key key) const { return values_[static_cast<std::size_t>(key)]; }

private:
    std::array<Value, 3> values_{};
};
template <class Value>
using PerStage = EnumArray<Stage, Value>;
template <class Value>
using PerRole = EnumArray<Role, Value>;

// A cancelled or timed-out prefill that its endpoint may still be processing.
struct AbandonedPrefill {
    Millis until = 0;
    double tokens = 0;
};

// Load of an endpoint: the load caused by this gateway, modified by InFlightRequests and AbandonedPrefills,
// and the reported load, modified by EndpointRegistry.
struct EndpointLoad {
    PerStage<int> in_flight;       // attempts by stage
    double queued_kilotokens = 0;  // own prefills: thousands of tokens not expected to be cached
    double reserved_tokens = 0;    // tokens of own prefills, including abandoned ones, and of KV leases
    std::deque<AbandonedPrefill> abandoned_prefills;
    double tokens_used_by_others = 0;  // KV-cache tokens of other gateways by the latest report
    Millis last_report_at = -kNever;
    double memory_utilization = -1;  // by the latest report; -1: none yet

    int in_flight_total() const {
        return in_flight[Stage::prefill] + in_flight[Stage::decode_queued] + in_flight[Stage::streaming];
    }
};

// Health of an endpoint as observed from its attempts. Modified only by OutlierDetector, and reset by
// EndpointRegistry when the endpoint has restarted.
struct EndpointHealth {
    double error_rate = 0;               // smoothed fraction of failed attempts
    PerStage<double> slowness_evidence;  // log-likelihood ratio of slow against normal
    bool ejected = false;
    bool was_unreachable = false;  // ejected because connections could not be established
    bool connect_failed = false;   // the latest connection attempt failed, and no attempt has succeeded since
    Millis ejected_at = 0;
    Millis ejected_until = 0;
    Millis ejection_backoff = 0;
    double concurrency_limit = 0;            // maximum number of trial requests in flight while ejected
    std::vector<Millis> last_class_failure;  // by class: time of the latest failure, -kNever after a success
    Millis rejecting_until = -kNever;
    Millis last_success = -kNever;
};

// Attempts sent to an endpoint. Modified only by SlowStart.
struct SendHistory {
    stats::DecayingRate rate{kRateTimeConstantMs};
    std::deque<Millis> recent;  // send times within the overload window, ascending
};

// An endpoint that is listed, or was removed recently. Owned by EndpointRegistry.
struct EndpointState {
    Endpoint info;  // as listed by service discovery
    Role role = Role::mixed;
    Millis last_listed_at = 0;
    Millis warming_since = -kNever;  // start of the slow start: as listed, or when reachable again
    EndpointLoad load;
    EndpointHealth health;
    SendHistory sends;

    bool can_decode() const { return role != Role::prefill; }
};

// A cell: a group of endpoints connected by fast links. Owned by FleetStats.
struct Cell {
    int zone = 0;
    double prefill_share = 0;  // expected fraction of all prefills, from the endpoints listed
    double decode_share = 0;   // fraction of the endpoints that can decode
    double weight = 1;         // weight of its prefill endpoints in a selection
    // Recent prefills of the cell, both decaying: the sum of the fractions of their latency objectives that
    // they took, and their number.
    double objective_fraction_sum = 0;
    double prefills = 0;
};

// The latest attempt of a request.
struct AttemptState {
    bool in_flight = false;
    bool cancelled = false;
    bool spans_gateway_stall = false;  // this gateway stalled while the attempt was in flight
    Stage stage = Stage::prefill;
    EndpointId endpoint = 0;
    Millis sent_at = 0;            // moved forward by later stalls of this gateway
    Millis stream_started_at = 0;  // moved forward likewise
    Millis original_sent_at = 0;   // not moved by stalls
    // Work ahead when the attempt was sent, its own included: thousands of tokens to prefill, or number of
    // attempts queued. For a stream, its predicted length in units of kTokensPerStreamUnit tokens.
    double work_units = 1;
};

// An unsuccessful attempt that may have run at its endpoint.
struct PossibleRun {
    EndpointId endpoint = 0;
    Millis sent_at = 0;
};

// A request that has no final answer yet, or has an attempt in flight. Owned by InFlightRequests.
struct RequestState {
    Arrival arrival;
    std::uint64_t serial = 0;  // from 1, in order of arrival; also the id of the deadline's timer
    Millis arrived_at = 0;
    int attempt_count = 0;
    bool resume_admitted = false;  // resumes a stream, and is exempt from load shedding
    // No answer is due: its stream has begun, it has a final answer, or its client disconnected.
    bool closed = false;
    bool answered = false;  // the Router has given the final answer
    AttemptState attempt;
    bool has_kv_lease = false;  // its KV cache is kept at the prefill endpoint
    EndpointId prefill_endpoint = 0;
    std::vector<EndpointId> failed_endpoints;
    std::optional<PossibleRun> possible_run;  // the first such attempt
};

}  // namespace gorsenotch::router
