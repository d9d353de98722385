#include "settings/deployment_settings.h"

#include <cmath>

#include "settings/text_values.h"

namespace gorsenotch::settings {
namespace {

double number(const std::string& path, const std::string& s) {
    const auto value = to_number<double>(s);
    if (!value) throw SettingsError(path + ": bad number '" + s + "'");
    return *value;
}

template <class T>
T choice(const std::string& path, const std::string& word,
         std::initializer_list<std::pair<const char*, T>> names) {
    const auto value = to_one_of(word, names);
    if (!value) throw SettingsError(path + ": unknown word '" + word + "'");
    return *value;
}

double item(const SettingValues& info, const std::string& path, std::size_t i, double absent) {
    const auto& values = info.list(path);
    return i < values.size() ? number(path, values[i]) : absent;
}

std::size_t count(const SettingValues& info, const std::string& path) {
    const double n = info.number_or(path, 0);
    if (n < 0 || n > 10000) throw SettingsError(path + ": out of range");
    return static_cast<std::size_t>(n);
}

int whole(const SettingValues& info, const std::string& path, int absent) {
    const double n = info.number_or(path, absent);
    if (std::abs(n) > 1e9) throw SettingsError(path + ": out of range");
    return static_cast<int>(n);
}

}  // namespace

double SettingValues::number_or(const std::string& path, double absent) const {
    const auto it = values_.find(path);
    if (it == values_.end() || it->second.empty() || it->second[0] == "-") return absent;
    return number(path, it->second[0]);
}

bool SettingValues::flag(const std::string& path) const {
    const std::string s = text(path, "-");
    const auto value = to_bool(s);
    if (!value) throw SettingsError(path + ": bad bool '" + s + "'");
    return *value;
}

std::string SettingValues::text(const std::string& path, const std::string& absent) const {
    const auto it = values_.find(path);
    return it == values_.end() || it->second.empty() ? absent : it->second[0];
}

const std::vector<std::string>& SettingValues::list(const std::string& path) const {
    static const std::vector<std::string> none;
    const auto it = values_.find(path);
    return it == values_.end() ? none : it->second;
}

NamedSettings parse_named_settings(const SettingValues& info) {
    NamedSettings named;
    Settings& settings = named.settings;
    for (std::size_t i = 0; i < count(info, "Lanes.count"); ++i) {
        const std::string p = "Lanes." + std::to_string(i) + ".";
        ClassSettings class_settings;
        class_settings.latency_objective = info.number_or(p + "SloMs", 0);
        class_settings.latency_objective_per_1000_tokens =
            item(info, "FamilyInfo.AimUsPer1000PromptTokens", i, 0) / 1000.0;
        class_settings.deadline = info.number_or(p + "DeadlineMs", 0);
        class_settings.priority_weight = info.number_or(p + "Importance", 1);
        class_settings.late_value_fraction = info.number_or(p + "LateShare", 0);
        class_settings.inter_token_objective = item(info, "FamilyInfo.TokenAimMs", i, 0);
        class_settings.idempotency = choice<Idempotency>(p + "Effect", info.text(p + "Effect", "once"),
                                                         {{"repeatable", Idempotency::idempotent},
                                                          {"by_key", Idempotency::with_key},
                                                          {"once", Idempotency::unsafe}});
        class_settings.dedup_scope = choice<DedupScope>(
            p + "Group", info.text(p + "Group", "all"),
            {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        class_settings.dedup_window = info.number_or(p + "WindowMs", 0);
        settings.classes.push_back(class_settings);
        named.classes.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    for (std::size_t i = 0; i < count(info, "Tenants.count"); ++i) {
        const std::string p = "Tenants." + std::to_string(i) + ".";
        settings.tenants.push_back({info.number_or(p + "QuotaPerS", 0)});
        named.tenants.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    const auto &flavors = info.list("Flavors"), &roles = info.list("FamilyInfo.RoleByKind"),
               &zones = info.list("Azs");
    if (flavors.size() == roles.size()) {  // else no kind is known, which the module refuses
        for (std::size_t i = 0; i < flavors.size(); ++i) {
            const Role role =
                choice<Role>("FamilyInfo.RoleByKind", roles[i],
                             {{"read", Role::prefill}, {"write", Role::decode}, {"both", Role::mixed}});
            settings.kinds.push_back({role, item(info, "FamilyInfo.KindMemoryTokens", i, 0)});
            named.kinds[flavors[i]] = static_cast<int>(i);
        }
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        named.zones[zones[i]] = static_cast<int>(i);
        if (zones[i] == info.text("Zone", "")) settings.own_zone = static_cast<int>(i);
    }
    settings.zones = static_cast<int>(zones.size());
    settings.gateways = whole(info, "Balancers", 1);
    settings.discovery = info.text("Discovery", "push") == "ask" ? Discovery::poll : Discovery::watch;
    settings.poll_interval = info.number_or("Guarantees.AskWithinMs", 0);
    settings.max_attempts = whole(info, "Ceilings.AttemptsCap", 1);
    settings.cancellation = info.flag("Ceilings.Cancel");
    settings.hedging = info.flag("Ceilings.SecondCopies");
    settings.health_checks = info.flag("Ceilings.Probes");
    settings.slot_reservation = info.flag("FamilyInfo.Ahead");
    settings.retry_after = info.flag("Ceilings.RetryAfter");
    settings.local_prefill = info.flag("FamilyInfo.LocalRead");
    settings.stream_migration = info.flag("FamilyInfo.Resume");
    settings.max_retry_after = info.number_or("Ceilings.MaxRetryAfterMs", 0);
    settings.connect_timeout = info.number_or("Ceilings.DialTimeoutMs", 0);
    settings.over_quota_weight = info.number_or("OverShareWorth", 1);
    settings.answer_slack = info.number_or("Guarantees.AnswerSlackMs", 0);
    settings.drain_grace = info.number_or("Guarantees.DrainGraceMs", 0);
    settings.lease_release_timeout = info.number_or("FamilyInfo.LetGoByMs", 0);
    settings.overload_factor = info.number_or("Guarantees.FallMultiple", 1);
    settings.overload_window = info.number_or("Guarantees.TipAfterMs", 0);
    settings.initial_capacity = info.number_or("Guarantees.StartCapacity", 1);
    settings.slow_start_duration = info.number_or("Guarantees.WarmWithinMs", 0);
    settings.event_interval = info.number_or("StepMs", 1);
    named.idle_close = info.number_or("Ceilings.IdleCloseMs", 0);
    return named;
}

}  // namespace gorsenotch::settings
