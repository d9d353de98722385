// Parses the head of a client's request into what the Router and the endpoints need, or into the error for
// the client. No I/O, no state.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "control/memory_budget.h"
#include "gorsenotch/events.h"
#include "http/parser.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::platform {

// The error with which a request is answered.
struct RequestError {
    int status = 400;
    std::string message;  // names the header, if one is at fault
};

// A client's request.
struct Inbound {
    Arrival arrival;   // without request id; its deadline is still relative: the ms that the client will wait
    std::string txn;   // the client's transaction id
    std::string head;  // the forwarded part: request line and headers, each line terminated
    std::string body;
    control::MemoryCharge memory;  // for the record, head and body
};

// A request's body, with the memory that it is charged for. Shared by the request and the connections that
// have to send it; freed with the last of them.
struct RequestBody {
    RequestBody(std::string body, control::MemoryCharge charge)
        : text(std::move(body)), memory(std::move(charge)) {}

    const std::string text;
    const control::MemoryCharge memory;
};

// The platform's limit on bodies, of requests and of responses.
constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kReadinessPath = "/-/ready";

// Reads the head of a request. `parser` has parsed the request's headers. Returns the error for the first
// fault if the request is invalid.
std::variant<RequestError, Inbound> read_head(const settings::NamedSettings& named,
                                              const http::Parser& parser);

}  // namespace gorsenotch::platform
