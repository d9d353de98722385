// Periodic work of a Router: detection of slow endpoints, refresh and decay of statistics, polling of the
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

// The components that a HealthMonitor uses. All must outlive it.
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

// Owns the schedule of the health ticks and of the polls.
class HealthMonitor {
public:
    explicit HealthMonitor(const HealthServices& services);

    // Called before the first event. Schedules the first tick, and polls the endpoint list if it is not
    // pushed.
    void start(Millis now);
    // Called before each event. Detects a stall of this process by an overdue tick.
    void detect_stall(Millis now);
    void on_health_tick(Millis now);
    // Schedules the next poll soon after a failed one.
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
