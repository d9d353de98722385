#include "router/retry_budget.h"

#include <gtest/gtest.h>

namespace gorsenotch::router {
namespace {

int spend_all(RetryBudget& budget) {
    int spent = 0;
    for (; budget.available(); ++spent) budget.spend();
    return spent;
}

TEST(RetryBudget, StartsWithAShareOfAllGatewaysWithinBounds) {
    RetryBudget one(1);
    RetryBudget five(5);
    RetryBudget hundred(100);
    EXPECT_EQ(spend_all(one), 20);
    EXPECT_EQ(spend_all(five), 8);
    EXPECT_EQ(spend_all(hundred), 4);
}

TEST(RetryBudget, FirstTokensEarnRetries) {
    RetryBudget budget(1);
    spend_all(budget);
    for (int i = 0; i < 11; ++i) budget.on_first_token(0);
    EXPECT_EQ(spend_all(budget), 3) << "0.3 for each first token";
}

TEST(RetryBudget, IsCappedAtItsStartWithoutArrivals) {
    RetryBudget budget(5);
    for (int i = 0; i < 1000; ++i) budget.on_first_token(0);
    EXPECT_EQ(spend_all(budget), 8);
}

TEST(RetryBudget, TheCapGrowsWithTheRateOfArrivals) {
    RetryBudget budget(5);
    for (int i = 0; i < 300; ++i) {
        budget.on_arrival(10.0 * i);
        budget.on_first_token(10.0 * i);
    }
    EXPECT_GT(spend_all(budget), 60);
}

}  // namespace
}  // namespace gorsenotch::router
