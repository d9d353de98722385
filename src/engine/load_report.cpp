#include "engine/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

#include "api/chat.h"

namespace gorsenotch::engine {
namespace {

using api::Json;

constexpr std::string_view kJsonForm = "JSON ";
constexpr std::string_view kTextForm = "TEXT ";
constexpr std::string_view kNamedPrefix = "named_metrics.";
constexpr const char* kNamedObject = "named_metrics";
constexpr int kMaxDepth = 4;  // of a report in JSON

bool starts_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

void set_metric(LoadReport& report, std::string_view name, double value) {
    if (!std::isfinite(value) || value < 0) return;
    if (starts_with(name, kNamedPrefix)) name.remove_prefix(kNamedPrefix.size());
    if (name == "mem_utilization" || name == "kv_cache_usage_perc")
        report.memory_utilization = std::min(value, 1.0);
    if (name == "waiting_ktokens") report.queued_kilotokens = value;
    if (name == "latency_ms") report.latency = value;
}

void set_numbers(LoadReport& report, const Json& object) {
    for (const auto& [name, value] : object.items()) {
        if (value.is_number()) set_metric(report, name, value.get<double>());
    }
}

LoadReport parse_json_form(std::string_view text) {
    LoadReport report;
    std::string why;
    const Json json = api::parse_json(text, why, kMaxDepth);
    if (!json.is_object()) return report;
    for (const auto& [name, value] : json.items()) {
        if (value.is_number()) set_metric(report, name, value.get<double>());
        if (name == kNamedObject && value.is_object()) set_numbers(report, value);
    }
    return report;
}

// One `name=number`.
void set_pair(LoadReport& report, std::string_view pair) {
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return;
    double value = -1;
    const char* const pair_end = pair.data() + pair.size();
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, pair_end, value);
    if (error == std::errc() && end == pair_end) set_metric(report, pair.substr(0, equals), value);
}

LoadReport parse_text_form(std::string_view text) {
    LoadReport report;
    while (!text.empty()) {
        const auto comma = text.find(',');
        set_pair(report, text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return report;
}

}  // namespace

LoadReport parse_load_report(std::string_view header) {
    if (starts_with(header, kJsonForm)) return parse_json_form(header.substr(kJsonForm.size()));
    if (starts_with(header, kTextForm)) return parse_text_form(header.substr(kTextForm.size()));
    return {};
}

}  // namespace gorsenotch::engine
