#include "engine/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

#include "api/parse_json.h"

namespace gorsenotch::engine {
namespace {

using api::Json;

constexpr std::string_view kJsonFormat = "JSON ";
constexpr std::string_view kTextFormat = "TEXT ";
constexpr std::string_view kNamedMetricPrefix = "named_metrics.";
constexpr const char* kNamedMetricsKey = "named_metrics";
constexpr int kMaxJsonDepth = 4;

bool starts_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

void set_metric(LoadReport& report, std::string_view name, double value) {
    if (!std::isfinite(value) || value < 0) return;
    if (starts_with(name, kNamedMetricPrefix)) name.remove_prefix(kNamedMetricPrefix.size());
    if (name == "mem_utilization" || name == "kv_cache_usage_perc")
        report.memory_utilization = std::min(value, 1.0);
    if (name == "waiting_ktokens") report.queued_kilotokens = value;
    if (name == "latency_ms") report.latency = value;
}

void set_metrics(LoadReport& report, const Json& object) {
    for (const auto& [name, value] : object.items()) {
        if (value.is_number()) set_metric(report, name, value.get<double>());
    }
}

LoadReport parse_json_format(std::string_view text) {
    LoadReport report;
    std::string reason;
    const Json json = api::parse_json(text, reason, kMaxJsonDepth);
    if (!json.is_object()) return report;
    for (const auto& [name, value] : json.items()) {
        if (value.is_number()) set_metric(report, name, value.get<double>());
        if (name == kNamedMetricsKey && value.is_object()) set_metrics(report, value);
    }
    return report;
}

// Sets the metric of one `name=number` pair.
void parse_pair(LoadReport& report, std::string_view pair) {
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return;
    double value = -1;
    const char* const pair_end = pair.data() + pair.size();
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, pair_end, value);
    if (error == std::errc() && end == pair_end) set_metric(report, pair.substr(0, equals), value);
}

LoadReport parse_text_format(std::string_view text) {
    LoadReport report;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parse_pair(report, text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return report;
}

}  // namespace

LoadReport parse_load_report(std::string_view header) {
    if (starts_with(header, kJsonFormat)) return parse_json_format(header.substr(kJsonFormat.size()));
    if (starts_with(header, kTextFormat)) return parse_text_format(header.substr(kTextFormat.size()));
    return {};
}

}  // namespace gorsenotch::engine
