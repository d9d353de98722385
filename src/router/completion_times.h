// Estimates the current durations of the stages of requests, over all endpoints.
#pragma once

#include <array>
#include <vector>

#include "gorsenotch/settings.h"
#include "router/records.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

// Owns the estimates of mean durations, by stage and class with one estimate for the prefills of all classes,
// and of low quantiles for the stages prefill and decode_queued. A mean is the duration per unit of
// AttemptState::work_units, a quantile the duration per unit of stage_work().
class CompletionTimes {
public:
    explicit CompletionTimes(const Settings& settings);

    // Mean duration per unit of work.
    Millis mean(Stage stage, const RequestState& request) const;
    // Mean duration for the work of the request's attempt in this stage.
    Millis expected(Stage stage, const RequestState& request) const;
    // Typical duration at responsive endpoints. Robust against attempts that hang.
    Millis typical(Stage stage, const RequestState& request) const;
    // Not available for Stage::streaming.
    Millis low_quantile(Stage stage) const { return low_quantile_[static_cast<std::size_t>(stage)].value(); }

    // Adds time spent in the stage, per unit of work.
    void add_time(Stage stage, const RequestState& request, Millis time);
    // Counts a completion of the stage.
    void add_completion(Stage stage, const RequestState& request);
    // Records the end of the attempt's stage, which is not Stage::streaming. `succeeded`: the stage
    // completed.
    void record_stage_end(Millis now, const RequestState& request, bool succeeded);
    void decay(Millis elapsed);

private:
    const stats::CompletionTime& estimate(Stage stage, const RequestState& request) const;

    PerStage<std::vector<stats::CompletionTime>> by_class_;
    std::array<stats::QuantileEstimate, 2> low_quantile_;
};

}  // namespace gorsenotch::router
