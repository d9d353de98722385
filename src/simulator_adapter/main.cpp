// The simulator's router process: reads its wire from standard input, answers on standard output. Exit status
// 2 on malformed input, 0 when the input ends.
#include <iostream>

#include "simulator_adapter/wire.h"

constexpr int kMalformedInput = 2;

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        gorsenotch::simulator_adapter::Session(std::cin, std::cout).run();
    } catch (const gorsenotch::simulator_adapter::WireError& error) {
        std::cerr << "gorsenotch_simulator_adapter: " << error.what() << '\n';
        return kMalformedInput;
    }
    return 0;
}
