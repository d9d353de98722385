// Online estimators of rates and durations. Spans, quantiles and steps are parameters; no constant is tuned
// here. Times are milliseconds on the caller's clock. Not thread-safe.
#pragma once

#include <cmath>

namespace gorsenotch::stats {

// A rate of events, per ms, that decays exponentially over `time_constant` ms.
class DecayingRate {
public:
    explicit DecayingRate(double time_constant) : time_constant_(time_constant) {}
    double read(double now) const { return value_ * std::exp((updated_at_ - now) / time_constant_); }
    void add(double now) {
        value_ = read(now) + 1 / time_constant_;
        updated_at_ = now;
    }

private:
    double time_constant_;
    double value_ = 0;
    double updated_at_ = 0;
};

// Mean duration of one kind of work: time spent on it over completions, both decaying. Work in progress
// counts too, so that the short pieces which end first do not bias a new estimate. Decays to a slower
// estimate of the same form, and that one to a prior.
class CompletionTime {
public:
    // `prior_completions`: the number of completions that the prior counts for.
    CompletionTime(double prior, double prior_completions)
        : prior_(prior), prior_completions_(prior_completions) {}
    double prior() const { return prior_; }
    double value() const {
        return (spent_ + prior_completions_ * slow_value()) / (completed_ + prior_completions_);
    }
    // Recent completions, decaying.
    double completed() const { return completed_; }
    void add_time(double time) {
        spent_ += time;
        slow_spent_ += time;
    }
    void add_completion() {
        ++completed_;
        ++slow_completed_;
    }
    // `decay_factor` and `slow_decay_factor`: the fractions kept of the fast and of the slow_value estimate.
    void decay(double decay_factor, double slow_decay_factor) {
        spent_ *= decay_factor;
        completed_ *= decay_factor;
        slow_spent_ *= slow_decay_factor;
        slow_completed_ *= slow_decay_factor;
    }

private:
    double slow_value() const {
        return (slow_spent_ + prior_completions_ * prior_) / (slow_completed_ + prior_completions_);
    }

    double prior_;
    double prior_completions_;
    double spent_ = 0;
    double completed_ = 0;
    double slow_spent_ = 0;
    double slow_completed_ = 0;
};

// A quantile of positive values, by multiplicative steps: up by `step` times the quantile for a value above
// it, down by `step` times the rest for one below.
class QuantileEstimate {
public:
    QuantileEstimate(double quantile, double step, double start)
        : quantile_(quantile), step_(step), value_(start) {}
    double value() const { return value_; }
    void add(double x) { value_ *= std::exp(step_ * (x > value_ ? quantile_ : quantile_ - 1)); }

private:
    double quantile_;
    double step_;
    double value_;
};

}  // namespace gorsenotch::stats
