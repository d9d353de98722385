// Ports for processes that are started later, such as the fake engines and gateways of a fault scenario.
#pragma once

#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

// `count` ports of the address `host` that nobody listens on now. Empty where the system gives none. Nothing
// keeps them, so `host` must be an address that no other program listens on.
std::vector<int> free_ports(EventLoop& loop, const std::string& host, std::size_t count);

}  // namespace gorsenotch::net
