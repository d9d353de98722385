// From the head of a client's request to what the Router and the engines need, or the error it gets. No I/O.
#pragma once

#include <string>
#include <variant>

#include "http/parser.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

struct Refusal {
    int status = 400;
    std::string why;  // names the header
};

struct Inbound {
    Arrival arrival;   // without request id; its deadline is still what the client said it waits, in ms
    std::string txn;   // the client's id
    std::string head;  // what engines get of it: the request line and headers, each line ended
    std::string body;
};

constexpr std::size_t kMaxBody = 256 * 1024;
constexpr std::string_view kPath = "/v1/chat/completions", kReady = "/-/ready";

// `r`: a request whose headers have been read.
std::variant<Refusal, Inbound> read_head(const settings::NamedSettings& named, const http::Parser& parser);

}  // namespace gorsenotch::platform
