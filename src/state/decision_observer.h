// Interface of an observer that is given each event before it goes into a Router and each action that comes
// out, in order. The decision journal is one.
#pragma once

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::state {

class DecisionObserver {
public:
    virtual ~DecisionObserver() = default;
    // `now`: the Router's clock, ms.
    virtual void on_event(Millis now, const Event& event) = 0;
    virtual void on_action(const Action& action) = 0;
};

}  // namespace gorsenotch::state
