// How long the stages of requests take at present, over all endpoints.
#pragma once

#include <array>
#include <vector>

#include "gorsenotch/settings.h"
#include "router/records.h"
#include "stats/estimators.h"

namespace gorsenotch::router {

// Owns the estimates of mean durations (by stage and class; prefills of all classes together) and of low
// quantiles (prefill and wait for the first token). A mean is per unit of AttemptState::work_units, a
// quantile per unit of stage_work().
class CompletionTimes {
public:
    explicit CompletionTimes(const Settings& settings);

    Millis mean(Stage stage, const RequestState& request) const;
    // The mean for the work of the request's attempt in this stage.
    Millis expected(Stage stage, const RequestState& request) const;
    // The duration at endpoints that respond, resistant to attempts that hang.
    Millis typical(Stage stage, const RequestState& request) const;
    // Not of Stage::streaming.
    Millis low_quantile(Stage stage) const { return low_quantile_[static_cast<std::size_t>(stage)].value(); }

    void add_time(Stage stage, const RequestState& request, Millis time);
    void add_completion(Stage stage, const RequestState& request);
    // Records the end of the attempt's stage, not of Stage::streaming: `done` if it succeeded.
    void record_stage_end(Millis now, const RequestState& request, bool done);
    void decay(Millis elapsed);

private:
    const stats::CompletionTime& estimate(Stage stage, const RequestState& request) const;

    PerStage<std::vector<stats::CompletionTime>> by_class_;
    std::array<stats::QuantileEstimate, 2> low_quantile_;
};

}  // namespace gorsenotch::router
