#include <iostream>

#include "simulator_adapter/wire.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        gorsenotch::simulator_adapter::Host(std::cin, std::cout).run();
    } catch (const gorsenotch::simulator_adapter::WireError& error) {
        std::cerr << "gorsenotch_simulator_adapter: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
