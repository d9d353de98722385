// Creates the components of a Router and dispatches events to them. The public interface is in
// include/gorsenotch/: router.h, settings.h, events.h and actions.h.
#include "gorsenotch/router.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "router/abandoned_prefills.h"
#include "router/action_list.h"
#include "router/attempt_timeout.h"
#include "router/completion_times.h"
#include "router/decode_selector.h"
#include "router/eligibility.h"
#include "router/endpoint_registry.h"
#include "router/fleet_stats.h"
#include "router/health_monitor.h"
#include "router/in_flight_requests.h"
#include "router/load_shedder.h"
#include "router/outlier_detector.h"
#include "router/prefill_selector.h"
#include "router/prefix_affinity.h"
#include "router/request_dispatcher.h"
#include "router/retry_budget.h"
#include "router/settings_validation.h"
#include "router/slow_start.h"
#include "router/wait_estimator.h"
#include "stats/uniform_random.h"

namespace gorsenotch {

using namespace router;

// Owns all components and the time of the event being handled. The components hold references to each other,
// so an Impl can be neither copied nor moved.
class Router::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed) : settings_(validated(settings)), seed_(seed) {}
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void handle(Millis now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        actions_.begin_event(actions);
        if (!std::exchange(started_, true)) health_monitor_.start(now_);
        health_monitor_.detect_stall(now_);
        std::visit([this](const auto& alternative) { on(alternative); }, event);
    }

private:
    static const Settings& validated(const Settings& settings) {
        validate_settings(settings);
        return settings;
    }

    void on(const Arrival& arrival);
    void on(const AttemptEnded& ended);
    void on(const FirstToken& first_token);
    void on(const ReservationReply&) {}  // the Router never reserves slots
    void on(const ClientDisconnected& disconnected);
    void on(const EndpointUpdate& update);
    void on(const HealthCheckResult& result);
    void on(const TimerFired& timer);
    void on(const LeaseReleased& released);
    void on(const Shutdown& shutdown);

    RequestState* find_in_flight(const RequestId& id, int attempt);
    void record_attempt_end(EndpointState& endpoint, const RequestState& request, const AttemptEnded& ended);
    void record_possible_run(RequestState& request, const EndpointState* endpoint, const AttemptEnded& ended);
    void record_stage_end(const RequestState& request, bool succeeded);
    void apply_load_report(EndpointState& endpoint, const LoadReport& report);

    const Settings settings_;
    const std::uint64_t seed_;
    Millis now_ = 0;
    bool started_ = false;
    ActionList actions_;
    stats::UniformRandom random_{seed_};
    EndpointRegistry registry_{settings_};
    FleetStats fleet_stats_{settings_};
    CompletionTimes completion_times_{settings_};
    RetryBudget retry_budget_{settings_.gateways};
    SlowStart slow_start_{settings_, seed_};
    OutlierDetector outlier_detector_{settings_, registry_, fleet_stats_, completion_times_};
    Eligibility eligibility_{settings_, registry_, fleet_stats_, slow_start_, outlier_detector_};
    PrefixAffinity prefix_affinity_{fleet_stats_, seed_};
    InFlightRequests in_flight_requests_{settings_, registry_};
    AbandonedPrefills abandoned_prefills_{registry_};
    AttemptTimeout attempt_timeout_{settings_, fleet_stats_, completion_times_};
    WaitEstimator wait_estimator_{registry_,    fleet_stats_,     completion_times_,
                                  eligibility_, prefix_affinity_, in_flight_requests_};
    LoadShedder load_shedder_{settings_, fleet_stats_, completion_times_, wait_estimator_,
                              in_flight_requests_};
    DecodeSelector decode_selector_{registry_,        fleet_stats_,        eligibility_,
                                    prefix_affinity_, in_flight_requests_, random_};
    PrefillSelector prefill_selector_{settings_,        registry_,        fleet_stats_, eligibility_,
                                      prefix_affinity_, decode_selector_, random_};
    RequestDispatcher dispatcher_{DispatchServices{
        settings_, completion_times_, eligibility_, slow_start_, attempt_timeout_, prefill_selector_,
        decode_selector_, wait_estimator_, in_flight_requests_, retry_budget_, actions_}};
    HealthMonitor health_monitor_{HealthServices{settings_, registry_, fleet_stats_, completion_times_,
                                                 outlier_detector_, prefix_affinity_, in_flight_requests_,
                                                 abandoned_prefills_, dispatcher_, actions_}};
};

void Router::Impl::on(const Arrival& arrival) {
    if (arrival.cls < 0 || arrival.cls >= static_cast<int>(settings_.classes.size())) return;
    if (in_flight_requests_.find(arrival.request)) return;
    RequestState& request = in_flight_requests_.add(now_, arrival);
    retry_budget_.on_arrival(now_);
    prefix_affinity_.record_arrival(request);
    fleet_stats_.record_arrival(request);
    if (arrival.deadline <= now_) return dispatcher_.finish_with(now_, request, EndCause::deadline);
    if (!outlier_detector_.any_decode_reachable(now_))
        return dispatcher_.finish_with(now_, request, EndCause::no_decode_endpoint);
    if (load_shedder_.should_shed(now_, request))
        return dispatcher_.finish_with(now_, request, EndCause::shed_load);
    actions_.emit(SetTimer{request.serial, std::max(now_, arrival.deadline - settings_.event_interval)});
    dispatcher_.dispatch_next_stage(now_, request);
}

