// The endpoints that service discovery lists, indexed for choices.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "router/records.h"
#include "stats/hash_ring.h"

namespace gorsenotch::router {

using EndpointRing = stats::HashRing<EndpointState>;

// The endpoints that a choice considers: a window of a large fleet, or all.
enum class SearchScope { window, all };

// Owns the EndpointState of each endpoint and the hash rings of the healthy ones. It alone adds, updates and
// removes endpoints; records.h names who changes the parts of an EndpointState. Pointers to an EndpointState
// are valid until erase_removed().
class EndpointRegistry {
public:
    // `settings` must outlive this object.
    explicit EndpointRegistry(const Settings& settings) : settings_(settings) {}

    // Applies an update that is not Kind::failed.
    void apply(Millis now, const EndpointUpdate& update);
    // Returns whether the report has a value.
    bool apply_load_report(Millis now, EndpointState& endpoint, const LoadReport& report) const;
    // Forgets endpoints that were removed long ago and have no attempt in flight. Guards against memory that
    // grows with each endpoint ever listed.
    void erase_removed(Millis now);

    // nullptr if unknown.
    EndpointState* find(EndpointId id) {
        const auto found = endpoints_.find(id);
        return found == endpoints_.end() ? nullptr : &found->second;
    }
    const EndpointState* find(EndpointId id) const {
        const auto found = endpoints_.find(id);
        return found == endpoints_.end() ? nullptr : &found->second;
    }
    const std::map<EndpointId, EndpointState>& endpoints() const { return endpoints_; }
    // Healthy endpoints by role.
    const EndpointRing& with_role(Role role) const { return healthy_by_role_[role]; }
    // Healthy endpoints of the roles decode and mixed.
    const EndpointRing& decode_capable() const { return decode_capable_; }
    const std::vector<EndpointState*>& decode_capable_in(std::uint64_t cell) const;
    // Tokens of KV cache in the endpoint.
    double memory_capacity(const EndpointState& endpoint) const;

    // The endpoints of a ring that a choice considers, in `window` if not all. A window starts at the ring
    // position of `key`, so that gateways with the same list get the same one. Guards against a cost of each
    // request that grows with the fleet. May do harm where few endpoints of a window are eligible, hence
    // choose_with_fallback().
    static const std::vector<EndpointState*>& candidates(const EndpointRing& ring, std::uint64_t key,
                                                         SearchScope scope,
                                                         std::vector<EndpointState*>& window);

    // Makes a choice in `scope` and, where that finds nothing in a large fleet, among all endpoints.
    // `choose` takes a SearchScope and returns an EndpointState* or nullptr.
    template <class Choose>
    EndpointState* choose_with_fallback(SearchScope scope, Choose choose) const {
        EndpointState* chosen = choose(scope);
        if (chosen || scope == SearchScope::all || endpoints_.size() <= kMaxFullScanEndpoints) return chosen;
        return choose(SearchScope::all);
    }

private:
    void mark_all_removed();
    void reset_after_restart(Millis now, EndpointState& endpoint, const Endpoint& listed) const;
    void add_to_rings(EndpointState& endpoint);
    void remove_from_rings(EndpointState& endpoint);

    const Settings& settings_;
    std::map<EndpointId, EndpointState> endpoints_;
    PerRole<EndpointRing> healthy_by_role_;
    EndpointRing decode_capable_;
    std::map<std::uint64_t, std::vector<EndpointState*>> decode_capable_by_cell_;
};

}  // namespace gorsenotch::router
