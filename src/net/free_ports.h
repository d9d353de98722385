// Ports for processes that are started later, as stand-ins and gateways of a day are.
#pragma once

#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

// `count` ports of the address `host` that nobody listens on now. Empty where the system gives none. Nothing
// keeps them: the address is to be one that no other program uses.
std::vector<int> free_ports(EventLoop& loop, const std::string& host, std::size_t count);

}  // namespace gorsenotch::net
