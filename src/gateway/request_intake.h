// From an HTTP request of the Messages API to a request for the RequestLifecycle, or to an immediate answer.
// No I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "gateway/request_lifecycle.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::gateway {

// An answer that needs no engine.
struct Reply {
    int status = 200;
    std::string body;
    std::optional<bool> retry;     // x-should-retry
    Millis pause = kNoRetryAfter;  // ms for the header retry-after
};

// A request as the HTTP server has read it.
struct HttpRequest {
    std::string method;
    std::string path;  // without the query
    http::Headers headers;
    std::string body;
};

// Checks what does not need the body: path, method, API key, version. No value: read the body and call
// take().
std::optional<Reply> precheck(const settings::Program& program, const HttpRequest& request,
                              const std::string& id);

// The answer to a request that precheck() let pass, or the request that an engine is to answer. `id` as
// "req_...". NewRequest::client and ::age are the caller's to set.
std::variant<Reply, NewRequest> take(const settings::Program& program, const HttpRequest& request,
                                     const std::string& id);

// An error in the form of the Messages API.
Reply error_reply(int status, const char* type, const std::string& message, const std::string& id);

}  // namespace gorsenotch::gateway
