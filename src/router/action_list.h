// Collects the actions that result from the event being handled.
#pragma once

#include <utility>
#include <vector>

#include "gorsenotch/actions.h"

namespace gorsenotch::router {

// Appends actions to the vector that the caller of Router::handle() owns.
class ActionList {
public:
    // Directs the actions of the next event to `actions`, which must outlive the handling of that event.
    void begin_event(std::vector<Action>& actions) { actions_ = &actions; }
    void emit(Action action) { actions_->push_back(std::move(action)); }

private:
    std::vector<Action>* actions_ = nullptr;
};

}  // namespace gorsenotch::router
