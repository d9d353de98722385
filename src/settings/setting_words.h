// The words of the settings and the values that they stand for, the same in both settings formats.
#pragma once

#include <array>

#include "gorsenotch/settings.h"
#include "settings/text_values.h"

namespace gorsenotch::settings {

inline constexpr std::array<NamedValue<Idempotency>, 3> kIdempotencyWords = {
    {{"repeatable", Idempotency::idempotent},
     {"by_key", Idempotency::with_key},
     {"once", Idempotency::unsafe}}};
inline constexpr std::array<NamedValue<DedupScope>, 3> kDedupScopeWords = {
    {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}}};
inline constexpr std::array<NamedValue<Role>, 3> kRoleWords = {
    {{"read", Role::prefill}, {"write", Role::decode}, {"both", Role::mixed}}};

}  // namespace gorsenotch::settings
