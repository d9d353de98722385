// Searches in the text that a test has received.
#pragma once

#include <cstddef>
#include <string_view>

namespace gorsenotch::test {

// How often `part` occurs in `text`.
inline std::size_t count_occurrences(std::string_view text, std::string_view part) {
    std::size_t matches = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string_view::npos; ++at) ++matches;
    return matches;
}

}  // namespace gorsenotch::test
