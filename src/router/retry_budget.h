// Limits retries to a fraction of the successful requests, so that failures cannot cause a retry storm.
#pragma once

#include "gorsenotch/settings.h"
#include "router/tuning.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

// Owns the number of retries left and the rate of arrivals that caps it. Retries are earned by first tokens.
class RetryBudget {
public:
    explicit RetryBudget(int gateways);

    void on_arrival(Millis now) { arrival_rate_.add(now); }
    void on_first_token(Millis now);
    bool available() const { return retries_left_ >= 1; }
    // Takes one retry. Only while one is available().
    void spend() { retries_left_ -= 1; }

private:
    double capacity(Millis now) const;

    const double initial_retries_;
    double retries_left_;
    stats::DecayingRate arrival_rate_{kRateTimeConstantMs};
};

}  // namespace gorsenotch::router
