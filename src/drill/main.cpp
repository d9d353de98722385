#include <iostream>

#include "drill/wire.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        gorsenotch::drill::Host(std::cin, std::cout).run();
    } catch (const gorsenotch::drill::WireError& e) {
        std::cerr << "gorsenotch_drill: " << e.what() << '\n';
        return 2;
    }
    return 0;
}
