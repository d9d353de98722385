// Converts the platform's settings, such as `LetGoByMs`, to the Router's Settings. For the simulator's
// adapter and `gorsenotch node` only; `gorsenotch serve` reads an XML file, see settings/settings.h. Both
// formats (the simulator's pairs and the node's JSON configuration) are first converted to SettingValues, so
// that the mapping exists only once, in the source file of this header. Units: as the settings' names say;
// times become ms. Errors: SettingsError names the setting.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gorsenotch/settings.h"

namespace gorsenotch::settings {

// Thrown for a setting that cannot be parsed; the message names the setting.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Values by path, such as `Lanes.0.Name`. A list of plain values is one value of several items; the length of
// a list of objects is stored under `.count`. number_or() and flag() take the value "-" as absent, the others
// do not.
class SettingValues {
public:
    void set(const std::string& path, std::vector<std::string> items) { values_[path] = std::move(items); }
    // Whether the path was set, to whatever value.
    bool has(const std::string& path) const { return values_.count(path) > 0; }
    // Returns `fallback` if absent. Throws SettingsError if the value is not a number.
    double number_or(const std::string& path, double fallback) const;
    // Returns false if absent. Throws SettingsError if the value is not a boolean.
    bool flag(const std::string& path) const;
    // Returns `fallback` if absent.
    std::string text(const std::string& path, const std::string& fallback) const;
    // Returns an empty list if absent. The reference is valid until the values change.
    const std::vector<std::string>& list(const std::string& path) const;

private:
    std::map<std::string, std::vector<std::string>> values_;
};

// Settings, with the names of the classes, tenants, zones and kinds that they refer to by index.
struct NamedSettings {
    Settings settings;
    std::map<std::string, int> classes, tenants, zones, kinds;  // index by name
    Millis idle_close = 0;  // endpoints close connections that have been idle for this time; 0: unknown
};
// Throws SettingsError. Contradictory settings are rejected by the Router, not here.
NamedSettings parse_named_settings(const SettingValues& values);

}  // namespace gorsenotch::settings
