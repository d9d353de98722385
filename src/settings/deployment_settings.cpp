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
    Settings& s = named.settings;
    for (std::size_t i = 0; i < count(info, "Lanes.count"); ++i) {
        const std::string p = "Lanes." + std::to_string(i) + ".";
        ClassSettings c;
        c.latency_objective = info.number_or(p + "SloMs", 0);
        c.latency_objective_per_1000_tokens =
            item(info, "FamilyInfo.AimUsPer1000PromptTokens", i, 0) / 1000.0;
        c.deadline = info.number_or(p + "DeadlineMs", 0);
        c.priority_weight = info.number_or(p + "Importance", 1);
        c.late_value_fraction = info.number_or(p + "LateShare", 0);
        c.inter_token_objective = item(info, "FamilyInfo.TokenAimMs", i, 0);
        c.idempotency = choice<Idempotency>(p + "Effect", info.text(p + "Effect", "once"),
                                            {{"repeatable", Idempotency::idempotent},
                                             {"by_key", Idempotency::with_key},
                                             {"once", Idempotency::unsafe}});
        c.dedup_scope = choice<DedupScope>(
            p + "Group", info.text(p + "Group", "all"),
            {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        c.dedup_window = info.number_or(p + "WindowMs", 0);
        s.classes.push_back(c);
        named.classes.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    for (std::size_t i = 0; i < count(info, "Tenants.count"); ++i) {
        const std::string p = "Tenants." + std::to_string(i) + ".";
        s.tenants.push_back({info.number_or(p + "QuotaPerS", 0)});
        named.tenants.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    const auto &flavors = info.list("Flavors"), &roles = info.list("FamilyInfo.RoleByKind"),
               &zones = info.list("Azs");
    if (flavors.size() == roles.size()) {  // else no kind is known, which the module refuses
        for (std::size_t i = 0; i < flavors.size(); ++i) {
            const Role role =
                choice<Role>("FamilyInfo.RoleByKind", roles[i],
                             {{"read", Role::prefill}, {"write", Role::decode}, {"both", Role::mixed}});
            s.kinds.push_back({role, item(info, "FamilyInfo.KindMemoryTokens", i, 0)});
            named.kinds[flavors[i]] = static_cast<int>(i);
        }
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        named.zones[zones[i]] = static_cast<int>(i);
        if (zones[i] == info.text("Zone", "")) s.own_zone = static_cast<int>(i);
    }
    s.zones = static_cast<int>(zones.size());
    s.gateways = whole(info, "Balancers", 1);
    s.discovery = info.text("Discovery", "push") == "ask" ? Discovery::poll : Discovery::watch;
    s.poll_interval = info.number_or("Guarantees.AskWithinMs", 0);
    s.max_attempts = whole(info, "Ceilings.AttemptsCap", 1);
    s.cancellation = info.flag("Ceilings.Cancel");
    s.hedging = info.flag("Ceilings.SecondCopies");
    s.health_checks = info.flag("Ceilings.Probes");
    s.slot_reservation = info.flag("FamilyInfo.Ahead");
    s.retry_after = info.flag("Ceilings.RetryAfter");
    s.local_prefill = info.flag("FamilyInfo.LocalRead");
    s.stream_migration = info.flag("FamilyInfo.Resume");
    s.max_retry_after = info.number_or("Ceilings.MaxRetryAfterMs", 0);
    s.connect_timeout = info.number_or("Ceilings.DialTimeoutMs", 0);
    s.over_quota_weight = info.number_or("OverShareWorth", 1);
    s.answer_slack = info.number_or("Guarantees.AnswerSlackMs", 0);
    s.drain_grace = info.number_or("Guarantees.DrainGraceMs", 0);
    s.lease_release_timeout = info.number_or("FamilyInfo.LetGoByMs", 0);
    s.overload_factor = info.number_or("Guarantees.FallMultiple", 1);
    s.overload_window = info.number_or("Guarantees.TipAfterMs", 0);
    s.initial_capacity = info.number_or("Guarantees.StartCapacity", 1);
    s.slow_start_duration = info.number_or("Guarantees.WarmWithinMs", 0);
    s.event_interval = info.number_or("StepMs", 1);
    named.idle_close = info.number_or("Ceilings.IdleCloseMs", 0);
    return named;
}

}  // namespace gorsenotch::settings
