// Hashes of integers that are the same in every process, and their mapping to the unit interval.
#pragma once

#include <cstdint>

namespace gorsenotch::stats {

// Mixes two numbers into one whose bits all depend on both (SplitMix64's finalizer).
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t x = a * 0x9E3779B97F4A7C15ULL + b;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31);
}

// Random bits as a number from 0 up to, but not, 1.
inline double unit_interval(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1p-53; }

// The hash of two numbers as a number from 0 up to, but not, 1.
inline double hash_fraction(std::uint64_t a, std::uint64_t b) { return unit_interval(mix(a, b)); }

}  // namespace gorsenotch::stats
