// Properties that derive from a request and the settings alone.
#pragma once

#include <algorithm>
#include <cstddef>

#include "gorsenotch/settings.h"
#include "router/records.h"

namespace gorsenotch::router {

inline std::size_t class_index(const RequestState& request) {
    return static_cast<std::size_t>(request.arrival.cls);
}

inline const ClassSettings& class_of(const Settings& settings, const RequestState& request) {
    return settings.classes[class_index(request)];
}

// The latency objective of the request: the target for its time to first token.
inline Millis latency_objective(const Settings& settings, const RequestState& request) {
    const ClassSettings& class_settings = class_of(settings, request);
    return class_settings.latency_objective +
           class_settings.latency_objective_per_1000_tokens * request.arrival.prompt_tokens / 1000;
}

// Work of a prefill in thousands of tokens: the prompt without its shared prefix, and a fixed overhead.
inline double uncached_kilotokens(const RequestState& request) {
    return kPrefillOverheadKilotokens +
           std::max(0.0, request.arrival.prompt_tokens - request.arrival.shared_prefix_tokens) / 1000;
}

// The work to which the duration of a stage is normalized: thousands of tokens to prefill, including those
// queued ahead, or thousands of tokens of KV cache to transfer.
inline double stage_work(const RequestState& request, Stage stage) {
    return stage == Stage::prefill ? request.attempt.work_units
                                   : kPrefillOverheadKilotokens + request.arrival.prompt_tokens / 1000;
}

// The shortest latency objective of all classes, for an empty prompt.
inline Millis min_latency_objective(const Settings& settings) {
    Millis shortest = kNever;
    for (const ClassSettings& class_settings : settings.classes)
        shortest = std::min(shortest, class_settings.latency_objective);
    return shortest;
}

// The interval between health ticks.
inline Millis health_interval(const Settings& settings) {
    return std::max(settings.event_interval, min_latency_objective(settings) / 20);
}

}  // namespace gorsenotch::router
