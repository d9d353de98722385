// Checked conversion of JSON values that were read from a file.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

#include "state/journal_error.h"

namespace gorsenotch::state {

// Converts an integer that fits the type. Throws JournalError otherwise.
template <class Integer>
Integer to_integer(const nlohmann::json& json) {
    using Limits = std::numeric_limits<Integer>;
    if (json.is_number_unsigned()) {
        const auto value = json.get<std::uint64_t>();
        if (value <= static_cast<std::uint64_t>(Limits::max())) return static_cast<Integer>(value);
    } else if (json.is_number_integer()) {
        const auto value = json.get<std::int64_t>();
        if (std::is_signed_v<Integer> && value >= static_cast<std::int64_t>(Limits::min()))
            return static_cast<Integer>(value);
    }
    throw JournalError(JournalErrorCode::number_out_of_range,
                       "expected an integer in the range of its field, got " + json.dump());
}

// Converts the number of an enumerator, from 0 to `last`. Throws JournalError otherwise.
template <class Enum>
Enum to_enum(const nlohmann::json& json, Enum last) {
    const int value = to_integer<int>(json);
    if (value < 0 || value > static_cast<int>(last))
        throw JournalError(JournalErrorCode::unknown_value,
                           "expected the number of an enumerator, got " + json.dump());
    return static_cast<Enum>(value);
}

}  // namespace gorsenotch::state
