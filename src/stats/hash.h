// Deterministic integer hashes, identical in every process, and their mapping to the unit interval.
#pragma once

#include <cstdint>

namespace gorsenotch::stats {

// Hashes two numbers into one; every bit depends on both (finalizer of SplitMix64).
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t x = a * 0x9E3779B97F4A7C15ULL + b;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31);
}

// Maps random bits to a number in [0, 1).
inline double unit_interval(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1p-53; }

// Hashes two numbers to a number in [0, 1).
inline double hash_fraction(std::uint64_t a, std::uint64_t b) { return unit_interval(mix(a, b)); }

}  // namespace gorsenotch::stats
