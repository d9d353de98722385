// Parses values in operators' texts: numbers, booleans and words from a set. Returns nothing if the text is
// no such value; the caller, which knows the location of the text, reports the error. Also escapes values for
// such reports.
#pragma once

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
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

// A value as error messages show it: its first 64 bytes, followed by "..." if there are more. Control bytes
// and bytes above 126 are shown as \xNN, quotes and backslashes after a backslash.
inline std::string escape_value(std::string_view value) {
    constexpr std::size_t kMaxShownBytes = 64;
    constexpr char kHexDigits[] = "0123456789abcdef";
    std::string escaped;
    for (const char character : value.substr(0, kMaxShownBytes)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < ' ' || byte > '~') {
            escaped.append("\\x").append(1, kHexDigits[byte / 16]).append(1, kHexDigits[byte % 16]);
            continue;
        }
        if (character == '"' || character == '\'' || character == '\\') escaped += '\\';
        escaped += character;
    }
    if (value.size() > kMaxShownBytes) escaped += "...";
    return escaped;
}

}  // namespace gorsenotch::settings
