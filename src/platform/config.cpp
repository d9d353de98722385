#include "platform/config.h"

#include <charconv>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "settings/text_values.h"

namespace gorsenotch::platform {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 16;      // of nested settings
constexpr double kMaxLimit = 1e9;  // for a number in `limits`

std::string to_text(const Json& json) {
    if (json.is_string()) return json.get<std::string>();
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void flatten(const Json& json, const std::string& path, int depth, settings::SettingValues& values) {
    if (depth > kMaxDepth) throw ConfigError("settings." + path + ": nested deeper than 16 levels");
    if (json.is_object()) {
        const std::string prefix = path.empty() ? "" : path + ".";
        for (const auto& [name, value] : json.items()) flatten(value, prefix + name, depth + 1, values);
    } else if (json.is_array() && !json.empty() && json[0].is_object()) {
        values.set(path + ".count", {std::to_string(json.size())});
        for (std::size_t i = 0; i < json.size(); ++i)
            flatten(json[i], path + "." + std::to_string(i), depth + 1, values);
    } else if (json.is_array()) {
        std::vector<std::string> items;
        for (const auto& item : json) items.push_back(to_text(item));
        values.set(path, std::move(items));
    } else if (!json.is_null()) {
        values.set(path, {to_text(json)});
    }
}

std::string text_at(const Json& json, const char* name, const std::string& default_value) {
    const auto it = json.find(name);
    if (it == json.end()) return default_value;
    if (!it->is_string()) throw ConfigError(std::string(name) + ": expected a string");
    return it->get<std::string>();
}

std::size_t count_at(const Json& limits, const char* name) {
    const auto it = limits.find(name);
    if (it == limits.end()) return 0;
    if (!it->is_number() || it->get<double>() < 0 || it->get<double>() > kMaxLimit)
        throw ConfigError(std::string("limits.") + name + ": expected a number from 0 to 1e9");
    return static_cast<std::size_t>(it->get<double>());
}

void require_address(const char* name, const std::string& address) {
    sockaddr_storage storage{};
    if (!net::parse_address(address, storage))
        throw ConfigError(std::string(name) + ": '" + address + "' is not an address such as 10.0.0.4:5000");
}

}  // namespace

Config parse_config(const std::string& text, const std::string& listen, const std::string& discovery) {
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object())
        throw ConfigError("expected the file to contain a JSON object");
    Config config;
    config.name = text_at(json, "name", "");
    config.listen = text_at(json, "listen", listen);
    config.discovery = text_at(json, "discovery", discovery);
    require_address("listen", config.listen);
    require_address("discovery", config.discovery);
    if (const auto it = json.find("seed"); it != json.end()) {
        const std::string seed = to_text(*it);
        const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
        if (error != std::errc() || end != seed.data() + seed.size())
            throw ConfigError("seed: expected a hexadecimal number of up to 64 bits, got '" +
                              settings::escape_value(seed) + "'");
    }
    if (const auto it = json.find("limits"); it != json.end() && it->is_object()) {
        config.memory_mb = count_at(*it, "memory_mb");
        config.sockets = count_at(*it, "sockets");
    }
    const auto settings = json.find("settings");
    if (settings == json.end() || !settings->is_object()) throw ConfigError("settings: expected an object");
    settings::SettingValues values;
    flatten(*settings, "", 0, values);
    try {
        config.named = settings::parse_named_settings(values);
    } catch (const settings::SettingsError& error) {
        throw ConfigError(std::string("settings.") + error.what());
    }
    if (const auto it = json.find("known"); it != json.end() && it->is_object())
        config.cached_list = to_text(*it);
    return config;
}

}  // namespace gorsenotch::platform
