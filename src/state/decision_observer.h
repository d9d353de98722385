// Interface for observers of a Router's events and actions, such as the decision journal.
#pragma once

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::state {

// Called with each event before the Router handles it and with each resulting action, in order.
class DecisionObserver {
public:
    virtual ~DecisionObserver() = default;
    // `now`: the time passed to the Router, ms.
    virtual void on_event(Millis now, const Event& event) = 0;
    virtual void on_action(const Action& action) = 0;
};

}  // namespace gorsenotch::state
