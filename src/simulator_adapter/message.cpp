#include "simulator_adapter/message.h"

#include <array>

#include "simulator_adapter/wire_words.h"

namespace gorsenotch::simulator_adapter {
namespace {

template <class Value, std::size_t count>
Value parse_value(const std::string& text, const std::array<settings::NamedValue<Value>, count>& words) {
    const auto value = settings::to_one_of(text, words);
    if (!value) throw WireError("unknown value '" + text + "'");
    return *value;
}

}  // namespace

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (std::size_t at = text.find(separator); at != std::string::npos; at = text.find(separator, from)) {
        parts.push_back(text.substr(from, at - from));
        from = at + 1;
    }
    parts.push_back(text.substr(from));
    return parts;
}

const std::string& Message::text(std::size_t field) const {
    if (field >= fields_.size()) throw WireError("field " + std::to_string(field) + " is missing");
    return fields_[field];
}

bool Message::flag(std::size_t field) const {
    const auto value = settings::to_bool(text(field));
    if (!value) throw WireError("expected a boolean, got '" + text(field) + "'");
    return *value;
}

AttemptResult Message::result(std::size_t field) const {
    return parse_value(text(field), words::kAttemptResults);
}

EndpointStatus Message::status(std::size_t field) const {
    return parse_value(text(field), words::kEndpointStatuses);
}

EndpointUpdate::Kind Message::update_kind(std::size_t field) const {
    return parse_value(text(field), words::kUpdateKinds);
}

LoadReport Message::load_report(std::size_t field) const {
    LoadReport report;
    const std::string& pairs = text(field);
    if (pairs == "-" || pairs.empty()) return report;
    for (const auto& pair : split(pairs, ',')) {
        const auto colon = pair.find(':');
        if (colon == std::string::npos)
            throw WireError("load report: expected name:value, got '" + pair + "'");
        const std::string name = pair.substr(0, colon);
        const std::string value = pair.substr(colon + 1);
        if (name == words::kMemoryUtilization) report.memory_utilization = parse_number<double>(value, -1);
        if (name == words::kQueuedKilotokens) report.queued_kilotokens = parse_number<double>(value, -1);
        if (name == words::kLatency) report.latency = parse_number<double>(value, -1);
    }
    return report;
}

}  // namespace gorsenotch::simulator_adapter
