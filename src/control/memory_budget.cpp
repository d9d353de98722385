#include "control/memory_budget.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::control {
namespace {

// The parts of the limit that are kept for what is not counted, and that the capacity always has.
constexpr std::size_t kReserveDivisor = 8;
constexpr std::size_t kMinCapacityDivisor = 8;
// Up to this fraction of the capacity in use the measured overhead is taken as it is. With more in use, part
// of what is counted may not be resident yet, and the overhead would be taken for too small.
constexpr std::size_t kLowUseDivisor = 16;

}  // namespace

std::size_t MemoryBudget::capacity() const {
    const std::size_t least = std::max(kMinCapacity, limit_ / kMinCapacityDivisor);
    const std::size_t unavailable = limit_ / kReserveDivisor + overhead_;
    return limit_ > unavailable + least ? limit_ - unavailable : least;
}

std::size_t MemoryBudget::share() const {
    const std::size_t most = capacity();
    return most > used_ ? (most - used_) / kShareDivisor : 0;
}

std::size_t MemoryBudget::share_within(std::size_t least, std::size_t most) const {
    return std::clamp(share(), std::min(least, most), most);
}

void MemoryBudget::record_process_size(std::size_t resident) {
    const std::size_t uncounted = resident > used_ ? resident - used_ : 0;
    const bool low_use = used_ <= capacity() / kLowUseDivisor;
    overhead_ = low_use ? uncounted : std::max(overhead_, uncounted);
}

bool MemoryBudget::admits(std::size_t bytes) {
    if (bytes <= share()) return true;
    ++refusals_;
    return false;
}

void MemoryBudget::change(MemoryUse use, std::size_t from, std::size_t to) {
    used_ += to - from;
    used_by_use_[static_cast<std::size_t>(use)] += to - from;
    peak_used_ = std::max(peak_used_, used_);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(other.budget_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    resize(0);
    budget_ = other.budget_;
    use_ = other.use_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool MemoryCharge::try_resize(std::size_t bytes) {
    if (budget_ && bytes > bytes_ && !budget_->admits(bytes - bytes_)) return false;
    resize(bytes);
    return true;
}

void MemoryCharge::resize(std::size_t bytes) {
    if (!budget_ || bytes == bytes_) return;
    budget_->change(use_, bytes_, bytes);
    bytes_ = bytes;
}

MemoryCharge MemoryCharge::split(std::size_t bytes) {
    MemoryCharge part = sibling(use_);
    part.bytes_ = std::min(bytes, bytes_);
    bytes_ -= part.bytes_;
    return part;
}

}  // namespace gorsenotch::control
