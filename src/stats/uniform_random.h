// A seeded source of uniform random numbers. Not thread-safe.
#pragma once

#include <cstdint>
#include <random>

#include "stats/hash.h"

namespace gorsenotch::stats {

class UniformRandom {
public:
    explicit UniformRandom(std::uint64_t seed) : generator_(seed) {}
    // The next number, from 0 up to, but not, 1.
    double next() { return unit_interval(generator_()); }

private:
    std::mt19937_64 generator_;
};

}  // namespace gorsenotch::stats
