#include "net/ports.h"

namespace gorsenotch::net {

std::vector<int> free_ports(Loop& loop, const std::string& host, std::size_t count) {
    std::vector<int> ports;
    while (ports.size() < count) {
        Listener listener(loop);
        if (listener.listen(host + ":0") != 0) return {};
        ports.push_back(listener.port());
    }
    return ports;
}

}  // namespace gorsenotch::net
