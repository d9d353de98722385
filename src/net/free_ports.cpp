#include "net/free_ports.h"

#include <memory>

#include "net/tcp_listener.h"

namespace gorsenotch::net {

std::vector<int> free_ports(EventLoop& loop, const std::string& host, std::size_t count) {
    // All listeners stay open until the last port is known, so that the ports differ.
    std::vector<std::unique_ptr<TcpListener>> listeners;
    std::vector<int> ports;
    while (ports.size() < count) {
        listeners.push_back(std::make_unique<TcpListener>(loop));
        if (listeners.back()->listen(host + ":0") != 0) return {};
        ports.push_back(listeners.back()->port());
    }
    return ports;
}

}  // namespace gorsenotch::net
