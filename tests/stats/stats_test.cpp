// Tests of the estimators and hashes that the Router uses.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "stats/estimators.h"
#include "stats/hash.h"

namespace gorsenotch::stats {
namespace {

TEST(DecayingRate, ConvergesToASteadyRateAndDecaysWithItsTimeConstant) {
    DecayingRate rate(3000);
    EXPECT_EQ(rate.read(0), 0);
    for (int i = 0; i < 3000; ++i) rate.add(10.0 * i);  // one event per 10 ms
    EXPECT_NEAR(rate.read(29990), 0.1, 0.001);
    EXPECT_NEAR(rate.read(29990 + 3000) / rate.read(29990), std::exp(-1), 1e-9);
}

TEST(CompletionTime, StartsAtItsPriorAndCountsWorkInProgress) {
    CompletionTime completion_time(100, 2);
    EXPECT_EQ(completion_time.prior(), 100);
    EXPECT_EQ(completion_time.value(), 100);
    completion_time.add_time(1000);
    EXPECT_GT(completion_time.value(), 100) << "time counts before the first completion";
    for (int i = 0; i < 200; ++i) {
        completion_time.add_time(50);
        completion_time.add_completion();
    }
    EXPECT_NEAR(completion_time.value(), 55, 3);
    completion_time.decay(0, 1);
    EXPECT_NEAR(completion_time.value(), 55, 3) << "falls back to the slow estimate";
    completion_time.decay(0, 0);
    EXPECT_EQ(completion_time.value(), 100) << "falls back to the prior";
}

TEST(QuantileEstimate, EstimatesALowQuantileDespiteLargeOutliers) {
    std::mt19937_64 random(1);
    QuantileEstimate quantile(0.3, 0.1, 1);
    for (int i = 0; i < 3000; ++i) quantile.add(random() % 10 == 0 ? 1e9 : 100 * unit_interval(random()));
    EXPECT_NEAR(quantile.value(), 33, 12);
}

TEST(Hash, FractionsAreUniformAndDeterministic) {
    std::set<double> distinct;
    double sum = 0;
    for (std::uint64_t i = 0; i < 10000; ++i) {
        const double x = hash_fraction(i, 7);
        EXPECT_EQ(x, hash_fraction(i, 7));
        EXPECT_GE(x, 0);
        EXPECT_LT(x, 1);
        distinct.insert(x);
        sum += x;
    }
    EXPECT_EQ(distinct.size(), 10000u);
    EXPECT_NEAR(sum / 10000, 0.5, 0.02);
    EXPECT_LT(unit_interval(~std::uint64_t{0}), 1);
}

}  // namespace
}  // namespace gorsenotch::stats
