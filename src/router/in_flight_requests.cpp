#include "router/in_flight_requests.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

RequestState& InFlightRequests::add(Millis now, const Arrival& arrival) {
    RequestState& request = by_id_[arrival.request];
    request.arrival = arrival;
    request.arrived_at = now;
    request.serial = ++last_serial_;
    id_by_serial_[request.serial] = arrival.request;
    return request;
}

void InFlightRequests::erase(RequestState& request) {
    set_kv_lease(request, false);
    id_by_serial_.erase(request.serial);
    by_id_.erase(RequestId(request.arrival.request));  // copied, as the key is destroyed with the request
}

RequestState* InFlightRequests::find(const RequestId& id) {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : &found->second;
}

RequestState* InFlightRequests::find_by_serial(std::uint64_t serial) {
    const auto found = id_by_serial_.find(serial);
    return found == id_by_serial_.end() ? nullptr : &by_id_.at(found->second);
}

void InFlightRequests::begin_attempt(Millis now, RequestState& request, EndpointState& endpoint,
                                     Stage stage) const {
    ++request.attempt_count;
    ++endpoint.load.in_flight[stage];
    AttemptState& attempt = request.attempt;
    attempt.in_flight = true;
    attempt.cancelled = false;
    attempt.spans_gateway_stall = false;
    attempt.stage = stage;
    attempt.endpoint = endpoint.info.id;
    attempt.sent_at = now;
    attempt.original_sent_at = now;
    attempt.work_units = endpoint.load.in_flight[Stage::decode_queued];  // includes this attempt
    if (stage == Stage::prefill) {
        endpoint.load.reserved_tokens += request.arrival.prompt_tokens;
        endpoint.load.queued_kilotokens += uncached_kilotokens(request);
        attempt.work_units = endpoint.load.queued_kilotokens;
    }
}

void InFlightRequests::begin_stream(Millis now, RequestState& request, EndpointState& endpoint) const {
    remove_load(endpoint, request);
    AttemptState& attempt = request.attempt;
    attempt.stage = Stage::streaming;
    const Millis inter_token_time = class_of(settings_, request).inter_token_objective;
    const Millis predicted_duration = request.arrival.length_hint;
    attempt.work_units = predicted_duration > 0 && inter_token_time > 0
                             ? std::clamp(predicted_duration / inter_token_time / kTokensPerStreamUnit,
                                          kMinStreamUnits, kMaxStreamUnits)
                             : 1;
    ++endpoint.load.in_flight[Stage::streaming];
    attempt.stream_started_at = now;
}

void InFlightRequests::end_attempt(RequestState& request) const {
    if (EndpointState* endpoint = registry_.find(request.attempt.endpoint)) remove_load(*endpoint, request);
    request.attempt.in_flight = false;
}

void InFlightRequests::remove_load(EndpointState& endpoint, const RequestState& request) {
    EndpointLoad& load = endpoint.load;
    --load.in_flight[request.attempt.stage];
    if (request.attempt.stage != Stage::prefill) return;
    load.reserved_tokens -= request.arrival.prompt_tokens;
    load.queued_kilotokens -= uncached_kilotokens(request);
}

void InFlightRequests::set_kv_lease(RequestState& request, bool has_lease) const {
    if (request.has_kv_lease == has_lease) return;
    request.has_kv_lease = has_lease;
    const double tokens = request.arrival.prompt_tokens;
    if (EndpointState* endpoint = registry_.find(request.prefill_endpoint))
        endpoint->load.reserved_tokens += has_lease ? tokens : -tokens;
}

int InFlightRequests::count_young_streams(Millis now, const EndpointState& endpoint) const {
    int young_streams = 0;
    for (const auto& [id, request] : by_id_) {
        const AttemptState& attempt = request.attempt;
        if (!attempt.in_flight || attempt.stage != Stage::streaming || attempt.endpoint != endpoint.info.id)
            continue;
        const Millis inter_token_time = class_of(settings_, request).inter_token_objective;
        young_streams += now - attempt.stream_started_at < kYoungStreamTokens * inter_token_time;
    }
    return young_streams;
}

double InFlightRequests::count_not_streaming() const {
    double count = 0;
    for (const auto& [id, request] : by_id_) {
        const AttemptState& attempt = request.attempt;
        const bool before_stream = attempt.in_flight && attempt.stage != Stage::streaming;
        count += before_stream && registry_.find(attempt.endpoint);
    }
    return count;
}

StreamLoad InFlightRequests::stream_load() const {
    StreamLoad load;
    for (const auto& [id, request] : by_id_) {
        if (!request.attempt.in_flight || request.attempt.stage != Stage::streaming) continue;
        ++load.streams;
        load.kilotokens += uncached_kilotokens(request);
    }
    return load;
}

void InFlightRequests::on_stall(Millis now, Millis stalled_for) {
    for (auto& [id, request] : by_id_) {
        AttemptState& attempt = request.attempt;
        if (!attempt.in_flight) continue;
        attempt.sent_at = std::min(now, attempt.sent_at + stalled_for);
        attempt.stream_started_at = std::min(now, attempt.stream_started_at + stalled_for);
        attempt.spans_gateway_stall = true;
    }
}

}  // namespace gorsenotch::router
