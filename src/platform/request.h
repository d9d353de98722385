// From the head of a client's request to what the Router and the endpoints need, or the error that the client
// gets. No I/O, no state.
#pragma once

#include <string>
#include <variant>

#include "gorsenotch/events.h"
#include "http/parser.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

// The error that a request is answered with.
struct Refusal {
    int status = 400;
    std::string why;  // names the header
};

// A request of a client's.
struct Inbound {
    Arrival arrival;   // without request id; its deadline is still the time that the client waits, in ms
    std::string txn;   // the client's id
    std::string head;  // what endpoints get of it: the request line and headers, each line ended
    std::string body;
};

constexpr std::size_t kMaxBody = std::size_t{256} * 1024;  // bytes
constexpr std::string_view kPath = "/v1/chat/completions";
constexpr std::string_view kReady = "/-/ready";  // the readiness check

// `parser`: one that has read the headers of a request. An error is returned as the Refusal of the first
// fault.
std::variant<Refusal, Inbound> read_head(const settings::NamedSettings& named, const http::Parser& parser);

}  // namespace gorsenotch::platform
