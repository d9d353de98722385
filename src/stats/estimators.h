// Online estimators of rates and durations. All constants are parameters of the constructors. Times are in
// milliseconds on the caller's clock. Not thread-safe.
#pragma once

#include <cmath>

namespace gorsenotch::stats {

// An event rate, per ms, with exponential decay. `time_constant` is in ms.
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

// Mean duration of one kind of work: the time spent on it divided by the number of completions, both
// decaying. The time of work in progress counts too, so that short pieces, which complete first, do not bias
// a new estimate. Without samples the value converges to a slower estimate of the same form, and that one to
// the prior.
class CompletionTime {
public:
    // `prior_completions`: weight of the prior, in completions.
    CompletionTime(double prior, double prior_completions)
        : prior_(prior), prior_completions_(prior_completions) {}
    double prior() const { return prior_; }
    double value() const {
        return (spent_ + prior_completions_ * slow_value()) / (completed_ + prior_completions_);
    }
    // Decaying number of recent completions.
    double completed() const { return completed_; }
    void add_time(double time) {
        spent_ += time;
        slow_spent_ += time;
    }
    void add_completion() {
        ++completed_;
        ++slow_completed_;
    }
    // `decay_factor` and `slow_decay_factor`: factors for the samples of the fast and of the slow estimate.
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

// Tracks a quantile of positive values by multiplicative steps. On a logarithmic scale, a sample above the
// estimate raises it by `step * quantile`; any other sample lowers it by `step * (1 - quantile)`.
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
