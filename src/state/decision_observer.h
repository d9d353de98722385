// Who is shown each event that goes into a Router and each action that comes out, in order.
#pragma once

#include "gorsenotch/logic.h"

namespace gorsenotch::state {

class DecisionObserver {
public:
    virtual ~DecisionObserver() = default;
    virtual void on_event(Millis now, const Event& event) = 0;
    virtual void on_action(const Action& action) = 0;
};

}  // namespace gorsenotch::state
