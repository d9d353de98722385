#include "router/endpoint_registry.h"

#include <algorithm>

namespace gorsenotch::router {

void EndpointRegistry::apply(Millis now, const EndpointUpdate& update) {
    if (update.kind != EndpointUpdate::Kind::incremental) mark_all_removed();
    for (const Endpoint& listed : update.endpoints) {
        if (listed.kind < 0 || listed.kind >= static_cast<int>(settings_.kinds.size())) continue;
        const auto [inserted, added] = endpoints_.try_emplace(listed.id);
        EndpointState& endpoint = inserted->second;
        remove_from_rings(endpoint);
        if (added || listed.started_at > endpoint.info.started_at) reset_after_restart(now, endpoint, listed);
        endpoint.info = listed;
        endpoint.last_listed_at = now;
        endpoint.role = settings_.kinds[static_cast<std::size_t>(listed.kind)].role;
        if (listed.status == EndpointStatus::healthy) add_to_rings(endpoint);
    }
}

void EndpointRegistry::mark_all_removed() {
    for (auto& [id, endpoint] : endpoints_) endpoint.info.status = EndpointStatus::removed;
    for (const Role role : kRoles) healthy_by_role_[role].clear();
    decode_capable_.clear();
    decode_capable_by_cell_.clear();
}

// A restarted process must not be judged by the health of its predecessor, and its empty memory must not be
// mistaken for spare capacity: its load is unknown and its slow start begins.
void EndpointRegistry::reset_after_restart(Millis now, EndpointState& endpoint,
                                           const Endpoint& listed) const {
    endpoint.health.ejected = false;
    endpoint.health.was_unreachable = false;
    endpoint.health.error_rate = 0;
    endpoint.health.slowness_evidence = {};
    endpoint.health.last_class_failure.assign(settings_.classes.size(), -kNever);
    endpoint.load.tokens_used_by_others = 0;
    endpoint.load.last_report_at = -kNever;
    endpoint.load.memory_utilization = -1;
    // A start time in the future, from a wrong clock, counts as now. Otherwise the endpoint would get no
    // requests until then.
    if (listed.started_at > 0)
        endpoint.warming_since = std::max(endpoint.warming_since, std::min(now, listed.started_at));
}

void EndpointRegistry::add_to_rings(EndpointState& endpoint) {
    healthy_by_role_[endpoint.role].insert(endpoint.info.id, &endpoint);
    if (!endpoint.can_decode()) return;
    decode_capable_.insert(endpoint.info.id, &endpoint);
    decode_capable_by_cell_[endpoint.info.cell].push_back(&endpoint);
}

void EndpointRegistry::remove_from_rings(EndpointState& endpoint) {
    healthy_by_role_[endpoint.role].erase(endpoint.info.id);
    decode_capable_.erase(endpoint.info.id);
    const auto cell = decode_capable_by_cell_.find(endpoint.info.cell);
    if (cell != decode_capable_by_cell_.end()) std::erase(cell->second, &endpoint);
}

bool EndpointRegistry::apply_load_report(Millis now, EndpointState& endpoint,
                                         const LoadReport& report) const {
    if (report.memory_utilization < 0) return false;
    EndpointLoad& load = endpoint.load;
    load.memory_utilization = report.memory_utilization;
    load.last_report_at = now;
    load.tokens_used_by_others =
        std::max(0.0, report.memory_utilization * memory_capacity(endpoint) - load.reserved_tokens);
    return true;
}

void EndpointRegistry::erase_removed(Millis now) {
    std::erase_if(endpoints_, [now](const auto& entry) {
        const EndpointState& endpoint = entry.second;
        return endpoint.info.status == EndpointStatus::removed &&
               now - endpoint.last_listed_at > kRemovedEndpointRetentionMs &&
               endpoint.load.in_flight_total() == 0;
    });
}

const std::vector<EndpointState*>& EndpointRegistry::decode_capable_in(std::uint64_t cell) const {
    static const std::vector<EndpointState*> none;
    const auto found = decode_capable_by_cell_.find(cell);
    return found == decode_capable_by_cell_.end() ? none : found->second;
}

double EndpointRegistry::memory_capacity(const EndpointState& endpoint) const {
    const double kind_capacity = settings_.kinds[static_cast<std::size_t>(endpoint.info.kind)].memory_tokens;
    return std::max(1.0, kind_capacity) * (endpoint.info.weight > 0 ? endpoint.info.weight : 1);
}

const std::vector<EndpointState*>& EndpointRegistry::candidates(const EndpointRing& ring, std::uint64_t key,
                                                                SearchScope scope,
                                                                std::vector<EndpointState*>& window) {
    if (ring.size() <= kMaxFullScanEndpoints || scope == SearchScope::all) return ring.by_id();
    window.clear();
    ring.window(key, kCandidateWindowEndpoints, window);
    return window;
}

}  // namespace gorsenotch::router
