// Free ports for processes that are started later, such as the fake engines and gateways of a fault scenario.
#pragma once

#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

// Returns `count` distinct ports of the address `host` on which nothing listens; empty if the system provides
// too few. The ports are not reserved, so `host` must be an address that no other program listens on.
std::vector<int> free_ports(EventLoop& loop, const std::string& host, std::size_t count);

}  // namespace gorsenotch::net
