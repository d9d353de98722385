// What the decision module remembers of servers, cells and requests. Records only: what they mean for a
// choice is decided in logic.cpp. Times are ms on the Router's clock, lengths are tokens.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "gorsenotch/logic.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

constexpr Millis kNever = 1e18;
constexpr double kRateSpan = 3000;  // ms over which rates are averaged

enum Stage { prefill = 0, decode_queued = 1, streaming = 2 };

struct EndpointState {
    Endpoint endpoint;
    Role role = Role::mixed;
    Millis last_listed = 0;          // by the latest list that had it
    Millis warming_since = -kNever;  // when it last started, as listed or as concluded from a return
    // own load
    std::array<int, 3> in_flight{};  // attempts out by stage
    double queued_kilotokens = 0;    // own reads out, in thousands of tokens not expected to be kept there
    double reserved_tokens = 0;      // tokens of own reads and waiting states, abandoned_prefills included
    std::deque<std::pair<Millis, double>>
        abandoned_prefills;  // given up on, but perhaps still worked at: until, tokens
    // reports
    double tokens_held_by_others = 0;  // tokens held for others by the latest report
    Millis last_report_at = -kNever;
    double memory_utilization = -1;
    // health
    double error_rate = 0;
    std::array<double, 3> slowness_evidence{};  // evidence of slowness by stage
    bool ejected = false, was_unreachable = false;
    bool connect_failed = false;  // a connection did not come up, and nothing has been answered since
    Millis ejected_until = 0, ejection_backoff = 0, ejected_at = 0;
    double concurrency_limit = 0;            // requests out at once while suspect
    std::vector<Millis> last_class_failure;  // by class: when the last attempt failed, if the last did
    Millis rejecting_until = -kNever, last_success = -kNever;
    stats::DecayingRate send_rate{kRateSpan};
    std::deque<Millis> recent_sends;  // sends within the fall window

    bool can_prefill() const { return role != Role::decode; }
    bool can_decode() const { return role != Role::prefill; }
    int in_flight_total() const {
        return in_flight[prefill] + in_flight[decode_queued] + in_flight[streaming];
    }
};

struct Cell {
    int zone = 0;
    double prefill_share = 0, decode_share = 0, weight = 1;  // shares of what is read and written; see pull
    double objective_spent = 0,
           prefills = 0;  // parts of the aims spent on reads there and on its link; both fade
};

struct RequestState {
    Arrival arrival;
    std::uint64_t serial = 0;
    Millis arrived_at = 0;
    int attempt_count = 0;
    bool closed = false;    // nothing more is owed: the stream has begun, or a final answer is out
    bool answered = false;  // a final answer is out
    // the attempt out
    bool in_flight = false, cancelled = false,
         stalled_meanwhile = false;  // excused: out while this gateway stood still
    Stage stage = prefill;
    EndpointId endpoint = 0;
    Millis sent_at = 0, stage_since = 0;  // less own standstills since; see watch
    Millis first_sent_at = 0;             // when it was sent in truth
    // Queue at the send: thousands of tokens to read, or sends waiting; for a stream its hinted length.
    double work_units = 1;
    // the read state
    bool lease_held = false;
    EndpointId prefill_endpoint = 0;
    std::vector<EndpointId> failed_endpoints;  // where an attempt of its failed
    // effects
    bool may_have_run = false;
    EndpointId ran_on = 0;
    Millis ran_sent_at = 0;
};

}  // namespace gorsenotch::router
