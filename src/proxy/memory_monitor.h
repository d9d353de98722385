// Measures the memory of this process for the memory budget, and has the allocator return what is free.
#pragma once

#include <cstdint>
#include <functional>

#include "control/memory_budget.h"
#include "net/event_loop.h"
#include "net/timer.h"

namespace gorsenotch::proxy {

// Ownership: its timer. The budget has to outlive it. Threading: the event loop's thread. Errors: none; a
// size that the system does not tell is left out. Times: ms.
class MemoryMonitor {
public:
    // Called at most once a second, with the number of charges that were refused since the last call.
    std::function<void(std::uint64_t refusals)> on_refusals;

    MemoryMonitor(net::EventLoop& loop, control::MemoryBudget& budget);

    // Measures now, and regularly from then on.
    void start();
    // Measures now. To be called when the process has grown by something that the budget does not count.
    void measure();

private:
    void report_refusals();

    control::MemoryBudget& budget_;
    net::Timer timer_;
    std::uint64_t reported_refusals_ = 0;
    net::Millis reported_at_ = 0;
};

}  // namespace gorsenotch::proxy
