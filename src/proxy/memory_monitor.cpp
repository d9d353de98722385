#include "proxy/memory_monitor.h"

#include "gorsenotch/settings.h"
#include "net/clock.h"
#include "net/process_memory.h"

namespace gorsenotch::proxy {
namespace {

constexpr Millis kMeasureInterval = 200;
constexpr Millis kReportInterval = 1000;
// Free heap above this fraction of the limit is returned to the system.
constexpr std::size_t kMaxFreeHeapDivisor = 16;

}  // namespace

MemoryMonitor::MemoryMonitor(net::EventLoop& loop, control::MemoryBudget& budget)
    : budget_(budget), timer_(loop, [this] { start(); }) {}

void MemoryMonitor::start() {
    measure();
    report_refusals();
    timer_.fire_after(kMeasureInterval);
}

void MemoryMonitor::report_refusals() {
    const std::uint64_t refusals = budget_.refusals() - reported_refusals_;
    const Millis now = net::now();
    if (refusals == 0 || !on_refusals || now < reported_at_ + kReportInterval) return;
    reported_refusals_ = budget_.refusals();
    reported_at_ = now;
    on_refusals(refusals);
}

void MemoryMonitor::measure() {
    if (net::heap_size().free > budget_.limit() / kMaxFreeHeapDivisor) net::return_free_heap();
    const std::size_t resident = net::resident_bytes();
    if (resident > 0) budget_.record_process_size(resident);
}

}  // namespace gorsenotch::proxy
