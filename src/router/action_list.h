// The actions that the handling of one event returns.
#pragma once

#include <utility>
#include <vector>

#include "gorsenotch/actions.h"

namespace gorsenotch::router {

// Appends to the vector of the event being handled, which the caller of Router::handle() owns.
class ActionList {
public:
    // `actions` must outlive the handling of the event.
    void begin_event(std::vector<Action>& actions) { actions_ = &actions; }
    void emit(Action action) { actions_->push_back(std::move(action)); }

private:
    std::vector<Action>* actions_ = nullptr;
};

}  // namespace gorsenotch::router
