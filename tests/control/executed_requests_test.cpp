// Which requests may not be sent again under the same transaction id, and for how long that is remembered.
#include "control/executed_requests.h"

#include <gtest/gtest.h>

#include <string>

namespace gorsenotch::control {
namespace {

TEST(ExecutedRequestsTest, AnIdIsRememberedForTheRetentionTime) {
    ExecutedRequests executed;
    EXPECT_FALSE(executed.contains(0, "t1"));
    executed.add(1000, "t1");
    executed.add(2000, "t1");  // the first time counts
    EXPECT_TRUE(executed.contains(1000 + ExecutedRequests::kRetention - 1, "t1"));
    EXPECT_FALSE(executed.contains(1000, "t2"));
    EXPECT_FALSE(executed.contains(1000 + ExecutedRequests::kRetention, "t1"));
    EXPECT_EQ(executed.size(), 0u);
}

// Guards against memory that grows with the number of requests.
TEST(ExecutedRequestsTest, TheOldestIdsAreForgottenBeyondTheLimit) {
    ExecutedRequests executed;
    for (std::size_t i = 0; i <= ExecutedRequests::kMaxRequests; ++i)
        executed.add(0, "t" + std::to_string(i));
    EXPECT_EQ(executed.size(), ExecutedRequests::kMaxRequests);
    EXPECT_FALSE(executed.contains(0, "t0"));
    EXPECT_TRUE(executed.contains(0, "t1"));
    EXPECT_TRUE(executed.contains(0, "t" + std::to_string(ExecutedRequests::kMaxRequests)));
}

}  // namespace
}  // namespace gorsenotch::control
