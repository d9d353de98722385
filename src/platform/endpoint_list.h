// The list of endpoints in discovery's form: text in, updates for the Router out. No I/O.
//
// The words of discovery's wire (`hosts`, `seq`, `whole`, `health`, ...) appear in the source of this file
// alone.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/endpoint_incarnation.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

// An endpoint as listed, and what is known of whether it answers.
struct DiscoveredEndpoint {
    Endpoint endpoint;
    std::string name;
    std::string dial_address;
    double incarnation = 0;  // as listed: ms on the wall clock at its start, 0 long ago
    // When it last answered and when it last did not, ms on the monotonic clock; set by whoever sends to it.
    Millis last_success = -1e18;
    Millis last_failure = -1e18;

    void copy_evidence(const DiscoveredEndpoint& other) {
        last_success = other.last_success;
        last_failure = other.last_failure;
    }
};

// Ownership: the endpoints that are listed, and the ids of their names. Pointers from find() stay valid until
// the next take(). Times: an endpoint's start is on the monotonic clock, see control/endpoint_incarnation;
// one start always has the same value and is never taken for a new one. Errors: text that cannot be read, or
// is older than the list in force, changes no endpoint and gives the reason. Threading: one thread.
class EndpointList {
public:
    // `offset`: what is added to Unix ms to get the monotonic clock's, as far as the wall clock is right.
    EndpointList(const settings::NamedSettings& named, Millis offset) : named_(named), starts_(offset) {}

    // Where a text comes from: the configuration's copy of the last list, the same discovery as before, or
    // one at another address.
    enum class Source { cached, same_address, new_address };
    // Takes a list or changes to it. Returns the update for the Router, or nothing and the reason in `why`.
    std::optional<EndpointUpdate> take(const std::string& text, Source source, Millis now, std::string& why);
    std::uint64_t version() const { return version_; }
    DiscoveredEndpoint* find(EndpointId id);
    std::map<EndpointId, DiscoveredEndpoint>& all() { return endpoints_; }

private:
    EndpointId id_for(const std::string& name);
    void check_version(std::uint64_t version, bool full, Source source);
    EndpointUpdate apply(std::vector<DiscoveredEndpoint> listed, bool full, Source source, Millis now);

    const settings::NamedSettings& named_;
    control::EndpointIncarnations starts_;
    std::map<EndpointId, DiscoveredEndpoint> endpoints_;  // those listed
    std::map<std::string, EndpointId> ids_;
    std::uint64_t version_ = 0;
    int older_lists_ = 0;  // full lists of a lower version, one after another
};

}  // namespace gorsenotch::platform
