// Numeric socket addresses as text.
#pragma once

#include <sys/socket.h>

#include <string>

namespace gorsenotch::net {

// Reads "127.0.0.1:80" or "[::1]:80" into `out`. False if `address` is neither; names are not resolved.
bool parse_address(const std::string& address, sockaddr_storage& out);

}  // namespace gorsenotch::net
