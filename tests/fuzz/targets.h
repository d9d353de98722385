// What is fuzzed: each parser of bytes that come from outside, with the properties that must hold for any
// bytes. A target ends the process where one does not. Run by libFuzzer (scripts/fuzz) and, over the corpus
// that is kept here, by the tests.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace gorsenotch::fuzz {

struct Target {
    const char* name;  // of its folder in tests/fuzz/corpus
    void (*run)(std::string_view bytes);
};
const std::vector<Target>& targets();

}  // namespace gorsenotch::fuzz
