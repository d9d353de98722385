#include "settings/deployment_settings.h"

#include <array>
#include <cmath>
#include <cstddef>

#include "settings/setting_words.h"
#include "settings/text_values.h"

namespace gorsenotch::settings {
namespace {

constexpr double kMaxListLength = 10000;  // classes or tenants
constexpr double kMaxInteger = 1e9;

double parse_number(const std::string& path, const std::string& text) {
    const auto value = to_number<double>(text);
    if (!value) throw SettingsError(path + ": expected a number, got '" + escape_value(text) + "'");
    return *value;
}

template <class Value, std::size_t count>
Value parse_named_value(const std::string& path, const std::string& word,
                        const std::array<NamedValue<Value>, count>& words) {
    const auto value = to_one_of(word, words);
    if (!value) throw SettingsError(path + ": unknown value '" + word + "'");
    return *value;
}

// The number at `index` of the list `path`; `fallback` if the list is shorter.
double list_number(const SettingValues& values, const std::string& path, std::size_t index, double fallback) {
    const auto& items = values.list(path);
    return index < items.size() ? parse_number(path, items[index]) : fallback;
}

std::size_t list_length(const SettingValues& values, const std::string& path) {
    const double number = values.number_or(path, 0);
    if (number < 0 || number > kMaxListLength)
        throw SettingsError(path + ": out of range, got '" + escape_value(values.text(path, "")) +
                            "', expected 0 to 10000");
    return static_cast<std::size_t>(number);
}

int integer(const SettingValues& values, const std::string& path, int fallback) {
    const double number = values.number_or(path, fallback);
    if (std::abs(number) > kMaxInteger)
        throw SettingsError(path + ": out of range, got '" + escape_value(values.text(path, "")) +
                            "', expected -1e9 to 1e9");
    return static_cast<int>(number);
}

ClassSettings parse_class(const SettingValues& values, const std::string& prefix, std::size_t index) {
    ClassSettings cls;
    cls.latency_objective = values.number_or(prefix + "SloMs", 0);
    cls.latency_objective_per_1000_tokens =
        list_number(values, "FamilyInfo.AimUsPer1000PromptTokens", index, 0) / 1000.0;
    cls.deadline = values.number_or(prefix + "DeadlineMs", 0);
    cls.priority_weight = values.number_or(prefix + "Importance", 1);
    cls.late_value_fraction = values.number_or(prefix + "LateShare", 0);
    cls.inter_token_objective = list_number(values, "FamilyInfo.TokenAimMs", index, 0);
    cls.idempotency =
        parse_named_value(prefix + "Effect", values.text(prefix + "Effect", "once"), kIdempotencyWords);
    cls.dedup_scope =
        parse_named_value(prefix + "Group", values.text(prefix + "Group", "all"), kDedupScopeWords);
    cls.dedup_window = values.number_or(prefix + "WindowMs", 0);
    return cls;
}

void parse_classes(const SettingValues& values, NamedSettings& named) {
    for (std::size_t i = 0; i < list_length(values, "Lanes.count"); ++i) {
        const std::string prefix = "Lanes." + std::to_string(i) + ".";
        named.settings.classes.push_back(parse_class(values, prefix, i));
        named.classes.emplace(values.text(prefix + "Name", ""), static_cast<int>(i));
    }
}

void parse_tenants(const SettingValues& values, NamedSettings& named) {
    for (std::size_t i = 0; i < list_length(values, "Tenants.count"); ++i) {
        const std::string prefix = "Tenants." + std::to_string(i) + ".";
        named.settings.tenants.push_back({values.number_or(prefix + "QuotaPerS", 0)});
        named.tenants.emplace(values.text(prefix + "Name", ""), static_cast<int>(i));
    }
}

void parse_kinds(const SettingValues& values, NamedSettings& named) {
    const auto& kinds = values.list("Flavors");
    const auto& roles = values.list("FamilyInfo.RoleByKind");
    if (kinds.size() != roles.size()) return;  // leaves the kinds empty, which the Router rejects
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const Role role = parse_named_value("FamilyInfo.RoleByKind", roles[i], kRoleWords);
        named.settings.kinds.push_back({role, list_number(values, "FamilyInfo.KindMemoryTokens", i, 0)});
        named.kinds[kinds[i]] = static_cast<int>(i);
    }
}

void parse_zones(const SettingValues& values, NamedSettings& named) {
    const auto& zones = values.list("Azs");
    for (std::size_t i = 0; i < zones.size(); ++i) {
        named.zones[zones[i]] = static_cast<int>(i);
        if (zones[i] == values.text("Zone", "")) named.settings.own_zone = static_cast<int>(i);
    }
    named.settings.zones = static_cast<int>(zones.size());
}

void parse_discovery(const SettingValues& values, Settings& settings) {
    settings.discovery = values.text("Discovery", "push") == "ask" ? Discovery::poll : Discovery::watch;
    settings.poll_interval = values.number_or("Guarantees.AskWithinMs", 0);
}

// What the Router may do, and the limits of it.
void parse_features(const SettingValues& values, Settings& settings) {
    settings.max_attempts = integer(values, "Ceilings.AttemptsCap", 1);
    settings.cancellation = values.flag("Ceilings.Cancel");
    settings.hedging = values.flag("Ceilings.SecondCopies");
    settings.health_checks = values.flag("Ceilings.Probes");
    settings.slot_reservation = values.flag("FamilyInfo.Ahead");
    settings.retry_after = values.flag("Ceilings.RetryAfter");
    settings.local_prefill = values.flag("FamilyInfo.LocalRead");
    settings.stream_migration = values.flag("FamilyInfo.Resume");
    settings.max_retry_after = values.number_or("Ceilings.MaxRetryAfterMs", 0);
    settings.connect_timeout = values.number_or("Ceilings.DialTimeoutMs", 0);
    settings.over_quota_weight = values.number_or("OverShareWorth", 1);
}

// The guarantees that the Router must meet.
void parse_guarantees(const SettingValues& values, Settings& settings) {
    settings.answer_slack = values.number_or("Guarantees.AnswerSlackMs", 0);
    settings.drain_grace = values.number_or("Guarantees.DrainGraceMs", 0);
    settings.lease_release_timeout = values.number_or("FamilyInfo.LetGoByMs", 0);
    settings.overload_factor = values.number_or("Guarantees.FallMultiple", 1);
    settings.overload_window = values.number_or("Guarantees.TipAfterMs", 0);
    settings.initial_capacity = values.number_or("Guarantees.StartCapacity", 1);
    settings.slow_start_duration = values.number_or("Guarantees.WarmWithinMs", 0);
}

}  // namespace

