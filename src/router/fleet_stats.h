// Aggregate statistics of the endpoints, by role and by cell.
#pragma once

#include <cstdint>
#include <map>

#include "gorsenotch/settings.h"
#include "router/endpoint_registry.h"
#include "router/records.h"

namespace gorsenotch::router {

// Owns the statistics of cells and roles, the typical prompt lengths, and the information whether endpoints
// report their load. Refreshed by HealthMonitor on health ticks and by the Router when the endpoint list
// changes.
class FleetStats {
public:
    // `settings` must outlive this object.
    explicit FleetStats(const Settings& settings);

    // Highest recent mean rate, per ms, at which this gateway sent attempts to a warm endpoint of the role;
    // decays.
    double baseline_rate(Role role) const { return baseline_rate_[role]; }
    // Fraction of the role's healthy endpoints that are not ejected.
    double available_fraction(Role role) const { return available_fraction_[role]; }
    // Returns a default Cell for a cell without statistics.
    const Cell& cell(std::uint64_t id) const;
    const std::map<std::uint64_t, Cell>& cells() const { return cells_; }
    // Weight of an endpoint in the selection of a prefill endpoint. Higher in cells with more decode
    // endpoints, as KV-cache transfers to other cells load the links between them.
    double prefill_weight(const EndpointState& endpoint) const {
        return low_sample_rate() ? cell(endpoint.info.cell).weight : 1;
    }
    // Moving averages over the recent arrivals.
    double typical_prompt_tokens() const { return typical_prompt_tokens_; }
    double typical_uncached_kilotokens() const { return typical_uncached_kilotokens_; }

    // Whether this gateway sends to each endpoint too rarely for its own queues to reflect the load.
    // Decisions are then based on the endpoint list and on observed durations.
    bool low_sample_rate() const {
        return settings_.gateways > kMaxGatewaysAtHighSampleRate &&
               baseline_rate_[settings_.kinds[0].role] * kCompletionTimeConstantMs < 1;
    }
    // Whether the sample rate is low and no endpoint reports its load.
    bool no_load_signal() const { return low_sample_rate() && !has_load_reports_; }

    // Sets the start of the interval that the first refresh covers.
    void start(Millis now) { refreshed_at_ = now; }
    void record_arrival(const RequestState& request);
    void record_load_report() { has_load_reports_ = true; }
    // Records the duration of a stage in the cell of the prefill endpoint: of prefills in that cell, and of
    // KV-cache transfers from it to another cell.
    void record_stage_end(Millis now, const EndpointRegistry& registry, const RequestState& request,
                          bool succeeded);
    // Refreshes the statistics if a refresh is due: on each tick, or less often in a large fleet. Returns
    // whether it did.
    bool refresh_if_due(Millis now, const EndpointRegistry& registry);
    // Refreshes after a change of the endpoint list if a refresh is due. Does not reschedule the regular
    // refresh.
    void on_list_changed(Millis now, const EndpointRegistry& registry);
    // Excludes a stall of this gateway from the time since the last refresh.
    void on_stall(Millis now, Millis stalled_for);

private:
    // Number of prefills and the fractions of their latency objectives that they took, in one zone or in all.
    struct PrefillCost {
        double objective_fraction_sum = 0;
        double prefills = 0;
    };
    // Prefill costs by zone index.
    struct CostsByZone {
        PrefillCost total;
        std::map<int, PrefillCost> zones;
    };
    // Numbers of healthy endpoints by role.
    struct RoleCounts {
        PerRole<double> listed;
        PerRole<double> available;  // not ejected
        PerRole<double> warm;
        PerRole<double> send_rate;  // sum over the warm ones
    };

    void refresh(Millis now, const EndpointRegistry& registry, Millis elapsed);
    CostsByZone decay_cells(Millis elapsed);
    RoleCounts count_endpoints(Millis now, const EndpointRegistry& registry);
    void update_rates(const RoleCounts& counts, Millis elapsed);
    void update_cell_weights(const RoleCounts& counts, CostsByZone& costs);

    const Settings& settings_;
    const Millis health_interval_;
    Millis refreshed_at_ = 0;
    Millis refresh_due_at_ = 0;
    std::map<std::uint64_t, Cell> cells_;
    PerRole<double> baseline_rate_;
    PerRole<double> available_fraction_;
    bool has_load_reports_ = false;
    double typical_prompt_tokens_ = 0;
    double typical_uncached_kilotokens_ = 0;
};

}  // namespace gorsenotch::router
