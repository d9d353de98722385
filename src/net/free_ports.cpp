#include "net/free_ports.h"

#include <memory>

namespace gorsenotch::net {

std::vector<int> free_ports(EventLoop& loop, const std::string& host, std::size_t count) {
    // All are held until the last is chosen. Guards against two that are the same.
    std::vector<std::unique_ptr<TcpListener>> held;
    std::vector<int> ports;
    while (ports.size() < count) {
        held.push_back(std::make_unique<TcpListener>(loop));
        if (held.back()->listen(host + ":0") != 0) return {};
        ports.push_back(held.back()->port());
    }
    return ports;
}

}  // namespace gorsenotch::net
