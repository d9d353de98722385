#include "simulator_adapter/wire.h"

#include <stdexcept>
#include <utility>

#include "settings/deployment_settings.h"
#include "simulator_adapter/action_writer.h"
#include "simulator_adapter/wire_words.h"

namespace gorsenotch::simulator_adapter {
namespace {

int index_or(const std::map<std::string, int>& indices, const std::string& name, int absent) {
    const auto it = indices.find(name);
    return it == indices.end() ? absent : it->second;
}

// Parses the path=value pairs that begin at field `from`.
settings::SettingValues setting_values(const Message& message, std::size_t from) {
    settings::SettingValues values;
    for (std::size_t i = from; i < message.size(); ++i) {
        const std::string& pair = message.text(i);
        const auto equals = pair.find('=');
        if (equals == std::string::npos) throw WireError("setting: expected path=value, got '" + pair + "'");
        const std::string value = pair.substr(equals + 1);
        const bool absent = value.empty() || value == "-";
        values.set(pair.substr(0, equals), absent ? std::vector<std::string>{} : split(value, ','));
    }
    return values;
}

settings::NamedSettings named_settings(const Message& message, std::size_t from) {
    try {
        return settings::parse_named_settings(setting_values(message, from));
    } catch (const settings::SettingsError& error) {
        throw WireError(error.what());
    }
}

}  // namespace

const std::map<std::string, Session::Handler>& Session::handlers() {
    static const std::map<std::string, Handler> handlers = {
        {words::kEndpointRows, &Session::on_endpoint_rows},
        {words::kInit, &Session::on_init},
        {words::kKilled, &Session::on_killed},
        {words::kArrival, &Session::on_arrival},
        {words::kAttemptEnded, &Session::on_attempt_ended},
        {words::kFirstToken, &Session::on_first_token},
        {words::kReservationReply, &Session::on_reservation_reply},
        {words::kClientDisconnected, &Session::on_client_disconnected},
        {words::kHealthCheckResult, &Session::on_health_check_result},
        {words::kTimerFired, &Session::on_timer_fired},
        {words::kEndpointUpdate, &Session::on_endpoint_update},
    };
    return handlers;
}

std::optional<Message> Session::next_message() {
    std::string line;
    if (!std::getline(in_, line)) return std::nullopt;
    ++line_number_;
    return Message(line);
}

void Session::run() {
    try {
        while (serve_batch()) out_ << words::kReplyEnd << '\n' << std::flush;
    } catch (const WireError& error) {
        throw WireError("line " + std::to_string(line_number_) + ": " + error.what());
    }
}

// Returns false if the input ends before a batch begins.
bool Session::serve_batch() {
    auto message = next_message();
    while (message && message->empty()) message = next_message();
    if (!message) return false;
    if (message->word() != words::kBatchBegin)
        throw WireError("expected 'clock' at the beginning of a batch, got '" + message->word() + "'");
    now_ = message->number(1);
    while ((message = next_message())) {
        if (message->word() == words::kBatchEnd) return true;
        const auto handler = handlers().find(message->word());
        // Unknown messages are ignored, so that newer simulators can add some.
        if (handler != handlers().end()) (this->*handler->second)(*message);
    }
    throw WireError("input ends inside a batch");
}

void Session::on_endpoint_rows(const Message& message) {
    std::vector<EndpointRow> rows;
    const auto list_number = message.integer<std::uint64_t>(1);
    const auto count = message.integer<std::uint64_t>(2);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto entry = next_message();
        if (!entry) throw WireError("input ends inside a batch");
        if (entry->word() != words::kEndpointRow)
            throw WireError("expected 'm' at the beginning of an endpoint row");
        EndpointRow row;
        row.endpoint.id = entry->integer<EndpointId>(1);
        row.zone = entry->text(2);
        row.kind = entry->text(3);
        row.endpoint.cell = entry->integer<std::uint64_t>(4);
        row.endpoint.status = entry->status(5);
        row.endpoint.weight = entry->number(6, 1);
        row.endpoint.started_at = entry->number(7, 0);
        rows.push_back(row);
    }
    endpoint_lists_[list_number] = std::move(rows);
}

void Session::on_init(const Message& message) {
    const std::string& name = message.text(1);
    const settings::NamedSettings named = named_settings(message, 3);
    Instance instance;
    instance.classes = named.classes;
    instance.tenants = named.tenants;
    zones_.insert(named.zones.begin(), named.zones.end());
    kinds_.insert(named.kinds.begin(), named.kinds.end());
    try {
        instance.router = std::make_unique<Router>(named.settings, message.integer<std::uint64_t>(2));
    } catch (const std::invalid_argument& error) {
        write_router_error(name, error.what());
    }
    instances_[name] = std::move(instance);
}

