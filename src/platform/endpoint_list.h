// The endpoint list: parses the JSON text of discovery and produces updates for the Router. No I/O.
//
// The field names of discovery's protocol (`hosts`, `seq`, `whole`, `health`, ...) are used only in the
// source of this module.
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

// An endpoint as listed, and the evidence of whether it answers.
struct DiscoveredEndpoint {
    Endpoint endpoint;
    std::string name;
    std::string dial_address;
    double incarnation = 0;  // as listed: its start in ms on the wall clock; 0: long ago
    // When it last answered and when it last failed to answer, in ms on the monotonic clock; set by the
    // modules that send to it.
    Millis last_success = -1e18;
    Millis last_failure = -1e18;

    // Copies the evidence from an earlier listing of the same endpoint.
    void copy_evidence(const DiscoveredEndpoint& other) {
        last_success = other.last_success;
        last_failure = other.last_failure;
    }
};

// Ownership: the listed endpoints, and the ids of their names. Pointers from find() stay valid until the next
// apply(). Times: an endpoint's start is on the monotonic clock, see control/endpoint_incarnation; an
// incarnation always keeps the same start time, so that it is never mistaken for a new one. Errors: text that
// is malformed, or older than the current list, changes no endpoint, and the reason is returned. Threading:
// one thread.
class EndpointList {
public:
    // `clock_offset`: ms to add to Unix time to get the monotonic clock's time, assuming a correct wall
    // clock.
    EndpointList(const settings::NamedSettings& named, Millis clock_offset)
        : named_(named), incarnations_(clock_offset) {}

    // The source of a text: the list cached in the configuration, the same discovery address as before, or
    // another one.
    enum class Source { cached, same_address, new_address };
    // Applies a full list or changes. Returns the update for the Router, or nothing and the reason in
    // `rejection`.
    std::optional<EndpointUpdate> apply(const std::string& text, Source source, Millis now,
                                        std::string& rejection);
    // The version of the current list.
    std::uint64_t version() const { return version_; }
    // Null if the endpoint is not listed.
    DiscoveredEndpoint* find(EndpointId id);
    // All listed endpoints.
    std::map<EndpointId, DiscoveredEndpoint>& all() { return endpoints_; }

private:
    EndpointId id_for(const std::string& name);
    void check_version(std::uint64_t version, bool full, Source source);
    EndpointUpdate apply(std::vector<DiscoveredEndpoint> listed, bool full, Source source, Millis now);

    const settings::NamedSettings& named_;
    control::EndpointIncarnations incarnations_;
    std::map<EndpointId, DiscoveredEndpoint> endpoints_;
    std::map<std::string, EndpointId> ids_;
    std::uint64_t version_ = 0;
    int older_lists_ = 0;  // consecutive full lists of a lower version
};

}  // namespace gorsenotch::platform
