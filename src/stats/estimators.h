// Estimators of rates and times from events as they happen. They decide nothing and hold no tuned value:
// spans, quantiles and steps are the caller's. Times are ms on the caller's clock. Threading: none of their
// own.
#pragma once

#include <cmath>

namespace gorsenotch::stats {

// A rate of events, per ms, that decays exponentially over `span` ms.
class DecayingRate {
public:
    explicit DecayingRate(double span) : span_(span) {}
    double read(double now) const { return value_ * std::exp((at_ - now) / span_); }
    void add(double now) {
        value_ = read(now) + 1 / span_;
        at_ = now;
    }

private:
    double span_;
    double value_ = 0, at_ = 0;
};

// How long work of one kind takes: time spent on it over completions, both decaying. Work still out counts
// too, so a fresh start is not fooled by the short ones that end first. Decays to a slower estimate of the
// same form, and that to a prior.
class CompletionTime {
public:
    // `weight`: completions that the prior stands for where nothing is seen.
    CompletionTime(double prior, double weight) : prior_(prior), weight_(weight) {}
    double prior() const { return prior_; }
    double value() const { return (spent_ + weight_ * slow()) / (completed_ + weight_); }
    // How many were completed of late, decaying.
    double completed() const { return completed_; }
    void add_time(double time) {
        spent_ += time;
        slow_spent_ += time;
    }
    void add_completion() {
        ++completed_;
        ++slow_completed_;
    }
    // `keep` and `slow_keep`: the parts that stay of the fast and of the slow estimate.
    void decay(double keep, double slow_keep) {
        spent_ *= keep;
        completed_ *= keep;
        slow_spent_ *= slow_keep;
        slow_completed_ *= slow_keep;
    }

private:
    double slow() const { return (slow_spent_ + weight_ * prior_) / (slow_completed_ + weight_); }

    double prior_, weight_;
    double spent_ = 0, completed_ = 0, slow_spent_ = 0, slow_completed_ = 0;
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
    double quantile_, step_, value_;
};

}  // namespace gorsenotch::stats
