// Which prefill endpoints a prompt prefix is cached at: prompts with the same prefix, or of the same session,
// go to the same endpoints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gorsenotch/settings.h"
#include "router/fleet_stats.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the decaying counts of arrivals by shared prefix.
class PrefixAffinity {
public:
    // `fleet_stats` must outlive this object. `seed` is the Router's.
    PrefixAffinity(const FleetStats& fleet_stats, std::uint64_t seed)
        : fleet_stats_(fleet_stats), seed_(seed) {}

    void record_arrival(const RequestState& request);
    void decay(Millis elapsed);

    // The shared prefix or the session that the request's prefills are cached by; 0 for neither.
    std::uint64_t affinity_key(const RequestState& request) const;
    // Where the window of endpoints that a choice considers starts on the hash ring.
    std::uint64_t prefill_window_key(const RequestState& request) const;
    std::uint64_t decode_window_key(const RequestState& request) const { return seed_ + request.serial; }
    // Chooses among `candidates`, of which there is at least one, by weighted rendezvous hashing of a key
    // other than 0. `usable` is the number of endpoints that are eligible in the fleet.
    EndpointState* choose(const RequestState& request, std::uint64_t key,
                          const std::vector<EndpointState*>& candidates, std::size_t usable) const;

private:
    bool has_session_affinity(const RequestState& request) const;
    std::size_t affinity_replicas(std::uint64_t prefix, std::size_t endpoints) const;

    const FleetStats& fleet_stats_;
    const std::uint64_t seed_;
    std::map<std::uint64_t, double> arrivals_by_prefix_;
    double arrivals_ = 0;
};

}  // namespace gorsenotch::router
