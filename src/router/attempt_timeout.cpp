#include "router/attempt_timeout.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

// Guards against silence: a request at a dead endpoint must still meet its objective at another one. Grows
// with the present durations, so that overload does not turn into timeouts.
Millis AttemptTimeout::compute(Millis now, const RequestState& request) const {
    const Millis time_left = request.arrival.deadline - now;
    if (request.attempt_count >= settings_.max_attempts) return time_left;
    const Stage stage = request.attempt.stage;
    const Millis objective = latency_objective(settings_, request);
    if (!fleet_stats_.low_sample_rate()) {
        return std::min(time_left, std::max(kMeanTimeoutFactor * completion_times_.expected(stage, request),
                                            kMeanTimeoutObjectiveFraction * objective));
    }
    // A prefill that times out is done again elsewhere, so early timeouts double an overload. Does harm where
    // a prefill endpoint is silent: its prefills are late, the first one of each gateway.
    const bool use_longer_minimum = stage == Stage::prefill && fleet_stats_.no_load_signal();
    const Millis quantile_timeout =
        kTimeoutLowQuantileFactor * completion_times_.low_quantile(stage) * stage_work(request, stage);
    return std::min(
        time_left,
        std::max(quantile_timeout, kMinTimeoutObjectiveFraction[use_longer_minimum ? 0 : 1] * objective));
}

}  // namespace gorsenotch::router
