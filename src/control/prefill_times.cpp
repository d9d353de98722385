#include "control/prefill_times.h"

namespace gorsenotch::control {
namespace {

constexpr double kUsualQuantile = 0.9;
constexpr double kQuantileStep = 0.5;
// The quantile estimate starts at the first sample times this factor.
constexpr double kFirstSampleFactor = 2;
// Usual duration as a multiple of the quantile. Endpoints get no health check before it, as most such checks
// would be unnecessary.
constexpr double kUsualQuantileMultiple = 1.5;
// A prefill is unusual beyond this multiple of the quantile, which queueing alone does not reach.
constexpr double kUnusualQuantileMultiple = 10;
constexpr int kMinSamples = 20;

// A prefill's time is taken as proportional to this: a fixed part plus one unit per 1000 tokens.
double work_units(double prompt_tokens) { return 1 + prompt_tokens / 1000; }

}  // namespace

void PrefillTimes::add_prefill(Millis duration, double prompt_tokens) {
    const double per_unit = duration / work_units(prompt_tokens);
    if (!usual_ms_per_unit_)
        usual_ms_per_unit_.emplace(kUsualQuantile, kQuantileStep, kFirstSampleFactor * per_unit);
    usual_ms_per_unit_->add(per_unit);
    ++samples_;
}

Millis PrefillTimes::usual_duration(double prompt_tokens) const {
    if (samples_ < kMinSamples) return 0;
    return kUsualQuantileMultiple * usual_ms_per_unit_->value() * work_units(prompt_tokens);
}

bool PrefillTimes::is_unusual(Millis age, double prompt_tokens) const {
    return samples_ >= kMinSamples &&
           age > kUnusualQuantileMultiple * usual_ms_per_unit_->value() * work_units(prompt_tokens);
}

}  // namespace gorsenotch::control
