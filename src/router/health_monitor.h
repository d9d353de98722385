// The periodic work of a Router: evidence of slow endpoints, refresh and decay of statistics, polls of the
// endpoint list, and detection of stalls of its own process.
#pragma once

#include "gorsenotch/settings.h"
#include "router/abandoned_prefills.h"
#include "router/action_list.h"
#include "router/completion_times.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/in_flight_requests.h"
#include "router/outlier_detector.h"
#include "router/prefix_affinity.h"
#include "router/request_dispatcher.h"

namespace gorsenotch::router {

// The components that a HealthMonitor drives. All must outlive it.
struct HealthServices {
    const Settings& settings;
    EndpointRegistry& registry;
    FleetStats& fleet_stats;
    CompletionTimes& completion_times;
    OutlierDetector& outlier_detector;
    PrefixAffinity& prefix_affinity;
    InFlightRequests& in_flight_requests;
    AbandonedPrefills& abandoned_prefills;
    RequestDispatcher& dispatcher;
    ActionList& actions;
};

// Owns the times of the health ticks and of the latest poll.
class HealthMonitor {
public:
    explicit HealthMonitor(const HealthServices& services);

    // Before the first event: sets the first tick, and requests the endpoint list if it is polled.
    void start(Millis now);
    // Before each event: notices that this process stalled, as its tick is overdue.
    void detect_stall(Millis now);
    void on_health_tick(Millis now);
    // Polls again soon, after a poll has failed.
    void on_poll_failed(Millis now);

private:
    void schedule_tick(Millis now);
    void poll_endpoints(Millis now);
    OutlierDetector::StagesByEndpoint record_pending_attempts(Millis now, Millis elapsed);

    HealthServices services_;
    const Millis interval_;
    Millis last_tick_ = 0;
    Millis next_tick_ = 0;
    Millis last_poll_ = 0;
};

}  // namespace gorsenotch::router
