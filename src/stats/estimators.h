// Online estimators of rates and durations. Spans, quantiles and steps are parameters; no constant is tuned
// here. Times are milliseconds on the caller's clock. Not thread-safe.
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
    double value_ = 0;
    double at_ = 0;
};

// Mean duration of one kind of work: time spent on it over completions, both decaying. Work in progress
// counts too, so that the short pieces which end first do not bias a new estimate. Decays to a slower
// estimate of the same form, and that one to a prior.
class CompletionTime {
public:
    // `weight`: the number of completions that the prior counts for.
    CompletionTime(double prior, double weight) : prior_(prior), weight_(weight) {}
    double prior() const { return prior_; }
    double value() const { return (spent_ + weight_ * slow()) / (completed_ + weight_); }
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
    // `keep` and `slow_keep`: the fractions kept of the fast and of the slow estimate.
    void decay(double keep, double slow_keep) {
        spent_ *= keep;
        completed_ *= keep;
        slow_spent_ *= slow_keep;
        slow_completed_ *= slow_keep;
    }

private:
    double slow() const { return (slow_spent_ + weight_ * prior_) / (slow_completed_ + weight_); }

    double prior_;
    double weight_;
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
