#include "platform/endpoint_list.h"

#include <xxhash.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "net/event_loop.h"

namespace gorsenotch::platform {
namespace {

using Json = nlohmann::json;

struct Bad {
    std::string why;
};

double number(const Json& json, const char* name, double absent) {
    const auto it = json.find(name);
    if (it == json.end() || it->is_null()) return absent;
    if (!it->is_number() || !std::isfinite(it->get<double>()))
        throw Bad{std::string(name) + ": should be a number"};
    return it->get<double>();
}

std::string text(const Json& json, const char* name) {
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) throw Bad{std::string(name) + ": text is needed"};
    return it->get<std::string>();
}

int index(const std::map<std::string, int>& names, const std::string& name, const char* what) {
    const auto it = names.find(name);
    if (it == names.end()) throw Bad{std::string(what) + ": unknown '" + name + "'"};
    return it->second;
}

DiscoveredEndpoint read_host(const Json& row, const settings::NamedSettings& named) {
    if (!row.is_object()) throw Bad{"should be an object"};
    DiscoveredEndpoint endpoint;
    endpoint.name = text(row, "host");
    const std::string state = text(row, "health");
    Endpoint& s = endpoint.endpoint;
    s.status = state == "up"         ? EndpointStatus::healthy
               : state == "draining" ? EndpointStatus::draining
               : state == "removed"  ? EndpointStatus::removed
                                     : throw Bad{"health: unknown '" + state + "'"};
    if (s.status == EndpointStatus::removed && !row.contains("class")) return endpoint;  // its name is enough
    endpoint.dial_address = text(row, "dial");
    sockaddr_storage storage{};
    if (!net::parse_address(endpoint.dial_address, storage)) throw Bad{"dial: no address"};
    s.zone = index(named.zones, text(row, "site"), "site");
    s.kind = index(named.kinds, text(row, "class"), "class");
    const double cell = number(row, "block", 0);
    s.cell = cell > 0 && cell < 9e15 ? static_cast<std::uint64_t>(cell) : 0;
    s.weight = number(row, "share", 1);
    endpoint.incarnation = std::max(0.0, number(row, "born_ms", 0));
    return endpoint;
}

}  // namespace

// The same at every gateway, as the homes of prompts are chosen by it.
EndpointId EndpointList::id_for(const std::string& name) {
    if (const auto it = ids_.find(name); it != ids_.end()) return it->second;
    EndpointId id = XXH32(name.data(), name.size(), 0);
    while (endpoints_.count(id)) ++id;
    return id;
}

std::optional<EndpointUpdate> EndpointList::take(const std::string& body, Source source, Millis now,
                                                 std::string& why) {
    try {
        const Json json = Json::parse(body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) throw Bad{"not a JSON object"};
        const auto rows = json.find("hosts");
        if (rows == json.end() || !rows->is_array()) throw Bad{"hosts: a list is needed"};
        const double seq = number(json, "seq", -1);
        if (seq < 0 || seq > 1e15) throw Bad{"seq: a version is needed"};
        const auto version = static_cast<std::uint64_t>(seq);
        const auto form = json.find("whole");
        const bool whole = form != json.end() && form->is_boolean() && form->get<bool>();
        // A list that is older than the one held changes nothing, unless discovery stays with it. Another
        // discovery counts by itself: where its whole list was refused as older, drains that only it tells
        // would be missed.
        const bool first_of_another = source == Source::new_address && whole;
        if (version < version_ && !first_of_another && !(whole && ++older_ >= 3))
            throw Bad{"seq: went back from " + std::to_string(version_) + " to " + std::to_string(version)};
        EndpointUpdate update;
        update.kind = source == Source::cached ? EndpointUpdate::Kind::cached
                      : whole                  ? EndpointUpdate::Kind::full
                                               : EndpointUpdate::Kind::incremental;
        std::vector<DiscoveredEndpoint> read;
        for (std::size_t i = 0; i < rows->size(); ++i) {
            try {
                read.push_back(read_host((*rows)[i], named_));
            } catch (const Bad& b) {
                throw Bad{"hosts[" + std::to_string(i) + "]." + b.why};
            }
        }
        // All of it is good: taken from here on.
        older_ = 0, version_ = version;
        std::map<EndpointId, DiscoveredEndpoint> before;
        if (whole) before.swap(endpoints_);
        for (auto& endpoint : read) {
            endpoint.endpoint.id = id_for(endpoint.name);
            if (endpoint.endpoint.status != EndpointStatus::removed)
                endpoint.endpoint.started_at = starts_.on_listed(endpoint.name, endpoint.incarnation, now);
            if (const auto was = before.find(endpoint.endpoint.id); was != before.end())
                endpoint.last_success = was->second.last_success,
                endpoint.last_failure = was->second.last_failure;
            if (const DiscoveredEndpoint* was = find(endpoint.endpoint.id))
                endpoint.last_success = was->last_success, endpoint.last_failure = was->last_failure;
            update.endpoints.push_back(endpoint.endpoint);
            if (endpoint.endpoint.status == EndpointStatus::removed) {
                endpoints_.erase(endpoint.endpoint.id);
                ids_.erase(endpoint.name);
            } else {
                ids_[endpoint.name] = endpoint.endpoint.id;
                endpoints_[endpoint.endpoint.id] = std::move(endpoint);
            }
        }
        if (whole && source != Source::cached) starts_.on_full_list();
        starts_.forget(endpoints_.size(), now);
        if (whole) std::erase_if(ids_, [&](const auto& id) { return !endpoints_.count(id.second); });
        return update;
    } catch (const Bad& b) {
        why = b.why;
        return std::nullopt;
    }
}

DiscoveredEndpoint* EndpointList::find(EndpointId id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace gorsenotch::platform
