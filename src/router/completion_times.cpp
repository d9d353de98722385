#include "router/completion_times.h"

#include <algorithm>
#include <cmath>

#include "router/request_properties.h"

namespace gorsenotch::router {

// Priors: the latency objective per 1,000 tokens for a prefill of 1,000 tokens, a twelfth of the latency
// objective for the wait for the first token, and 100 tokens at half the inter-token objective for a stream.
CompletionTimes::CompletionTimes(const Settings& settings)
    : low_quantile_{stats::QuantileEstimate(kLowQuantile, kQuantileStep, 1),
                    stats::QuantileEstimate(kLowQuantile, kQuantileStep, 1)} {
    for (const ClassSettings& class_settings : settings.classes) {
        const Millis objective = class_settings.latency_objective;
        const Millis per_1000_tokens = class_settings.latency_objective_per_1000_tokens;
        by_class_[Stage::prefill].emplace_back(per_1000_tokens > 0 ? per_1000_tokens : objective / 20,
                                               kPriorCompletions);
        by_class_[Stage::decode_queued].emplace_back(objective / 12, kPriorCompletions);
        by_class_[Stage::streaming].emplace_back(
            std::max(50 * class_settings.inter_token_objective, objective), kPriorCompletions);
    }
    low_quantile_ = {
        stats::QuantileEstimate(kLowQuantile, kQuantileStep, by_class_[Stage::prefill][0].prior()),
        stats::QuantileEstimate(kLowQuantile, kQuantileStep, by_class_[Stage::decode_queued][0].prior() / 4)};
}

const stats::CompletionTime& CompletionTimes::estimate(Stage stage, const RequestState& request) const {
    return by_class_[stage][stage == Stage::prefill ? 0 : class_index(request)];
}

Millis CompletionTimes::mean(Stage stage, const RequestState& request) const {
    return estimate(stage, request).value();
}

Millis CompletionTimes::expected(Stage stage, const RequestState& request) const {
    return mean(stage, request) * request.attempt.work_units;
}

// Attempts that hang at a few endpoints raise the mean but not the low quantile, which therefore bounds the
// result. The mean is used while nothing completes. Drawback: where durations vary widely, the estimate is
// too short for the longer ones.
Millis CompletionTimes::typical(Stage stage, const RequestState& request) const {
    const stats::CompletionTime& completion_time = estimate(stage, request);
    if (completion_time.completed() < 1) return completion_time.value();
    const double quantile = low_quantile(stage) * (stage == Stage::prefill ? 1 : stage_work(request, stage));
    return std::min(completion_time.value(), kMaxTypicalToLowQuantileRatio * quantile);
}

void CompletionTimes::add_time(Stage stage, const RequestState& request, Millis duration) {
    by_class_[stage][stage == Stage::prefill ? 0 : class_index(request)].add_time(duration);
}

void CompletionTimes::add_completion(Stage stage, const RequestState& request) {
    by_class_[stage][stage == Stage::prefill ? 0 : class_index(request)].add_completion();
}

void CompletionTimes::record_stage_end(Millis now, const RequestState& request, bool succeeded) {
    const Stage stage = request.attempt.stage;
    stats::QuantileEstimate& quantile = low_quantile_[static_cast<std::size_t>(stage)];
    const double time_per_unit = (now - request.attempt.sent_at) / stage_work(request, stage);
    // The duration of a failed stage is only a lower bound.
    if (succeeded || time_per_unit > quantile.value()) quantile.add(time_per_unit);
}

void CompletionTimes::decay(Millis elapsed) {
    const double decay_factor = std::exp(-elapsed / kCompletionTimeConstantMs);
    const double slow_decay_factor = std::exp(-elapsed / kCompletionTimeConstantMs / 10);
    for (const Stage stage : kStages) {
        for (stats::CompletionTime& completion_time : by_class_[stage])
            completion_time.decay(decay_factor, slow_decay_factor);
    }
}

}  // namespace gorsenotch::router
