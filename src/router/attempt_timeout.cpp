#include "router/attempt_timeout.h"

#include <algorithm>

#include "router/request_properties.h"

namespace gorsenotch::router {

// The timeout is short enough for a request at an unresponsive endpoint to meet its latency objective at
// another one. It grows with the observed durations, so that overload does not cause timeouts.
Millis AttemptTimeout::compute(Millis now, const RequestState& request) const {
    const Millis time_left = request.arrival.deadline - now;
    if (request.attempt_count >= settings_.max_attempts) return time_left;
    const Stage stage = request.attempt.stage;
    const Millis objective = latency_objective(settings_, request);
    if (!fleet_stats_.low_sample_rate()) {
        return std::min(time_left, std::max(kMeanTimeoutFactor * completion_times_.expected(stage, request),
                                            kMeanTimeoutObjectiveFraction * objective));
    }
    // A prefill that times out is repeated elsewhere, so early timeouts would double the load under overload.
    // Drawback: at an unresponsive prefill endpoint, the first prefill of each gateway is late.
    const bool use_longer_minimum = stage == Stage::prefill && fleet_stats_.no_load_signal();
    const Millis quantile_timeout =
        kTimeoutLowQuantileFactor * completion_times_.low_quantile(stage) * stage_work(request, stage);
    return std::min(
        time_left,
        std::max(quantile_timeout, kMinTimeoutObjectiveFraction[use_longer_minimum ? 0 : 1] * objective));
}

}  // namespace gorsenotch::router
