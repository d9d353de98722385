// How long prefills take, by the length of their prompts. It separates a prefill whose response must be lost
// from one that is merely slow: another response of the same endpoint does not prove that the prefill's own
// connection still works.
//
// No I/O. Ownership: one for each request lifecycle, which alone feeds it. Times are ms.
#pragma once

#include <optional>

#include "gorsenotch/settings.h"
#include "stats/estimators.h"

namespace gorsenotch::control {

class PrefillTimes {
public:
    // A prefill of `prompt_tokens` tokens was answered after `took`.
    void add_prefill(Millis took, double prompt_tokens);
    // How long a prefill may ordinarily take: longer than nearly all did recently; 0 with too few samples.
    Millis usual_duration(double prompt_tokens) const;
    // A prefill has been in flight for `age`, far beyond the usual duration. False with too few samples.
    bool is_unusual(Millis age, double prompt_tokens) const;

private:
    std::optional<stats::QuantileEstimate> usual_;  // ms for a unit of work, see work_units() in the source
    int samples_ = 0;
};

}  // namespace gorsenotch::control
