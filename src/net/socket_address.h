// Parses numeric socket addresses.
#pragma once

#include <sys/socket.h>

#include <string>

namespace gorsenotch::net {

// Parses an address such as "127.0.0.1:80" or "[::1]:80" into `out`. False if `address` has neither form;
// host names are not resolved.
bool parse_address(const std::string& address, sockaddr_storage& out);

}  // namespace gorsenotch::net