void Router::Impl::on(const AttemptEnded& ended) {
    EndpointState* endpoint = registry_.find(ended.endpoint);
    if (endpoint) apply_load_report(*endpoint, ended.report);
    RequestState* found = find_in_flight(ended.request, ended.attempt);
    if (!found) return;
    RequestState& request = *found;
    const bool prefill_done = ended.result == AttemptResult::prefill_done;
    const bool no_kv_cache = ended.result == AttemptResult::rejected && ended.detail == 1;
    if (request.attempt.stage != Stage::streaming) record_stage_end(request, prefill_done);
    if (endpoint) record_attempt_end(*endpoint, request, ended);
    // The client disconnected as its stream began, but the host reports the request as still open: it needs a
    // final answer.
    if (!ended.request_closed && request.attempt.stage == Stage::streaming && request.closed &&
        !request.answered)
        request.closed = false;
    in_flight_requests_.end_attempt(request);
    record_possible_run(request, endpoint, ended);
    if (no_kv_cache) in_flight_requests_.set_kv_lease(request, false);
    if (prefill_done) {
        request.prefill_endpoint = ended.endpoint;
        in_flight_requests_.set_kv_lease(request, true);
    }
    if (ended.request_closed) request.closed = true;
    if (request.closed) return dispatcher_.release_and_erase(request);
    if (!prefill_done && !no_kv_cache) request.failed_endpoints.push_back(ended.endpoint);
    // Prevents leaked KV leases: a prefill whose result was lost, or whose endpoint is partitioned from this
    // gateway, may have left a KV cache that this gateway does not know of.
    if (!request.has_kv_lease) actions_.emit(ReleaseLease{request.arrival.request});
    dispatcher_.dispatch_next_stage(now_, request);
}

void Router::Impl::on(const FirstToken& first_token) {
    RequestState* request = find_in_flight(first_token.request, first_token.attempt);
    if (!request) return;
    if (EndpointState* endpoint = registry_.find(request->attempt.endpoint)) {
        record_stage_end(*request, true);
        outlier_detector_.record_first_token(*endpoint, *request);
        in_flight_requests_.begin_stream(now_, *request, *endpoint);
    }
    in_flight_requests_.set_kv_lease(*request, false);
    retry_budget_.on_first_token(now_);
    request->closed = true;
}

void Router::Impl::on(const ClientDisconnected& disconnected) {
    RequestState* request = in_flight_requests_.find(disconnected.request);
    if (!request) return;
    request->closed = true;
    dispatcher_.cancel_or_erase(*request);
}

void Router::Impl::on(const EndpointUpdate& update) {
    if (update.kind == EndpointUpdate::Kind::failed) return health_monitor_.on_poll_failed(now_);
    registry_.apply(now_, update);
    fleet_stats_.on_list_changed(now_, registry_);
}

void Router::Impl::on(const HealthCheckResult& result) {
    if (EndpointState* endpoint = registry_.find(result.endpoint))
        apply_load_report(*endpoint, result.report);
}

void Router::Impl::on(const TimerFired& timer) {
    if (timer.timer == kHealthTickTimerId) return health_monitor_.on_health_tick(now_);
    RequestState* request = in_flight_requests_.find_by_serial(timer.timer);
    if (!request || request->closed) return;
    if (request->attempt.in_flight && request->attempt.stage == Stage::streaming) return;
    dispatcher_.finish_with(now_, *request, EndCause::deadline);
}

void Router::Impl::on(const LeaseReleased& released) {
    if (RequestState* request = in_flight_requests_.find(released.request))
        in_flight_requests_.set_kv_lease(*request, false);
}

// Answered here because only the Router, not its host, knows which requests may have run and must fail
// instead of being rejected.
void Router::Impl::on(const Shutdown&) {
    std::vector<RequestId> unanswered;
    for (const auto& [id, request] : in_flight_requests_.by_id()) {
        if (!request.closed) unanswered.push_back(id);
    }
    for (const RequestId& id : unanswered)
        dispatcher_.finish_with(now_, *in_flight_requests_.find(id), EndCause::shutdown);
}

// Returns the request if the attempt is its latest one and in flight, else nullptr.
RequestState* Router::Impl::find_in_flight(const RequestId& id, int attempt) {
    RequestState* request = in_flight_requests_.find(id);
    if (!request || !request->attempt.in_flight || attempt != request->attempt_count - 1) return nullptr;
    return request;
}

void Router::Impl::record_attempt_end(EndpointState& endpoint, const RequestState& request,
                                      const AttemptEnded& ended) {
    outlier_detector_.record_outcome(now_, endpoint, request, ended);
    if (ended.result == AttemptResult::timed_out || ended.result == AttemptResult::cancelled)
        abandoned_prefills_.add(now_, endpoint, request);
}

void Router::Impl::record_possible_run(RequestState& request, const EndpointState* endpoint,
                                       const AttemptEnded& ended) {
    if (request.possible_run || never_ran(ended.result) || ended.result == AttemptResult::prefill_done)
        return;
    const bool only_prefills = endpoint && endpoint->role == Role::prefill;
    if (!only_prefills) request.possible_run = {ended.endpoint, request.attempt.original_sent_at};
}

void Router::Impl::record_stage_end(const RequestState& request, bool succeeded) {
    fleet_stats_.record_stage_end(now_, registry_, request, succeeded);
    completion_times_.record_stage_end(now_, request, succeeded);
}

void Router::Impl::apply_load_report(EndpointState& endpoint, const LoadReport& report) {
    if (registry_.apply_load_report(now_, endpoint, report)) fleet_stats_.record_load_report();
}

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace gorsenotch
