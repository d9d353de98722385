// The list of model servers in discovery's form: text in, list events out. No I/O.
//
// Times: starts on the monotonic clock, see control/endpoint_incarnation; one always has the same value and
// is never taken for a new one. Errors: bad text changes nothing and gives the reason.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/endpoint_incarnation.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

struct DiscoveredEndpoint {
    Endpoint endpoint;
    std::string name, dial_address;
    double incarnation = 0;                             // as listed: ms on the wall clock, 0 long ago
    Millis last_success = -1e18, last_failure = -1e18;  // when it last answered, and when it last did not
};

class EndpointList {
public:
    // `offset`: what is added to Unix ms to get the monotonic clock's, as far as the wall clock is right.
    EndpointList(const settings::NamedSettings& named, Millis offset) : named_(named), starts_(offset) {}

    // Where a text comes from: as last held, the same discovery as before, or one at another address.
    enum class Source { cached, same_address, new_address };
    // Takes a list or changes; the event for the Router, or nothing and why.
    std::optional<EndpointUpdate> take(const std::string& text, Source source, Millis now, std::string& why);
    std::uint64_t version() const { return version_; }
    DiscoveredEndpoint* find(EndpointId id);
    std::map<EndpointId, DiscoveredEndpoint>& all() { return endpoints_; }

private:
    EndpointId id_for(const std::string& name);

    const settings::NamedSettings& named_;
    control::EndpointIncarnations starts_;
    std::map<EndpointId, DiscoveredEndpoint> endpoints_;  // those listed
    std::map<std::string, EndpointId> ids_;
    std::uint64_t version_ = 0;
    int older_ = 0;  // whole lists of a lower version, one after another
};

}  // namespace gorsenotch::platform
