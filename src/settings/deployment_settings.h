// The operators' settings, under their names, as the module's Settings. Both forms in which they come (the
// simulator's pairs, the configuration file's JSON) are brought into one Info first, so that the mapping
// exists once. Units: the names say them; times become ms. Errors: SettingsError names the setting.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "gorsenotch/logic.h"

namespace gorsenotch::settings {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Values by path: `Lanes.0.Name`; a list of plain values is one value of several items, a list of objects
// has its length under `.count`.
class SettingValues {
public:
    void set(const std::string& path, std::vector<std::string> items) { values_[path] = std::move(items); }
    bool has(const std::string& path) const { return values_.count(path) > 0; }
    double number_or(const std::string& path, double absent) const;
    bool flag(const std::string& path) const;
    std::string text(const std::string& path, const std::string& absent) const;
    const std::vector<std::string>& list(const std::string& path) const;

private:
    std::map<std::string, std::vector<std::string>> values_;
};

struct NamedSettings {
    Settings settings;
    std::map<std::string, int> classes, tenants, zones, kinds;  // names as the settings list them
    Millis idle_close = 0;  // servers close connections that have been idle for so long; 0: not told
};
NamedSettings parse_named_settings(const SettingValues& info);

}  // namespace gorsenotch::settings
