// An HTTP request to an engine, without the headers Host, Connection and Content-Length, which the connection
// pool adds.
#pragma once

#include <string>

#include "http/parser.h"

namespace gorsenotch::proxy {

struct UpstreamRequest {
    std::string method;
    std::string target;
    http::Headers headers;
    std::string body;
};

}  // namespace gorsenotch::proxy
