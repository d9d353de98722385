#include "router/retry_budget.h"

#include <algorithm>

namespace gorsenotch::router {

// The budgets of all gateways add up, so with many gateways each one starts with less.
RetryBudget::RetryBudget(int gateways)
    : initial_retries_(std::clamp(kInitialRetriesOfAllGateways / gateways, kMinInitialRetryBudget,
                                  kMaxInitialRetryBudget)),
      retries_left_(initial_retries_) {}

void RetryBudget::on_first_token(Millis now) {
    retries_left_ = std::min(retries_left_ + kRetriesPerFirstToken, capacity(now));
}

double RetryBudget::capacity(Millis now) const {
    return std::max(initial_retries_, kRetryBudgetWindowMs * arrival_rate_.read(now));
}

}  // namespace gorsenotch::router
