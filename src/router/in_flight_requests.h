// The requests that a Router works on, and the load that they put on endpoints.
#pragma once

#include <cstdint>
#include <map>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the RequestState of each request. It alone changes the own load in EndpointState::load (except for
// abandoned prefills), together with the stage and the lease of the request that causes it.
class InFlightRequests {
public:
    using ById = std::map<RequestId, RequestState>;

    // All references must outlive this object.
    InFlightRequests(const Settings& settings, EndpointRegistry& registry)
        : settings_(settings), registry_(registry) {}

    // Only for a request that is not known.
    RequestState& add(Millis now, const Arrival& arrival);
    // Releases the lease's share of the endpoint's load and destroys the request.
    void erase(RequestState& request);
    // nullptr if unknown.
    RequestState* find(const RequestId& id);
    RequestState* find_by_serial(std::uint64_t serial);
    ById& by_id() { return by_id_; }

    // An attempt is sent to the endpoint.
    void begin_attempt(Millis now, RequestState& request, EndpointState& endpoint, Stage stage) const;
    void begin_stream(Millis now, RequestState& request, EndpointState& endpoint) const;
    void end_attempt(RequestState& request) const;
    // Records whether the prefill endpoint holds the request's KV cache.
    void set_kv_lease(RequestState& request, bool has_lease) const;

    // Own streams at the endpoint that have produced few tokens, at the wanted pace.
    int count_young_streams(Millis now, const EndpointState& endpoint) const;
    // Attempts at known endpoints that are not streaming yet.
    double count_not_streaming() const;
    // Takes a stall of this gateway out of the age of all attempts in flight.
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
