#include "net/socket_address.h"

#include <netinet/in.h>
#include <uv.h>

#include <charconv>
#include <cstring>

namespace gorsenotch::net {

constexpr int kMaxPort = 65535;

bool parse_address(const std::string& address, sockaddr_storage& out) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) return false;
    const std::string host = address.substr(0, colon);
    int port = -1;
    const char* end = address.data() + address.size();
    const auto [at, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || at != end || port < 0 || port > kMaxPort) return false;
    std::memset(&out, 0, sizeof out);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return uv_ip6_addr(host.substr(1, host.size() - 2).c_str(), port,
                           reinterpret_cast<sockaddr_in6*>(&out)) == 0;
    }
    return uv_ip4_addr(host.c_str(), port, reinterpret_cast<sockaddr_in*>(&out)) == 0;
}

}  // namespace gorsenotch::net
