// An HTTP request to an engine, but for Host and Connection, which the connection pool adds.
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
