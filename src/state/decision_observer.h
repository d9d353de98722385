// Who is shown each event that goes into a Router and each action that comes out, in order.
#pragma once

#include "gorsenotch/logic.h"

namespace gorsenotch::state {

class Witness {
public:
    virtual ~Witness() = default;
    virtual void event(Millis now, const Event& e) = 0;
    virtual void action(const Action& a) = 0;
};

}  // namespace gorsenotch::state
