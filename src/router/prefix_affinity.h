// Prefix affinity: sends prompts with the same prefix, or of the same session, to the same prefill endpoints,
// at which the prefix is then cached.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gorsenotch/settings.h"
#include "router/fleet_stats.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the decaying arrival counts by shared prefix.
class PrefixAffinity {
public:
    // `fleet_stats` must outlive this object. `seed` is the Router's.
    PrefixAffinity(const FleetStats& fleet_stats, std::uint64_t seed)
        : fleet_stats_(fleet_stats), seed_(seed) {}

    // Counts the arrival under its shared prefix.
    void record_arrival(const RequestState& request);
    void decay(Millis elapsed);

    // The id of the shared prefix or session that determines the endpoint; 0 for neither.
    std::uint64_t affinity_key(const RequestState& request) const;
    // Keys of the ring positions at which the windows of candidate endpoints start.
    std::uint64_t prefill_window_key(const RequestState& request) const;
    std::uint64_t decode_window_key(const RequestState& request) const { return seed_ + request.serial; }
    // Selects one of `candidates`, which must not be empty, by weighted rendezvous hashing of `key`, which
    // must not be 0. `usable` is the number of eligible endpoints in the fleet.
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