void Session::on_killed(const Message& message) { instances_.erase(message.text(1)); }

void Session::on_arrival(const Message& message) {
    const auto found = instances_.find(message.text(1));
    if (found == instances_.end()) return;
    const Instance& instance = found->second;
    Arrival arrival;
    arrival.request = message.text(2);
    arrival.cls = index_or(instance.classes, message.text(3), -1);
    if (arrival.cls < 0) throw WireError("unknown class '" + message.text(3) + "'");
    arrival.tenant = index_or(instance.tenants, message.text(4), -1);
    arrival.session = message.integer<std::uint64_t>(5);
    arrival.deadline = message.number(6);
    const auto flags = message.integer<std::uint64_t>(12);
    arrival.length_hint = (flags & words::kHasLengthHint) != 0 ? message.number(7, -1) : -1;
    arrival.shared_prefix = message.integer<std::uint64_t>(8);
    arrival.prompt_tokens = message.number(9);
    arrival.shared_prefix_tokens = message.number(10);
    arrival.max_tokens = message.number(11);
    arrival.client_retry = (flags & words::kClientRetry) != 0;
    arrival.resumed = (flags & words::kResumed) != 0;
    handle_event(message.text(1), arrival);
}

void Session::on_attempt_ended(const Message& message) {
    AttemptEnded ended;
    ended.request = message.text(2);
    ended.attempt = message.integer<int>(3);
    ended.endpoint = message.integer<EndpointId>(4);
    ended.result = message.result(5);
    ended.took = message.number(6);
    ended.request_closed = message.flag(7);
    ended.detail = message.number(8);
    ended.report = message.load_report(9);
    handle_event(message.text(1), ended);
}

void Session::on_first_token(const Message& message) {
    const FirstToken first_token{message.text(2), message.integer<int>(5), message.integer<EndpointId>(4),
                                 message.number(3)};
    handle_event(message.text(1), first_token);
}

void Session::on_reservation_reply(const Message& message) {
    const ReservationReply reply{message.text(2), message.integer<EndpointId>(4),
                                 message.integer<int>(5) == 1};
    handle_event(message.text(1), reply);
}

void Session::on_client_disconnected(const Message& message) {
    handle_event(message.text(1), ClientDisconnected{message.text(2)});
}

void Session::on_health_check_result(const Message& message) {
    const HealthCheckResult result{message.integer<EndpointId>(3), message.result(2) == AttemptResult::served,
                                   message.number(4), message.load_report(5)};
    handle_event(message.text(1), result);
}

void Session::on_timer_fired(const Message& message) {
    handle_event(message.text(1), TimerFired{message.integer<std::uint64_t>(2)});
}

void Session::on_endpoint_update(const Message& message) {
    EndpointUpdate update;
    update.kind = message.update_kind(2);
    message.integer<std::int64_t>(3);  // the list's version is only validated
    if (update.kind != EndpointUpdate::Kind::failed) {
        const auto list = endpoint_lists_.find(message.integer<std::uint64_t>(4));
        if (list == endpoint_lists_.end())
            throw WireError("endpoint list " + message.text(4) + " was not received");
        for (const EndpointRow& row : list->second) update.endpoints.push_back(resolve_names(row));
    }
    handle_event(message.text(1), update);
}

Endpoint Session::resolve_names(const EndpointRow& row) const {
    const auto zone = zones_.find(row.zone);
    const auto kind = kinds_.find(row.kind);
    if (zone == zones_.end()) throw WireError("unknown zone '" + row.zone + "'");
    if (kind == kinds_.end()) throw WireError("unknown kind '" + row.kind + "'");
    Endpoint endpoint = row.endpoint;
    endpoint.zone = zone->second;
    endpoint.kind = kind->second;
    return endpoint;
}

void Session::handle_event(const std::string& instance, const Event& event) {
    const auto it = instances_.find(instance);
    if (it == instances_.end() || !it->second.router) return;
    std::vector<Action> actions;
    try {
        it->second.router->handle(now_, event, actions);
    } catch (const std::exception& error) {
        write_router_error(instance, error.what());
        return;
    }
    for (const Action& action : actions) write_action(out_, instance, action);
}

void Session::write_router_error(const std::string& instance, const char* reason) {
    out_ << words::kRouterError << '\t' << instance << '\t' << reason << '\n';
}

}  // namespace gorsenotch::simulator_adapter
