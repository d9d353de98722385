// Fuzz targets: one for each parser of untrusted input, with the properties that must hold for any input. A
// target aborts the process if a property is violated. The targets are run by libFuzzer (scripts/fuzz) and,
// with the committed corpus, by the tests.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace gorsenotch::fuzz {

struct Target {
    const char* name;  // also of its directory in tests/fuzz/corpus
    void (*run)(std::string_view bytes);
};
// All fuzz targets.
const std::vector<Target>& targets();

}  // namespace gorsenotch::fuzz
