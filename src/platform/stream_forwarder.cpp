#include "platform/stream_forwarder.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace gorsenotch::platform {
namespace {

// Within which the client of a broken stream has to see its end, from the endpoint's last event on.
constexpr Millis kMaxWaitAfterLastEvent = 5000;
// For which this process may be held up, as the event arrives and as the timer fires.
constexpr Millis kMaxStall = 150;
constexpr Millis kStreamIdleTimeout = kMaxWaitAfterLastEvent - 2 * kMaxStall;

bool is_open_stream(const RequestState& request) { return !request.closed && request.stream_begun(); }
bool is_paused_stream(const RequestState& request) { return request.paused && request.stream_in_flight(); }

}  // namespace

StreamForwarder::StreamForwarder(LifecycleContext& context, LeaseManager& lease_keeper,
                                 RequestCompletion& completion)
    : context_(context), lease_keeper_(lease_keeper), completion_(completion) {}

void StreamForwarder::on_first_event(std::uint64_t handle, int attempt_index, std::string_view events) {
    context_.driver.handle_stalls();
    RequestState* request = context_.requests.find(handle);
    AttemptState* attempt = context_.requests.find_attempt(handle, attempt_index);
    if (!attempt || !attempt->in_flight()) return;
    const Millis now = context_.environment.now();
    attempt->phase = AttemptPhase::streaming;
    attempt->last_event_at = now;
    request->stream_begun_at = now;
    if (DiscoveredEndpoint* endpoint = context_.endpoints.find(attempt->endpoint))
        endpoint->last_success = now;
    context_.invariant_checker.on_lease_taken(handle);
    lease_keeper_.on_kv_cache_fetched(*request);
    request->body.reset();
    set_idle_timer(*request, attempt_index, now + kStreamIdleTimeout);
    if (request->client) {
        context_.invariant_checker.on_answered(handle, false, now);
        request->client->begin_stream(events);
    }
    attempt = context_.requests.find_attempt(handle, attempt_index);
    if (!attempt) return;
    context_.driver.feed(FirstToken{std::to_string(handle), attempt_index, attempt->endpoint,
                                    attempt->last_event_at - attempt->started_at});
    request = context_.requests.find(handle);
    if (!request || !request->closed) return;
    // The client disconnected before the first token.
    attempt = request->find_attempt(attempt_index);
    if (attempt->in_flight()) abort_attempt(context_.environment, *attempt, AttemptResult::cancelled);
}

void StreamForwarder::on_more_events(std::uint64_t handle, int attempt_index, std::string_view events) {
    RequestState* request = context_.requests.find(handle);
    AttemptState* attempt = context_.requests.find_attempt(handle, attempt_index);
    if (!attempt || !attempt->in_flight() || request->closed) return;
    attempt->last_event_at = context_.environment.now();
    if (const double tokens = completion_tokens(events); tokens > 0) request->completion_tokens = tokens;
    if (request->client) request->client->send_events(events);
    update_pause(*request);
}

void StreamForwarder::set_idle_timer(RequestState& request, int attempt_index, Millis at) {
    context_.driver.set_timer(TimerKind::stream_idle, at, &request, attempt_index, 0, true);
}

// Guards against a stream whose endpoint has stopped responding: nothing else would end it.
void StreamForwarder::on_idle_timer(RequestState& request, int attempt_index) {
    if (request.paused) return check_client_progress(request, attempt_index);
    const AttemptState& attempt = *request.find_attempt(attempt_index);
    if (attempt.last_event_at + kStreamIdleTimeout > context_.environment.now())
        return set_idle_timer(request, attempt_index, attempt.last_event_at + kStreamIdleTimeout);
    abort_attempt(context_.environment, attempt, AttemptResult::reset);
}

// Guards against a client that stops reading and stays: the endpoint, which is not read meanwhile, would hold
// the request's place for as long.
void StreamForwarder::check_client_progress(RequestState& request, int attempt_index) {
    const Millis now = context_.environment.now();
    request.client_progress.record(now, request.client ? request.client->acknowledged_bytes() : 0);
    const Millis stalls_at = request.client_progress.stalls_at();
    // No later than the idle timeout of a stream that is resumed right now.
    if (stalls_at > now)
        return set_idle_timer(request, attempt_index, std::min(stalls_at, now + kStreamIdleTimeout));
    ++context_.counters.stalled_clients;
    abort_attempt(context_.environment, *request.find_attempt(attempt_index), AttemptResult::cancelled);
}

void StreamForwarder::on_client_output_sent(std::uint64_t handle) {
    RequestState* request = context_.requests.find(handle);
    if (request) update_pause(*request);
}

// The only place that pauses or resumes a stream. Has to be called whenever the client's output or the state
// of the stream has changed.
void StreamForwarder::update_pause(RequestState& request) {
    if (!request.stream_in_flight()) return;
    const bool paused = request.client && request.client->is_congested();
    if (request.paused == paused) return;
    request.paused = paused;
    const Millis now = context_.environment.now();
    if (paused) request.client_progress.start(now, request.client->acknowledged_bytes());
    AttemptState& attempt = request.attempts.back();
    attempt.last_event_at = now;
    ++(paused ? context_.counters.stream_pauses : context_.counters.stream_resumes);
    context_.environment.pause(*attempt.exchange, paused);
}

void StreamForwarder::cancel_stream(const RequestState& request) {
    if (!request.stream_in_flight()) return;
    abort_attempt(context_.environment, request.attempts.back(), AttemptResult::cancelled);
}

void StreamForwarder::migrate(RequestState& request) {
    completion_.abort_migrated_stream(request);
    cancel_stream(request);
}

std::size_t StreamForwarder::open_streams() const { return count_requests(is_open_stream); }

std::size_t StreamForwarder::paused_streams() const { return count_requests(is_paused_stream); }

std::size_t StreamForwarder::count_requests(bool (*matches)(const RequestState&)) const {
    const auto& requests = context_.requests.all();
    return static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [matches](const auto& entry) { return matches(entry.second); }));
}

void StreamForwarder::migrate_latest(std::size_t count) {
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, request] : context_.requests.all()) {
        if (is_open_stream(request)) handles.push_back(handle);
    }
    std::sort(handles.begin(), handles.end(), std::greater<>());
    if (handles.size() > count) handles.resize(count);
    for (const std::uint64_t handle : handles) {
        RequestState* request = context_.requests.find(handle);
        if (request && !request->closed) migrate(*request);
    }
}

}  // namespace gorsenotch::platform
