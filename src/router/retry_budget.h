// Retry budget: limits retries to a fraction of the successful requests, so that failures cannot cause a
// retry storm.
#pragma once

#include "gorsenotch/settings.h"
#include "router/tuning.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

// Owns the number of retries left and the arrival rate that limits it. Each first token adds to the budget.
class RetryBudget {
public:
    explicit RetryBudget(int gateways);

    void on_arrival(Millis now) { arrival_rate_.add(now); }
    void on_first_token(Millis now);
    bool available() const { return retries_left_ >= 1; }
    // Consumes one retry. Precondition: available().
    void spend() { retries_left_ -= 1; }

private:
    double capacity(Millis now) const;

    const double initial_retries_;
    double retries_left_;
    stats::DecayingRate arrival_rate_{kRateTimeConstantMs};
};

}  // namespace gorsenotch::router
