// Parses values in operators' texts: numbers, booleans and words from a set. Returns nothing if the text is
// no such value; the caller, which knows the location of the text, reports the error.
#pragma once

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <type_traits>

namespace gorsenotch::settings {

// A word of a text and the value that it stands for.
template <class Value>
struct NamedValue {
    const char* name;
    Value value;
};

// Parses the whole text as a number; a floating-point number must be finite.
template <class Number>
std::optional<Number> to_number(const std::string& text) {
    Number value{};
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, value);
    if (error != std::errc() || end != text_end) return std::nullopt;
    if constexpr (std::is_floating_point_v<Number>) {
        if (!std::isfinite(value)) return std::nullopt;
    }
    return value;
}

// "-" stands for an absent value and gives false.
inline std::optional<bool> to_bool(const std::string& text) {
    if (text == "1" || text == "true") return true;
    if (text == "0" || text == "false" || text == "-") return false;
    return std::nullopt;
}

// The value of the word that equals `text`.
template <class Value, std::size_t count>
std::optional<Value> to_one_of(const std::string& text, const std::array<NamedValue<Value>, count>& words) {
    for (const auto& word : words) {
        if (text == word.name) return word.value;
    }
    return std::nullopt;
}

}  // namespace gorsenotch::settings
