// The parser of untrusted JSON: bodies of clients and responses of engines. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace gorsenotch::api {

using Json = nlohmann::json;

// The limits of parse_json() where no others are given. A value takes up to about 100 bytes of memory,
// however short its text is.
constexpr int kMaxJsonDepth = 64;
constexpr std::size_t kMaxJsonValues = std::size_t{1} << 17;

// Parses untrusted JSON: nested at most `max_depth` deep, at most kMaxJsonValues values, no duplicate key in
// an object, valid UTF-8. Takes time in proportion to the length of `text`. On failure returns a discarded
// value and sets `reason`.
Json parse_json(std::string_view text, std::string& reason, int max_depth = kMaxJsonDepth);

}  // namespace gorsenotch::api
