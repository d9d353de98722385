// The operators' settings, under their names, as the Router's Settings. Both forms in which they come (the
// simulator's pairs, the configuration file's JSON) are brought into one SettingValues first, so that the
// mapping exists once, in the source of this header. Units: the names say them; times become ms. Errors:
// SettingsError names the setting.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::settings {

// A setting that cannot be read; the message names it.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Values by path: `Lanes.0.Name`; a list of plain values is one value of several items, a list of objects
// has its length under `.count`. The value "-" means absent.
class SettingValues {
public:
    void set(const std::string& path, std::vector<std::string> items) { values_[path] = std::move(items); }
    bool has(const std::string& path) const { return values_.count(path) > 0; }
    // Throws SettingsError where the value is no number.
    double number_or(const std::string& path, double absent) const;
    // False where absent. Throws SettingsError where the value is no bool.
    bool flag(const std::string& path) const;
    std::string text(const std::string& path, const std::string& absent) const;
    // Empty where absent; valid as long as this.
    const std::vector<std::string>& list(const std::string& path) const;

private:
    std::map<std::string, std::vector<std::string>> values_;
};

// Settings with the names of what they refer to by index.
struct NamedSettings {
    Settings settings;
    std::map<std::string, int> classes, tenants, zones, kinds;  // index by name
    Millis idle_close = 0;  // endpoints close connections that have been idle for so long; 0: unknown
};
// Throws SettingsError. Settings that contradict each other are for the Router to refuse.
NamedSettings parse_named_settings(const SettingValues& values);

}  // namespace gorsenotch::settings
