// The estimators and hashes that the decision module is built on.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "stats/estimators.h"
#include "stats/hash.h"

namespace gorsenotch::stats {
namespace {

TEST(DecayingRate, FollowsASteadyRateAndFadesOverItsSpan) {
    DecayingRate rate(3000);
    EXPECT_EQ(rate.read(0), 0);
    for (int i = 0; i < 3000; ++i) rate.add(10.0 * i);  // one in 10 ms
    EXPECT_NEAR(rate.read(29990), 0.1, 0.001);
    EXPECT_NEAR(rate.read(29990 + 3000) / rate.read(29990), std::exp(-1), 1e-9);
}

TEST(CompletionTime, StartsAtItsPriorAndCountsWorkThatIsStillOut) {
    CompletionTime time(100, 2);
    EXPECT_EQ(time.prior(), 100);
    EXPECT_EQ(time.value(), 100);
    time.add_time(1000);
    EXPECT_GT(time.value(), 100) << "nothing has completed yet";
    for (int i = 0; i < 200; ++i) {
        time.add_time(50);
        time.add_completion();
    }
    EXPECT_NEAR(time.value(), 55, 3);
    time.decay(0, 1);
    EXPECT_NEAR(time.value(), 55, 3) << "the slow estimate stands in";
    time.decay(0, 0);
    EXPECT_EQ(time.value(), 100) << "and then the prior";
}

TEST(QuantileEstimate, FindsALowQuantileWhateverTheFewLongOnesTake) {
    std::mt19937_64 random(1);
    QuantileEstimate quantile(0.3, 0.1, 1);
    for (int i = 0; i < 3000; ++i) quantile.add(random() % 10 == 0 ? 1e9 : 100 * unit_interval(random()));
    EXPECT_NEAR(quantile.value(), 33, 12);
}

TEST(Hash, FractionsAreEvenAndTheSameForTheSameNumbers) {
    std::set<double> seen;
    double sum = 0;
    for (std::uint64_t i = 0; i < 10000; ++i) {
        const double x = hash_fraction(i, 7);
        EXPECT_EQ(x, hash_fraction(i, 7));
        EXPECT_GE(x, 0);
        EXPECT_LT(x, 1);
        seen.insert(x);
        sum += x;
    }
    EXPECT_EQ(seen.size(), 10000u);
    EXPECT_NEAR(sum / 10000, 0.5, 0.02);
    EXPECT_LT(unit_interval(~std::uint64_t{0}), 1);
}

}  // namespace
}  // namespace gorsenotch::stats
