// Tells a prefill whose response was probably lost from one that is merely slow: its endpoint has since
// answered a prefill that was sent later and had at least as much to do. Answers to other messages cannot
// tell them apart, as an endpoint that is busy with prefills still answers those.
//
// No I/O. Ownership: one per request lifecycle, its only caller. Memory: bounded for each listed endpoint.
// Times are ms.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// The latest answered prefills of each endpoint.
class OvertakenPrefills {
public:
    // The endpoint has answered a prefill of `prompt_tokens` tokens that was sent at `sent_at`.
    void on_prefill_answered(EndpointId endpoint, Millis sent_at, double prompt_tokens);
    // Whether the endpoint has answered a prefill that was sent after `sent_at` and had as many tokens or
    // more.
    bool is_overtaken(EndpointId endpoint, Millis sent_at, double prompt_tokens) const;
    void forget_endpoints(const std::function<bool(EndpointId)>& is_unlisted);

private:
    struct AnsweredPrefill {
        Millis sent_at = 0;
        double prompt_tokens = 0;
    };
    std::unordered_map<EndpointId, std::deque<AnsweredPrefill>> answered_;
};

}  // namespace gorsenotch::control
