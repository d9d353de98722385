#include "platform/endpoint_list.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "settings/text_values.h"

namespace gorsenotch::platform {
namespace {

using Json = nlohmann::json;

constexpr double kNoVersion = -1;
constexpr double kMaxVersion = 1e15;
constexpr double kMaxCell = 9e15;
// After this many consecutive full lists of a lower version, the lower version is accepted as current.
constexpr int kMinOlderListsToAccept = 3;

// Thrown to reject a list; the message gives the path of the field and the fault.
struct ListError {
    std::string message;
};

double number_field(const Json& json, const char* name, double default_value) {
    const auto it = json.find(name);
    if (it == json.end() || it->is_null()) return default_value;
    if (!it->is_number() || !std::isfinite(it->get<double>()))
        throw ListError{std::string(name) + ": expected a finite number"};
    return it->get<double>();
}

std::string text_field(const Json& json, const char* name) {
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) throw ListError{std::string(name) + ": expected a string"};
    return it->get<std::string>();
}

int index_field(const std::map<std::string, int>& names, const std::string& name, const char* field) {
    const auto it = names.find(name);
    if (it == names.end()) throw ListError{std::string(field) + ": unknown '" + name + "'"};
    return it->second;
}

// The endpoint status for a value of discovery's `health` field.
EndpointStatus parse_status(const std::string& health) {
    if (health == "up") return EndpointStatus::healthy;
    if (health == "draining") return EndpointStatus::draining;
    if (health == "removed") return EndpointStatus::removed;
    throw ListError{"health: unknown '" + health + "'"};
}

DiscoveredEndpoint read_row(const Json& row, const settings::NamedSettings& named) {
    DiscoveredEndpoint discovered;
    discovered.name = text_field(row, "host");
    Endpoint& endpoint = discovered.endpoint;
    endpoint.status = parse_status(text_field(row, "health"));
    // A removed endpoint needs no more than its name.
    if (endpoint.status == EndpointStatus::removed && !row.contains("class")) return discovered;
    discovered.dial_address = text_field(row, "dial");
    sockaddr_storage storage{};
    if (!net::parse_address(discovered.dial_address, storage))
        throw ListError{"dial: expected an address such as 10.0.0.4:5000, got '" +
                        settings::escape_value(discovered.dial_address) + "'"};
    endpoint.zone = index_field(named.zones, text_field(row, "site"), "site");
    endpoint.kind = index_field(named.kinds, text_field(row, "class"), "class");
    const double cell = number_field(row, "block", 0);
    endpoint.cell = cell > 0 && cell < kMaxCell ? static_cast<std::uint64_t>(cell) : 0;
    endpoint.weight = number_field(row, "share", 1);
    discovered.incarnation = std::max(0.0, number_field(row, "born_ms", 0));
    return discovered;
}

std::vector<DiscoveredEndpoint> read_rows(const Json& rows, const settings::NamedSettings& named) {
    std::vector<DiscoveredEndpoint> endpoints;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const std::string path = "hosts[" + std::to_string(i) + "]";
        if (!rows[i].is_object()) throw ListError{path + ": expected an object"};
        try {
            endpoints.push_back(read_row(rows[i], named));
        } catch (const ListError& error) {
            throw ListError{path + "." + error.message};
        }
    }
    return endpoints;
}

struct ParsedList {
    std::uint64_t version = 0;
    bool full = false;  // contains all endpoints; else only changes
    std::vector<DiscoveredEndpoint> endpoints;
};

EndpointUpdate::Kind update_kind(EndpointList::Source source, bool full) {
    if (source == EndpointList::Source::cached) return EndpointUpdate::Kind::cached;
    return full ? EndpointUpdate::Kind::full : EndpointUpdate::Kind::incremental;
}

}  // namespace

// A hash of the name, so that the id is the same at every gateway: prefix affinity chooses cells by it.
EndpointId EndpointList::id_for(const std::string& name) {
    if (const auto it = ids_.find(name); it != ids_.end()) return it->second;
    EndpointId id = XXH32(name.data(), name.size(), 0);
    while (endpoints_.count(id)) ++id;
    return id;
}

// Rejects a list that is older than the current one, unless discovery keeps sending it. The first full list
// from a new discovery address is exempt, because its versions are independent: rejecting it as older would
// miss drains that only it lists.
void EndpointList::check_version(std::uint64_t version, bool full, Source source) {
    const bool first_from_new_address = source == Source::new_address && full;
    if (version >= version_ || first_from_new_address) return;
    if (full && ++older_lists_ >= kMinOlderListsToAccept) return;
    throw ListError{"seq: version went back from " + std::to_string(version_) + " to " +
                    std::to_string(version)};
}

std::optional<EndpointUpdate> EndpointList::apply(const std::string& body, Source source, Millis now,
                                                  std::string& rejection) {
    try {
        const Json json = Json::parse(body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) throw ListError{"expected a JSON object"};
        const auto rows = json.find("hosts");
        if (rows == json.end() || !rows->is_array()) throw ListError{"hosts: expected an array"};
        const double seq = number_field(json, "seq", kNoVersion);
        if (seq < 0 || seq > kMaxVersion) throw ListError{"seq: expected a version from 0 to 1e15"};
        ParsedList list;
        list.version = static_cast<std::uint64_t>(seq);
        const auto full = json.find("whole");
        list.full = full != json.end() && full->is_boolean() && full->get<bool>();
        check_version(list.version, list.full, source);
        list.endpoints = read_rows(*rows, named_);
        version_ = list.version;
        return apply(std::move(list.endpoints), list.full, source, now);
    } catch (const ListError& error) {
        rejection = error.message;
        return std::nullopt;
    }
}

EndpointUpdate EndpointList::apply(std::vector<DiscoveredEndpoint> listed, bool full, Source source,
                                   Millis now) {
    EndpointUpdate update;
    update.kind = update_kind(source, full);
    older_lists_ = 0;
    std::map<EndpointId, DiscoveredEndpoint> before;
    if (full) before.swap(endpoints_);
    for (DiscoveredEndpoint& discovered : listed) {
        Endpoint& endpoint = discovered.endpoint;
        endpoint.id = id_for(discovered.name);
        if (endpoint.status != EndpointStatus::removed)
            endpoint.started_at = incarnations_.on_listed(discovered.name, discovered.incarnation, now);
        if (const auto previous = before.find(endpoint.id); previous != before.end())
            discovered.copy_evidence(previous->second);
        if (const DiscoveredEndpoint* previous = find(endpoint.id)) discovered.copy_evidence(*previous);
        update.endpoints.push_back(endpoint);
        if (endpoint.status == EndpointStatus::removed) {
            endpoints_.erase(endpoint.id);
            ids_.erase(discovered.name);
        } else {
            ids_[discovered.name] = endpoint.id;
            endpoints_[endpoint.id] = std::move(discovered);
        }
    }
    if (full && source != Source::cached) incarnations_.on_full_list();
    incarnations_.drop_unlisted(endpoints_.size(), now);
    if (full) std::erase_if(ids_, [&](const auto& entry) { return !endpoints_.count(entry.second); });
    return update;
}

DiscoveredEndpoint* EndpointList::find(EndpointId id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace gorsenotch::platform