double SettingValues::number_or(const std::string& path, double fallback) const {
    const auto it = values_.find(path);
    if (it == values_.end() || it->second.empty() || it->second[0] == "-") return fallback;
    return parse_number(path, it->second[0]);
}

bool SettingValues::flag(const std::string& path) const {
    const std::string word = text(path, "-");
    const auto value = to_bool(word);
    if (!value)
        throw SettingsError(path + ": expected 1, true, 0, false or -, got '" + escape_value(word) + "'");
    return *value;
}

std::string SettingValues::text(const std::string& path, const std::string& fallback) const {
    const auto it = values_.find(path);
    return it == values_.end() || it->second.empty() ? fallback : it->second[0];
}

const std::vector<std::string>& SettingValues::list(const std::string& path) const {
    static const std::vector<std::string> empty;
    const auto it = values_.find(path);
    return it == values_.end() ? empty : it->second;
}

NamedSettings parse_named_settings(const SettingValues& values) {
    NamedSettings named;
    parse_classes(values, named);
    parse_tenants(values, named);
    parse_kinds(values, named);
    parse_zones(values, named);
    named.settings.gateways = integer(values, "Balancers", 1);
    parse_discovery(values, named.settings);
    parse_features(values, named.settings);
    parse_guarantees(values, named.settings);
    named.settings.event_interval = values.number_or("StepMs", 1);
    named.idle_close = values.number_or("Ceilings.IdleCloseMs", 0);
    return named;
}

}  // namespace gorsenotch::settings
