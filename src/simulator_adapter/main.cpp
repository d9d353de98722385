// The simulator's router process: reads messages from standard input and writes replies to standard output.
// The exit status is 2 on malformed input and 0 at the end of the input.
#include <iostream>

#include "simulator_adapter/wire.h"

constexpr int kExitMalformedInput = 2;

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        gorsenotch::simulator_adapter::Session(std::cin, std::cout).run();
    } catch (const gorsenotch::simulator_adapter::WireError& error) {
        std::cerr << "gorsenotch_simulator_adapter: " << error.what() << '\n';
        return kExitMalformedInput;
    }
    return 0;
}
