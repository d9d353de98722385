#include "stats/uniform_random.h"

#include <gtest/gtest.h>

#include <random>

namespace gorsenotch::stats {
namespace {

TEST(UniformRandom, ReturnsTheSequenceOfTheSeededGenerator) {
    UniformRandom random(7);
    std::mt19937_64 generator(7);
    for (int i = 0; i < 100; ++i) EXPECT_EQ(random.next(), unit_interval(generator()));
}

TEST(UniformRandom, StaysInTheUnitInterval) {
    UniformRandom random(1);
    double sum = 0;
    for (int i = 0; i < 10000; ++i) {
        const double value = random.next();
        ASSERT_GE(value, 0);
        ASSERT_LT(value, 1);
        sum += value;
    }
    EXPECT_NEAR(sum / 10000, 0.5, 0.02);
}

}  // namespace
}  // namespace gorsenotch::stats
