// Estimates how long prefills take for a prompt length, to tell a prefill whose response was probably lost
// from one that is merely slow. Other responses of the same endpoint cannot tell them apart, as they do not
// prove that the prefill's own connection still works.
//
// No I/O. Ownership: one per request lifecycle, its only caller. Times are ms.
#pragma once

#include <optional>

#include "gorsenotch/settings.h"
#include "stats/estimators.h"

namespace gorsenotch::control {

// A running quantile of prefill times, scaled by prompt length.
class PrefillTimes {
public:
    // Adds a sample: a prefill of `prompt_tokens` tokens was answered after `duration`.
    void add_prefill(Millis duration, double prompt_tokens);
    // The time within which nearly all recent prefills were answered; 0 with too few samples.
    Millis usual_duration(double prompt_tokens) const;
    // Whether `age`, the time in flight, is far beyond the usual duration. False with too few samples.
    bool is_unusual(Millis age, double prompt_tokens) const;

private:
    std::optional<stats::QuantileEstimate> usual_ms_per_unit_;  // see work_units() in the source file
    int samples_ = 0;
};

}  // namespace gorsenotch::control
