// The state that a Router keeps of endpoints, cells and requests, without behaviour. Times are milliseconds
// on the Router's clock, lengths are tokens.
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

constexpr Millis kNever = 1e18;  // a time later than all others; -kNever is earlier than all others

// The stages of a request: prefill, wait for the first token at a decode endpoint, stream.
enum class Stage { prefill, decode_queued, streaming };
constexpr std::array<Stage, 3> kStages{Stage::prefill, Stage::decode_queued, Stage::streaming};
constexpr std::array<Role, 3> kRoles{Role::prefill, Role::decode, Role::mixed};

// One value for each value of an enumeration that has three.
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

// A cancelled or timed-out prefill that its endpoint may still work on.
struct AbandonedPrefill {
    Millis until = 0;
    double tokens = 0;
};

// Load of an endpoint by this gateway, and as reported. Changed by InFlightRequests and AbandonedPrefills
// (own load) and by EndpointRegistry (reports).
struct EndpointLoad {
    PerStage<int> in_flight;       // attempts by stage
    double queued_kilotokens = 0;  // own prefills: thousands of tokens not expected in the KV cache
    double reserved_tokens = 0;    // tokens of own prefills and KV-cache leases, abandoned prefills included
    std::deque<AbandonedPrefill> abandoned_prefills;
    double tokens_used_by_others = 0;  // KV cache used by other gateways, by the latest report
    Millis last_report_at = -kNever;
    double memory_utilization = -1;  // by the latest report; -1 before the first

    int in_flight_total() const {
        return in_flight[Stage::prefill] + in_flight[Stage::decode_queued] + in_flight[Stage::streaming];
    }
};

// Health of an endpoint as its attempts show it. Changed by OutlierDetector alone, and reset by
// EndpointRegistry when the endpoint has restarted.
struct EndpointHealth {
    double error_rate = 0;               // decaying share of failed attempts
    PerStage<double> slowness_evidence;  // log-likelihood ratio of slow against normal
    bool ejected = false;
    bool was_unreachable = false;  // ejected as connections could not be established
    bool connect_failed = false;   // the latest connection failed, and no attempt succeeded since
    Millis ejected_at = 0;
    Millis ejected_until = 0;
    Millis ejection_backoff = 0;
    double concurrency_limit = 0;            // of trial requests while ejected
    std::vector<Millis> last_class_failure;  // by class: time of the latest attempt, if it failed
    Millis rejecting_until = -kNever;
    Millis last_success = -kNever;
};

// Attempts sent to an endpoint. Changed by SlowStart alone.
struct SendHistory {
    stats::DecayingRate rate{kRateTimeConstantMs};
    std::deque<Millis> recent;  // times of the sends within the overload window, ascending
};

// An endpoint that was ever listed and is not forgotten. Owned by EndpointRegistry.
struct EndpointState {
    Endpoint info;  // as listed
    Role role = Role::mixed;
    Millis last_listed_at = 0;
    Millis warming_since = -kNever;  // start of the slow start: as listed, or when it became reachable again
    EndpointLoad load;
    EndpointHealth health;
    SendHistory sends;

    bool can_decode() const { return role != Role::prefill; }
};

// A cell of endpoints with fast links among them. Owned by FleetStats.
struct Cell {
    int zone = 0;
    double prefill_share = 0;  // of all prefills, as expected from the endpoints listed
    double decode_share = 0;   // of the endpoints that can decode
    double weight = 1;         // of its prefill endpoints in a choice
    double objective_fraction_sum =
        0;                // sum of the fractions of latency objectives spent on prefills; decays
    double prefills = 0;  // number of these prefills; decays
};

// The latest attempt of a request.
struct AttemptState {
    bool in_flight = false;
    bool cancelled = false;
    bool spans_gateway_stall = false;  // this gateway stalled while the attempt was in flight
    Stage stage = Stage::prefill;
    EndpointId endpoint = 0;
    Millis sent_at = 0;            // shifted by the stalls of this gateway since
    Millis stream_started_at = 0;  // start of the stream; shifted likewise
    Millis original_sent_at = 0;   // as sent
    // Work at the time of sending: thousands of tokens to prefill, or attempts queued; for a stream its
    // predicted length in hundreds of tokens.
    double work_units = 1;
};

// An attempt that may have run at an endpoint, although it ended without success.
struct PossibleRun {
    EndpointId endpoint = 0;
    Millis sent_at = 0;
};

// A request without a final answer, or with an attempt in flight. Owned by InFlightRequests.
struct RequestState {
    Arrival arrival;
    std::uint64_t serial = 0;  // from 1, in the order of arrival; also its deadline's timer
    Millis arrived_at = 0;
    int attempt_count = 0;
    bool closed = false;    // no answer is due: its stream has begun, or it has a final answer
    bool answered = false;  // it has a final answer
    AttemptState attempt;
    bool has_kv_lease = false;  // the prefill endpoint holds its KV cache
    EndpointId prefill_endpoint = 0;
    std::vector<EndpointId> failed_endpoints;
    std::optional<PossibleRun> possible_run;  // the first one
};

}  // namespace gorsenotch::router
