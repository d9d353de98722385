// Registry of the endpoints listed by service discovery, indexed for endpoint selection.
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

// The endpoints that a selection considers: a window, which is a segment of a large hash ring, or all
// endpoints.
enum class SearchScope { window, all };

// Owns the EndpointState of each endpoint and the hash rings of the healthy ones. Only this class adds,
// updates and removes endpoints; records.h documents which class modifies each part of an EndpointState.
// Pointers to an EndpointState are valid until erase_removed().
class EndpointRegistry {
public:
    // `settings` must outlive this object.
    explicit EndpointRegistry(const Settings& settings) : settings_(settings) {}

    // Applies an update that is not Kind::failed.
    void apply(Millis now, const EndpointUpdate& update);
    // Returns whether the report contains a memory utilization.
    bool apply_load_report(Millis now, EndpointState& endpoint, const LoadReport& report) const;
    // Erases removed endpoints that were last listed more than kRemovedEndpointRetentionMs ago and have no
    // attempt in flight. Otherwise memory use would grow with every endpoint ever listed.
    void erase_removed(Millis now);

    // Returns nullptr for an unknown endpoint.
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
    // Healthy endpoints of these roles in the cell.
    const std::vector<EndpointState*>& decode_capable_in(std::uint64_t cell) const;
    // KV cache size of the endpoint, in tokens.
    double memory_capacity(const EndpointState& endpoint) const;

    // Returns the endpoints of a ring that a selection considers; uses `window` as storage if not all. A
    // window starts at the ring position of `key`, so that gateways with the same list use the same window.
    // This keeps the cost of a request independent of the fleet size. Drawback: few endpoints of a window may
    // be eligible, see choose_with_fallback().
    static const std::vector<EndpointState*>& candidates(const EndpointRing& ring, std::uint64_t key,
                                                         SearchScope scope,
                                                         std::vector<EndpointState*>& window);

    // Selects an endpoint in `scope`. If a large fleet yields none, repeats the selection over all endpoints.
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
