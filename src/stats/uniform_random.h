// A seeded generator of uniformly distributed random numbers. Not thread-safe.
#pragma once

#include <cstdint>
#include <random>

#include "stats/hash.h"

namespace gorsenotch::stats {

// A 64-bit Mersenne Twister whose output is mapped to the unit interval.
class UniformRandom {
public:
    explicit UniformRandom(std::uint64_t seed) : generator_(seed) {}
    // Returns the next number, in [0, 1).
    double next() { return unit_interval(generator_()); }

private:
    std::mt19937_64 generator_;
};

}  // namespace gorsenotch::stats
