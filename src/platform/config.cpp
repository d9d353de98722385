#include "platform/config.h"

#include <charconv>

#include "net/event_loop.h"

namespace gorsenotch::platform {
namespace {

using Json = nlohmann::json;

std::string plain(const Json& v) {
    if (v.is_string()) return v.get<std::string>();
    return v.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void flatten(const Json& v, const std::string& path, int depth, settings::SettingValues& out) {
    if (depth > 16) throw ConfigError("settings." + path + ": nested too deeply");
    if (v.is_object()) {
        for (const auto& [name, value] : v.items())
            flatten(value, path.empty() ? name : path + "." + name, depth + 1, out);
    } else if (v.is_array() && !v.empty() && v[0].is_object()) {
        out.set(path + ".count", {std::to_string(v.size())});
        for (std::size_t i = 0; i < v.size(); ++i)
            flatten(v[i], path + "." + std::to_string(i), depth + 1, out);
    } else if (v.is_array()) {
        std::vector<std::string> items;
        for (const auto& item : v) items.push_back(plain(item));
        out.set(path, std::move(items));
    } else if (!v.is_null()) {
        out.set(path, {plain(v)});
    }
}

std::string text_at(const Json& v, const char* name, const std::string& absent) {
    const auto it = v.find(name);
    if (it == v.end()) return absent;
    if (!it->is_string()) throw ConfigError(std::string(name) + ": should be text");
    return it->get<std::string>();
}

std::size_t count_at(const Json& limits, const char* name) {
    const auto it = limits.find(name);
    if (it == limits.end()) return 0;
    if (!it->is_number() || it->get<double>() < 0 || it->get<double>() > 1e9)
        throw ConfigError(std::string("limits.") + name + ": should be a number from 0 to 1e9");
    return static_cast<std::size_t>(it->get<double>());
}

void need_address(const char* what, const std::string& address) {
    sockaddr_storage a{};
    if (!net::parse_address(address, a))
        throw ConfigError(std::string(what) + ": '" + address + "' is no address such as 10.0.0.4:5000");
}

}  // namespace

Config parse_config(const std::string& text, const std::string& listen, const std::string& discovery) {
    const Json v = Json::parse(text, nullptr, false);
    if (v.is_discarded() || !v.is_object()) throw ConfigError("the file is not a JSON object");
    Config c;
    c.name = text_at(v, "name", "");
    c.listen = text_at(v, "listen", listen);
    c.discovery = text_at(v, "discovery", discovery);
    need_address("listen", c.listen);
    need_address("discovery", c.discovery);
    if (const auto it = v.find("seed"); it != v.end()) {
        const std::string seed = plain(*it);
        const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
        if (error != std::errc() || end != seed.data() + seed.size())
            throw ConfigError("seed: '" + seed + "' is no hexadecimal number");
    }
    if (const auto it = v.find("limits"); it != v.end() && it->is_object())
        c.memory_mb = count_at(*it, "memory_mb"), c.sockets = count_at(*it, "sockets");
    const auto settings = v.find("settings");
    if (settings == v.end() || !settings->is_object()) throw ConfigError("settings: an object is needed");
    settings::SettingValues info;
    flatten(*settings, "", 0, info);
    try {
        c.named = settings::parse_named_settings(info);
    } catch (const settings::SettingsError& e) {
        throw ConfigError(std::string("settings.") + e.what());
    }
    if (const auto it = v.find("known"); it != v.end() && it->is_object()) c.known = plain(*it);
    return c;
}

}  // namespace gorsenotch::platform
