#include "control/prefill_times.h"

namespace gorsenotch::control {
namespace {

constexpr double kUsualQuantile = 0.9;
constexpr double kQuantileStep = 0.5;
// The first sample stands for a quantile of this many times itself.
constexpr double kFirstSampleFactor = 2;
// A prefill is usual up to this many times the quantile: a health check before that would cost each endpoint
// a call for nothing.
constexpr double kUsualFactor = 1.5;
// And unusual beyond this many times, which is far more than a queue makes of it.
constexpr double kUnusualFactor = 10;
constexpr int kMinSamples = 20;

// What a prefill's time grows with: thousands of tokens, and a fixed part.
double work_units(double prompt_tokens) { return 1 + prompt_tokens / 1000; }

}  // namespace

void PrefillTimes::add_prefill(Millis took, double prompt_tokens) {
    const double per_unit = took / work_units(prompt_tokens);
    if (!usual_) usual_.emplace(kUsualQuantile, kQuantileStep, kFirstSampleFactor * per_unit);
    usual_->add(per_unit);
    ++samples_;
}

Millis PrefillTimes::usual_duration(double prompt_tokens) const {
    if (samples_ < kMinSamples) return 0;
    return kUsualFactor * usual_->value() * work_units(prompt_tokens);
}

bool PrefillTimes::is_unusual(Millis age, double prompt_tokens) const {
    return samples_ >= kMinSamples && age > kUnusualFactor * usual_->value() * work_units(prompt_tokens);
}

}  // namespace gorsenotch::control
