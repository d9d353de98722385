// Turns an HTTP request of the Messages API into a request for the RequestLifecycle or an immediate reply.
// Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "gateway/request_lifecycle.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::gateway {

// A response that is produced without an engine.
struct Reply {
    int status = 200;
    std::string body;
    std::optional<bool> should_retry;    // value of the x-should-retry header; none: no header
    Millis retry_after = kNoRetryAfter;  // for the retry-after header, see Client::send_complete()
};

// A request as read by the HTTP server.
struct HttpRequest {
    std::string method;
    std::string path;  // without the query string
    http::Headers headers;
    std::string body;
};

// Checks what does not need the body: path, method, API key and API version. Returns an error reply, or no
// value if the body is to be read and accept_request() called.
std::optional<Reply> precheck(const settings::ProgramSettings& program, const HttpRequest& request,
                              const std::string& id);

// Handles a request that has passed precheck(): returns an immediate reply, or the request for an engine.
// `id` has the form "req_...". The caller sets NewRequest::client and NewRequest::age.
std::variant<Reply, NewRequest> accept_request(const settings::ProgramSettings& program,
                                               const HttpRequest& request, const std::string& id);

// An error reply in the format of the Messages API.
Reply error_reply(int status, const char* type, const std::string& message, const std::string& id);

}  // namespace gorsenotch::gateway
