// Values in the operators' texts: numbers, bools, words from a set. Nothing where the text is none; whoever
// reads says where that was.
#pragma once

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace gorsenotch::settings {

// The whole text as a number; a fraction must be finite.
template <class T>
std::optional<T> to_number(const std::string& s) {
    T value{};
    const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
    if (error != std::errc() || end != s.data() + s.size()) return std::nullopt;
    if constexpr (std::is_floating_point_v<T>) {
        if (!std::isfinite(value)) return std::nullopt;
    }
    return value;
}

// "-" says absent, which is no.
inline std::optional<bool> to_bool(const std::string& s) {
    if (s == "1" || s == "true") return true;
    if (s == "0" || s == "false" || s == "-") return false;
    return std::nullopt;
}

template <class T>
std::optional<T> to_one_of(const std::string& s, std::initializer_list<std::pair<const char*, T>> names) {
    for (const auto& [name, value] : names) {
        if (s == name) return value;
    }
    return std::nullopt;
}

}  // namespace gorsenotch::settings
