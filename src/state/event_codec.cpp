#include "state/event_codec.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>

#include "state/json_values.h"

namespace gorsenotch::state {
namespace {

using Json = nlohmann::json;

// ---- encoding: one function per event type ----

Json report_to_json(const LoadReport& report) {
    return {report.memory_utilization, report.queued_kilotokens, report.latency};
}

Json endpoint_to_json(const Endpoint& endpoint) {
    return {
        endpoint.id,     endpoint.zone,      endpoint.kind, endpoint.cell, static_cast<int>(endpoint.status),
        endpoint.weight, endpoint.started_at};
}

Json to_json(const Arrival& arrival) {
    return {{"e", "arrival"},
            {"r", arrival.request},
            {"c", arrival.cls},
            {"g", arrival.tenant},
            {"s", arrival.session},
            {"x", arrival.shared_prefix},
            {"d", arrival.deadline},
            {"h", arrival.length_hint},
            {"p", arrival.prompt_tokens},
            {"q", arrival.shared_prefix_tokens},
            {"m", arrival.max_tokens},
            {"again", arrival.client_retry},
            {"back", arrival.resumed}};
}

Json to_json(const AttemptEnded& ended) {
    return {{"e", "outcome"},
            {"r", ended.request},
            {"n", ended.attempt},
            {"s", ended.endpoint},
            {"w", static_cast<int>(ended.result)},
            {"took", ended.took},
            {"z", ended.request_closed},
            {"note", ended.detail},
            {"load", report_to_json(ended.report)}};
}

Json to_json(const FirstToken& first_token) {
    return {{"e", "first"},
            {"r", first_token.request},
            {"n", first_token.attempt},
            {"s", first_token.endpoint},
            {"took", first_token.took}};
}

Json to_json(const ReservationReply& reply) {
    return {{"e", "place"}, {"r", reply.request}, {"s", reply.endpoint}, {"held", reply.reserved}};
}

Json to_json(const ClientDisconnected& disconnected) { return {{"e", "gone"}, {"r", disconnected.request}}; }

Json to_json(const EndpointUpdate& update) {
    Json endpoints = Json::array();
    for (const Endpoint& endpoint : update.endpoints) endpoints.push_back(endpoint_to_json(endpoint));
    return {{"e", "list"}, {"form", static_cast<int>(update.kind)}, {"of", endpoints}};
}

Json to_json(const HealthCheckResult& result) {
    return {{"e", "probe"},
            {"s", result.endpoint},
            {"good", result.healthy},
            {"took", result.took},
            {"load", report_to_json(result.report)}};
}

Json to_json(const TimerFired& timer) { return {{"e", "due"}, {"l", timer.timer}}; }

Json to_json(const LeaseReleased& released) { return {{"e", "released"}, {"r", released.request}}; }

Json to_json(const Shutdown&) { return {{"e", "shutdown"}}; }

// ---- decoding: one function per event type ----

LoadReport report_from_json(const Json& json) { return {json.at(0), json.at(1), json.at(2)}; }

Endpoint endpoint_from_json(const Json& json) {
    Endpoint endpoint;
    endpoint.id = to_integer<EndpointId>(json.at(0));
    endpoint.zone = to_integer<int>(json.at(1));
    endpoint.kind = to_integer<int>(json.at(2));
    endpoint.cell = to_integer<std::uint64_t>(json.at(3));
    endpoint.status = to_enum(json.at(4), EndpointStatus::removed);
    endpoint.weight = json.at(5);
    endpoint.started_at = json.at(6);
    return endpoint;
}

Event arrival_from_json(const Json& json) {
    Arrival arrival;
    arrival.request = json.at("r");
    arrival.cls = to_integer<int>(json.at("c"));
    arrival.tenant = to_integer<int>(json.at("g"));
    arrival.session = to_integer<std::uint64_t>(json.at("s"));
    arrival.shared_prefix = to_integer<std::uint64_t>(json.at("x"));
    arrival.deadline = json.at("d");
    arrival.length_hint = json.at("h");
    arrival.prompt_tokens = json.at("p");
    arrival.shared_prefix_tokens = json.at("q");
    arrival.max_tokens = json.at("m");
    arrival.client_retry = json.at("again");
    arrival.resumed = json.at("back");
    return arrival;
}

Event attempt_ended_from_json(const Json& json) {
    AttemptEnded ended;
    ended.request = json.at("r");
    ended.attempt = to_integer<int>(json.at("n"));
    ended.endpoint = to_integer<EndpointId>(json.at("s"));
    ended.result = to_enum(json.at("w"), AttemptResult::prefill_done);
    ended.took = json.at("took");
    ended.request_closed = json.at("z");
    ended.detail = json.at("note");
    ended.report = report_from_json(json.at("load"));
    return ended;
}

Event first_token_from_json(const Json& json) {
    return FirstToken{json.at("r"), to_integer<int>(json.at("n")), to_integer<EndpointId>(json.at("s")),
                      json.at("took")};
}

Event reservation_reply_from_json(const Json& json) {
    return ReservationReply{json.at("r"), to_integer<EndpointId>(json.at("s")), json.at("held")};
}

Event client_disconnected_from_json(const Json& json) { return ClientDisconnected{json.at("r")}; }

Event endpoint_update_from_json(const Json& json) {
    EndpointUpdate update;
    update.kind = to_enum(json.at("form"), EndpointUpdate::Kind::failed);
    for (const auto& endpoint : json.at("of")) update.endpoints.push_back(endpoint_from_json(endpoint));
    return update;
}

Event health_check_result_from_json(const Json& json) {
    return HealthCheckResult{to_integer<EndpointId>(json.at("s")), json.at("good"), json.at("took"),
                             report_from_json(json.at("load"))};
}

Event timer_fired_from_json(const Json& json) { return TimerFired{to_integer<std::uint64_t>(json.at("l"))}; }

Event lease_released_from_json(const Json& json) { return LeaseReleased{json.at("r")}; }

Event shutdown_from_json(const Json&) { return Shutdown{}; }

using EventDecoder = Event (*)(const Json&);

// Decoders by the event's name in a journal.
const std::unordered_map<std::string, EventDecoder>& event_decoders() {
    static const std::unordered_map<std::string, EventDecoder> decoders = {
        {"arrival", arrival_from_json},           {"outcome", attempt_ended_from_json},
        {"first", first_token_from_json},         {"place", reservation_reply_from_json},
        {"gone", client_disconnected_from_json},  {"list", endpoint_update_from_json},
        {"probe", health_check_result_from_json}, {"due", timer_fired_from_json},
        {"released", lease_released_from_json},   {"shutdown", shutdown_from_json},
    };
    return decoders;
}

}  // namespace

Json event_to_json(const Event& event) {
    return std::visit([](const auto& alternative) { return to_json(alternative); }, event);
}

Event event_from_json(const Json& json) {
    const std::string name = json.at("e");
    const auto decoder = event_decoders().find(name);
    if (decoder == event_decoders().end())
        throw JournalError(JournalErrorCode::unknown_event, "unknown event '" + name + "'");
    return decoder->second(json);
}

}  // namespace gorsenotch::state
