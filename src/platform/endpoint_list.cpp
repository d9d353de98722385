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

double number(const Json& v, const char* name, double absent) {
    const auto it = v.find(name);
    if (it == v.end() || it->is_null()) return absent;
    if (!it->is_number() || !std::isfinite(it->get<double>()))
        throw Bad{std::string(name) + ": should be a number"};
    return it->get<double>();
}

std::string text(const Json& v, const char* name) {
    const auto it = v.find(name);
    if (it == v.end() || !it->is_string()) throw Bad{std::string(name) + ": text is needed"};
    return it->get<std::string>();
}

int index(const std::map<std::string, int>& names, const std::string& name, const char* what) {
    const auto it = names.find(name);
    if (it == names.end()) throw Bad{std::string(what) + ": unknown '" + name + "'"};
    return it->second;
}

DiscoveredEndpoint read_host(const Json& row, const settings::NamedSettings& named) {
    if (!row.is_object()) throw Bad{"should be an object"};
    DiscoveredEndpoint h;
    h.name = text(row, "host");
    const std::string state = text(row, "health");
    Endpoint& s = h.endpoint;
    s.status = state == "up"         ? EndpointStatus::healthy
               : state == "draining" ? EndpointStatus::draining
               : state == "removed"  ? EndpointStatus::removed
                                     : throw Bad{"health: unknown '" + state + "'"};
    if (s.status == EndpointStatus::removed && !row.contains("class")) return h;  // its name is enough
    h.dial_address = text(row, "dial");
    sockaddr_storage a{};
    if (!net::parse_address(h.dial_address, a)) throw Bad{"dial: no address"};
    s.zone = index(named.zones, text(row, "site"), "site");
    s.kind = index(named.kinds, text(row, "class"), "class");
    const double cell = number(row, "block", 0);
    s.cell = cell > 0 && cell < 9e15 ? static_cast<std::uint64_t>(cell) : 0;
    s.weight = number(row, "share", 1);
    h.incarnation = std::max(0.0, number(row, "born_ms", 0));
    return h;
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
        const Json v = Json::parse(body, nullptr, false);
        if (v.is_discarded() || !v.is_object()) throw Bad{"not a JSON object"};
        const auto rows = v.find("hosts");
        if (rows == v.end() || !rows->is_array()) throw Bad{"hosts: a list is needed"};
        const double seq = number(v, "seq", -1);
        if (seq < 0 || seq > 1e15) throw Bad{"seq: a version is needed"};
        const auto version = static_cast<std::uint64_t>(seq);
        const auto form = v.find("whole");
        const bool whole = form != v.end() && form->is_boolean() && form->get<bool>();
        // A list that is older than the one held changes nothing, unless discovery stays with it. Another
        // discovery counts by itself: where its whole list was refused as older, drains that only it tells
        // would be missed.
        const bool first_of_another = source == Source::new_address && whole;
        if (version < version_ && !first_of_another && !(whole && ++older_ >= 3))
            throw Bad{"seq: went back from " + std::to_string(version_) + " to " + std::to_string(version)};
        EndpointUpdate e;
        e.kind = source == Source::cached ? EndpointUpdate::Kind::cached
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
        for (auto& h : read) {
            h.endpoint.id = id_for(h.name);
            if (h.endpoint.status != EndpointStatus::removed)
                h.endpoint.started_at = starts_.on_listed(h.name, h.incarnation, now);
            if (const auto was = before.find(h.endpoint.id); was != before.end())
                h.last_success = was->second.last_success, h.last_failure = was->second.last_failure;
            if (const DiscoveredEndpoint* was = find(h.endpoint.id))
                h.last_success = was->last_success, h.last_failure = was->last_failure;
            e.endpoints.push_back(h.endpoint);
            if (h.endpoint.status == EndpointStatus::removed) {
                endpoints_.erase(h.endpoint.id);
                ids_.erase(h.name);
            } else {
                ids_[h.name] = h.endpoint.id;
                endpoints_[h.endpoint.id] = std::move(h);
            }
        }
        if (whole && source != Source::cached) starts_.on_full_list();
        starts_.forget(endpoints_.size(), now);
        if (whole) std::erase_if(ids_, [&](const auto& id) { return !endpoints_.count(id.second); });
        return e;
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
