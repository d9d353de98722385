#include "platform/request_lifecycle.h"

#include <cstdlib>
#include <utility>
#include <variant>

#include "control/overloaded.h"

namespace gorsenotch::platform {
namespace {

constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;

}  // namespace

RequestLifecycle::RequestLifecycle(const settings::NamedSettings& named, std::uint64_t seed,
                                   EndpointList& endpoints, Environment& environment)
    : context_(named, seed, endpoints, environment),
      lease_keeper_(context_),
      completion_(context_, lease_keeper_),
      streams_(context_, lease_keeper_, completion_),
      attempts_(context_, lease_keeper_, completion_, streams_) {
    context_.invariant_checker.on_violation = [this](control::Invariant invariant, std::uint64_t handle,
                                                     const std::string& details) {
        on_violation(invariant, handle, details);
    };
    context_.driver.now = [this] { return context_.environment.now(); };
    context_.driver.execute = [this](const Action& action) { execute(action); };
    context_.driver.on_idle = [this] { completion_.remove_ended(); };
    context_.driver.on_timer = [this](const Driver::Timer& timer) { on_timer(timer); };
}

// Logs the violation. Sanitizer builds abort, except for late_answer, which a stall of this process may
// cause.
void RequestLifecycle::on_violation(control::Invariant invariant, std::uint64_t handle,
                                    const std::string& details) {
    const RequestState* request = context_.requests.find(handle);
    const std::string name = control::kInvariantNames[static_cast<std::size_t>(invariant)];
    const std::string txn = request ? request->inbound.txn : "?";
    context_.environment.log("error", "violation", name + " " + txn + " " + details);
#ifdef __SANITIZE_ADDRESS__
    if (invariant != control::Invariant::late_answer) std::abort();
#endif
}

// ---- events ---------------------------------------------------------------------------------------------

void RequestLifecycle::on_endpoint_update(EndpointUpdate update) {
    const Millis now = context_.environment.now();
    for (const Endpoint& entry : update.endpoints)
        context_.invariant_checker.on_endpoint_listed(entry.id, entry.status, now);
    if (update.kind == EndpointUpdate::Kind::full)
        context_.invariant_checker.on_full_list(update.endpoints, now);
    context_.health_checker.forget_unlisted();
    lease_keeper_.forget_unlisted();
    context_.driver.feed(std::move(update));
}

std::uint64_t RequestLifecycle::on_request(Inbound inbound, Millis age, Client* client) {
    context_.driver.handle_stalls();
    if (is_open(inbound.txn)) return 0;
    const Millis arrived = context_.environment.now() - age;
    RequestState& request = context_.requests.add(std::move(inbound));
    const std::uint64_t handle = request.handle;
    Arrival arrival = request.inbound.arrival;
    arrival.request = request.router_id();
    arrival.deadline = arrived + arrival.deadline;
    request.client = client;
    request.arrived = arrived;
    request.deadline = arrival.deadline;
    ++context_.counters.arrived;
    context_.invariant_checker.on_request_accepted(handle, arrival.cls, arrival.deadline);
    context_.driver.feed(std::move(arrival));
    return handle;
}

void RequestLifecycle::on_client_disconnected(std::uint64_t handle) {
    context_.driver.handle_stalls();
    RequestState* request = context_.requests.find(handle);
    if (!request || request->closed) return;
    completion_.record_client_disconnect(*request);
    context_.driver.feed(ClientDisconnected{std::to_string(handle)});
    request = context_.requests.find(handle);
    if (request) streams_.cancel_stream(*request);
}

Millis RequestLifecycle::tick() {
    context_.invariant_checker.check_leases(context_.environment.now(), context_.driver.stalled_for());
    return context_.driver.tick();
}

// ---- the Router's actions -------------------------------------------------------------------------------

void RequestLifecycle::execute(const Action& action) {
    std::visit(Overloaded{[this](const StartAttempt& start) { attempts_.start(start); },
                          [this](const StopAttempt& stop) { attempts_.stop(stop); },
                          [this](const ReserveSlot& reserve) { lease_keeper_.reserve_slot(reserve); },
                          [this](const ReleaseLease& release) { on_router_release(release); },
                          [this](const Reject& reject) { on_router_reject(reject); },
                          [this](const Fail& fail) { on_router_fail(fail); },
                          [this](const MigrateStream& migrate) { on_router_migrate(migrate); },
                          [this](const Log& log) { context_.environment.log("debug", "router", log.text); },
                          // The driver sets timers. On this platform the Router's health checks are not
                          // supported, and discovery is always being watched.
                          [](const SetTimer&) {}, [](const HealthCheck&) {}, [](const WatchEndpoints&) {},
                          [](const PollEndpoints&) {}},
               action);
}

// The release starts once the Router is idle, unless another attempt has started by then.
void RequestLifecycle::on_router_release(const ReleaseLease& release) {
    const RequestState* request = context_.requests.find(release.request);
    if (request) completion_.revisit_when_idle(request->handle);
}

void RequestLifecycle::on_router_reject(const Reject& reject) {
    RequestState* request = context_.requests.find(reject.request);
    if (!request) return;
    if (!request->closed) ++context_.counters.rejected;
    const Millis retry_after = context_.named.settings.retry_after ? reject.retry_after : 0;
    completion_.send_final(*request, {kStatusUnavailable, retry_after, "refused", reject.cause});
}

void RequestLifecycle::on_router_fail(const Fail& fail) {
    RequestState* request = context_.requests.find(fail.request);
    if (!request) return;
    if (!request->closed) ++context_.counters.failed;
    completion_.send_final(*request,
                           {kStatusBadGateway, 0, "request failed; an attempt may have run", fail.cause});
}

void RequestLifecycle::on_router_migrate(const MigrateStream& migrate) {
    RequestState* request = context_.requests.find(migrate.request);
    if (request && !request->closed) streams_.migrate(*request);
}

// ---- timers ---------------------------------------------------------------------------------------------

void RequestLifecycle::on_timer(const Driver::Timer& timer) {
    switch (timer.kind) {
        case TimerKind::router:
            return;  // handled by the driver
        case TimerKind::release:
            return lease_keeper_.retry_release(timer.label);
        case TimerKind::health_check:
            return context_.health_checker.on_timeout(static_cast<EndpointId>(timer.label));
        case TimerKind::reservation:
            return lease_keeper_.on_reservation_timeout(*timer.owner);
        case TimerKind::lease:
            return lease_keeper_.on_lease_timer(*timer.owner);
        case TimerKind::deferred_prefill:
            return lease_keeper_.on_deferred_prefill_timer(*timer.owner);
        case TimerKind::attempt_timeout:
        case TimerKind::stream_idle:
            return on_attempt_timer(timer);
    }
}

void RequestLifecycle::on_attempt_timer(const Driver::Timer& timer) {
    const AttemptState* attempt = timer.owner->find_attempt(timer.attempt);
    if (!attempt || !attempt->in_flight()) return;
    if (timer.kind == TimerKind::attempt_timeout)
        attempts_.on_timeout(*timer.owner, timer.attempt);
    else
        streams_.on_idle_timer(*timer.owner, timer.attempt);
}

}  // namespace gorsenotch::platform
