// Resumed streams: how many requests that claim to resume one are exempt from load shedding.
#pragma once

#include "gorsenotch/settings.h"
#include "router/in_flight_requests.h"
#include "router/tuning.h"

namespace gorsenotch::router {

// Guards against clients that mark any request as resumed: the exemption is limited to what may have broken.
// Gateways are alike, so the streams that break elsewhere and come here are about as many as this gateway has
// had of late. A request that is not admitted is subject to load shedding, with the highest value.
//
// Owns the recent peak of streams in progress, and the allowance, a token bucket. Its unit is a stream with a
// prompt of mean length: a longer prompt takes more.
class ResumeAllowance {
public:
    explicit ResumeAllowance(int gateways);

    // Records the streams in progress. To be called on each arrival.
    void record_streams(Millis now, const StreamLoad& load);
    // Whether a request that claims to resume a stream is exempt. Takes its part of the allowance if so.
    // `kilotokens`: of its prompt, without what is expected to be cached; `typical_kilotokens`: of all
    // requests of late, used until a stream was seen.
    bool admit(double kilotokens, double typical_kilotokens);

private:
    double capacity() const;

    const double min_capacity_;
    double left_;
    double peak_streams_ = 0;
    double mean_kilotokens_ = 0;  // of the prompts of recent streams; 0: there was none
    Millis updated_at_ = 0;
};

}  // namespace gorsenotch::router
