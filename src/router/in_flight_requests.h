// The requests in progress and the load that they cause at endpoints.
#pragma once

#include <cstdint>
#include <map>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/records.h"

namespace gorsenotch::router {

// The number of streams, and the thousands of tokens of their prompts that were not expected to be cached.
struct StreamLoad {
    int streams = 0;
    double kilotokens = 0;
};

// Owns the RequestState of each request. Only this class modifies this gateway's own load in
// EndpointState::load, except for abandoned prefills, together with the stage and the KV lease of the request
// that causes it.
class InFlightRequests {
public:
    using ById = std::map<RequestId, RequestState>;

    // All references must outlive this object.
    InFlightRequests(const Settings& settings, EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    // Precondition: the request is not known.
    RequestState& add(Millis now, const Arrival& arrival);
    // Subtracts the KV lease from the endpoint's load and destroys the request.
    void erase(RequestState& request);
    // Both return nullptr for an unknown request.
    RequestState* find(const RequestId& id);
    RequestState* find_by_serial(std::uint64_t serial);
    ById& by_id() { return by_id_; }

    // Records that an attempt is sent to the endpoint.
    void begin_attempt(Millis now, RequestState& request, EndpointState& endpoint, Stage stage) const;
    // Records the first token of the request's attempt.
    void begin_stream(Millis now, RequestState& request, EndpointState& endpoint) const;
    void end_attempt(RequestState& request) const;
    // Records whether the request has a KV lease at its prefill endpoint.
    void set_kv_lease(RequestState& request, bool has_lease) const;

    // Number of own streams at the endpoint that have produced fewer than kYoungStreamTokens tokens, assuming
    // the inter-token objective.
    int count_young_streams(Millis now, const EndpointState& endpoint) const;
    // Number of attempts at known endpoints that are not streaming yet.
    double count_not_streaming() const;
    // The streams in progress, with their prompts.
    StreamLoad stream_load() const;
    // Excludes a stall of this gateway from the age of all attempts in flight.
    void on_stall(Millis now, Millis stalled_for);

private:
    static void remove_load(EndpointState& endpoint, const RequestState& request);

    const Settings& settings_;
    EndpointRegistry& registry_;
    ById by_id_;
    std::map<std::uint64_t, RequestId> id_by_serial_;
    std::uint64_t last_serial_ = 0;
};

}  // namespace gorsenotch::router
