// The entry point of libFuzzer. The environment variable GORSENOTCH_FUZZ is the name of the target.
#include <cstdlib>
#include <string>

#include "fuzz/targets.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const auto run = [] {
        const char* name = std::getenv("GORSENOTCH_FUZZ");
        for (const auto& target : gorsenotch::fuzz::targets()) {
            if (name && std::string(name) == target.name) return target.run;
        }
        std::abort();
    }();
    run(std::string_view(reinterpret_cast<const char*>(data), size));
    return 0;
}
