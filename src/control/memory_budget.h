// The budget of the memory that peers make this process hold: heads and bodies of requests, responses of
// endpoints, answers that clients have not taken yet. One instance for the process counts all of it against
// the limit of the process. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gorsenotch::control {

// What the memory of a charge is used for.
enum class MemoryUse {
    connection,  // heads being received, pipelined input, answers that the client has not taken
    request,     // records, heads and bodies of requests
    response     // responses of endpoints that are not forwarded yet
};
// The names of the MemoryUse values, in their order.
constexpr std::array<const char*, 3> kMemoryUseNames = {"connections", "requests", "responses"};

// Counts bytes in use, and decides how many more one holder may take.
//
// The limit is that of the whole process. What the process needs besides the counted bytes (its code, the
// endpoint list, fragmentation) is measured and left out of the capacity, as is a reserve for what is not
// counted at all.
//
// A holder may take at most a fixed fraction of the free capacity. So large requests are refused first, and
// the nearer to the limit, the smaller those that still get in; no burst of large ones locks out the small
// (dynamic thresholds: Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998).
//
// Owns its counters; charges refer to it, so it has to outlive them, and with them the event loop, which may
// hold buffers until it is destroyed. Sizes are bytes. Threading: one thread.
class MemoryBudget {
public:
    static constexpr std::size_t kMebibyte = std::size_t{1} << 20;
    // The limit where none is configured.
    static constexpr std::size_t kDefaultLimit = 512 * kMebibyte;
    // The capacity is never below this, so that a request of any permitted size is admitted to an idle
    // process.
    static constexpr std::size_t kMinCapacity = 4 * kMebibyte;
    // The most that one holder may take, as a fraction of the free capacity.
    static constexpr std::size_t kShareDivisor = 8;

    // `limit`: of the process; 0: none is configured.
    explicit MemoryBudget(std::size_t limit = 0) { set_limit(limit); }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    void set_limit(std::size_t limit) { limit_ = limit > 0 ? limit : kDefaultLimit; }
    // Records the resident memory of the process, from which follows what it needs besides the counted bytes.
    void record_process_size(std::size_t resident);

    std::size_t limit() const { return limit_; }
    // What the counted bytes may add up to.
    std::size_t capacity() const;
    // The most that one holder may take now.
    std::size_t share() const;
    // The same within bounds. `least`: memory that each holder has reserved, however little is left.
    std::size_t share_within(std::size_t least, std::size_t most) const;
    std::size_t used() const { return used_; }
    std::size_t used_for(MemoryUse use) const { return used_by_use_[static_cast<std::size_t>(use)]; }
    std::size_t peak_used() const { return peak_used_; }
    // What the process needs besides the counted bytes, as last measured.
    std::size_t overhead() const { return overhead_; }
    // Charges that were refused.
    std::uint64_t refusals() const { return refusals_; }

private:
    friend class MemoryCharge;
    bool admits(std::size_t bytes);
    void change(MemoryUse use, std::size_t from, std::size_t to);

    std::size_t limit_ = kDefaultLimit;
    std::size_t overhead_ = 0;
    std::size_t used_ = 0;
    std::size_t peak_used_ = 0;
    std::array<std::size_t, kMemoryUseNames.size()> used_by_use_{};
    std::uint64_t refusals_ = 0;
};

// The bytes that one holder has taken from a budget; returns them when it is destroyed. A charge without a
// budget counts nothing and admits everything.
class MemoryCharge {
public:
    MemoryCharge() = default;
    MemoryCharge(MemoryBudget& budget, MemoryUse use) : budget_(&budget), use_(use) {}
    MemoryCharge(MemoryCharge&& other) noexcept;
    MemoryCharge& operator=(MemoryCharge&& other) noexcept;
    ~MemoryCharge() { resize(0); }

    // Changes the charge to `bytes` in all. Returns false, without a change, if it would grow beyond the
    // share of one holder.
    bool try_resize(std::size_t bytes);
    // Changes the charge to `bytes` in all, also beyond the share: for memory that is already in use.
    void resize(std::size_t bytes);
    // Moves up to `bytes` of this charge to a new one of the same use.
    MemoryCharge split(std::size_t bytes);
    // An empty charge on the same budget.
    MemoryCharge sibling(MemoryUse use) const {
        return budget_ ? MemoryCharge(*budget_, use) : MemoryCharge();
    }
    std::size_t bytes() const { return bytes_; }

private:
    MemoryBudget* budget_ = nullptr;
    MemoryUse use_ = MemoryUse::request;
    std::size_t bytes_ = 0;
};

}  // namespace gorsenotch::control
