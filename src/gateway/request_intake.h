// From an HTTP request of the Messages API to a request for the Core, or to an answer at once. No I/O.
#pragma once

#include <optional>
#include <variant>

#include "gateway/request_lifecycle.h"

namespace gorsenotch::gateway {

struct Reply {  // an answer that needs no engine
    int status = 200;
    std::string body;
    std::optional<bool> retry;  // x-should-retry
    Millis pause = -1;          // retry-after; below 0: none
};

struct HttpRequest {
    std::string method, path;  // without the query
    http::Headers headers;
    std::string body;
};

// Checks all that does not need the body: path, method, key, version. Null: go on to take().
std::optional<Reply> precheck(const settings::Program& program, const HttpRequest& request,
                              const std::string& id);

// `id` as "req_...". A NewRequest's client is left to the caller.
std::variant<Reply, NewRequest> take(const settings::Program& program, const HttpRequest& request,
                                     const std::string& id);

Reply error_reply(int status, const char* type, const std::string& message, const std::string& id);

}  // namespace gorsenotch::gateway
