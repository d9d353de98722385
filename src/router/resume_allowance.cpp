#include "router/resume_allowance.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::router {

// The allowances of all gateways add up, so with many gateways each one starts with less.
ResumeAllowance::ResumeAllowance(int gateways)
    : min_capacity_(
          std::clamp(kInitialResumesOfAllGateways / gateways, kMinInitialResumes, kMaxInitialResumes)),
      left_(min_capacity_) {}

void ResumeAllowance::record_streams(Millis now, const StreamLoad& load) {
    const Millis elapsed = std::max(0.0, now - updated_at_);
    updated_at_ = now;
    peak_streams_ = std::max<double>(load.streams, peak_streams_ * std::exp(-elapsed / kResumeWindowMs));
    left_ = std::min(capacity(), left_ + capacity() * elapsed / kResumeWindowMs);
    if (load.streams == 0) return;
    const double mean = load.kilotokens / load.streams;
    if (mean_kilotokens_ <= 0) mean_kilotokens_ = mean;
    mean_kilotokens_ += kResumeLengthSmoothingFactor * (mean - mean_kilotokens_);
}

bool ResumeAllowance::admit(double kilotokens, double typical_kilotokens) {
    const double mean = mean_kilotokens_ > 0 ? mean_kilotokens_ : typical_kilotokens;
    const double relative_length = mean > 0 ? kilotokens / mean : 1;
    const double cost = std::clamp(relative_length, 1.0, kMaxResumeFraction * capacity());
    if (left_ < cost) return false;
    left_ -= cost;
    return true;
}

double ResumeAllowance::capacity() const {
    return std::max(min_capacity_, kResumesPerStream * peak_streams_);
}

}  // namespace gorsenotch::router
