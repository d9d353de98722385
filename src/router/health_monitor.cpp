#include "router/health_monitor.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

HealthMonitor::HealthMonitor(const HealthServices& services)
    : services_(services), interval_(health_interval(services.settings)) {}

void HealthMonitor::start(Millis now) {
    last_tick_ = now;
    services_.fleet_stats.start(now);
    schedule_tick(now);
    if (services_.settings.discovery == Discovery::poll) poll_endpoints(now);
}

// A stall of this process must not count against endpoints. If a tick is overdue by more than its interval,
// no events were processed in that time, so it is excluded from the age of attempts. Covers a stopped
// process, a busy core and a long iteration of the event loop. Drawback: attempts at an endpoint that slows
// down during the stall look too young, once.
void HealthMonitor::detect_stall(Millis now) {
    const Millis stalled_for = now - next_tick_;
    if (stalled_for <= interval_) return;
    next_tick_ = now;
    last_tick_ = std::min(now, last_tick_ + stalled_for);
    services_.fleet_stats.on_stall(now, stalled_for);
    services_.in_flight_requests.on_stall(now, stalled_for);
}

// A sequential test compares each endpoint with its peers: the age of attempts in flight is evidence of
// slowness, each completion is evidence against it. Covers unresponsive endpoints, slow machines and stalled
// streams. Drawback: several long answers at one endpoint can eject it temporarily without cause.
void HealthMonitor::on_health_tick(Millis now) {
    schedule_tick(now);
    const Settings& settings = services_.settings;
    if (settings.discovery == Discovery::poll && now - last_poll_ > settings.poll_interval / 2)
        poll_endpoints(now);
    const Millis elapsed = now - last_tick_;
    last_tick_ = now;
    const auto delayed_stages = record_pending_attempts(now, elapsed);
    if (services_.fleet_stats.refresh_if_due(now, services_.registry)) services_.registry.erase_removed(now);
    services_.prefix_affinity.decay(elapsed);
    services_.completion_times.decay(elapsed);
    services_.abandoned_prefills.expire(now);
    for (const EndpointState* endpoint : services_.outlier_detector.eject_slow(now, delayed_stages))
        services_.dispatcher.migrate_off(now, *endpoint);
}

OutlierDetector::StagesByEndpoint HealthMonitor::record_pending_attempts(Millis now, Millis elapsed) {
    OutlierDetector::StagesByEndpoint delayed_stages;
    for (const auto& [id, request] : services_.in_flight_requests.by_id()) {
        const AttemptState& attempt = request.attempt;
        if (!attempt.in_flight || attempt.cancelled) continue;
        EndpointState* endpoint = services_.registry.find(attempt.endpoint);
        if (!endpoint) continue;
        if (services_.outlier_detector.record_pending(now, *endpoint, request, elapsed))
            delayed_stages[attempt.endpoint][attempt.stage] = true;
    }
    return delayed_stages;
}

void HealthMonitor::on_poll_failed(Millis now) {
    last_poll_ = now - services_.settings.poll_interval / 2 + kPollRetryDelayMs;
}

void HealthMonitor::schedule_tick(Millis now) {
    next_tick_ = now + interval_;
    services_.actions.emit(SetTimer{kHealthTickTimerId, next_tick_});
}

void HealthMonitor::poll_endpoints(Millis now) {
    last_poll_ = now;
    services_.actions.emit(WatchEndpoints{});
}

}  // namespace gorsenotch::router
