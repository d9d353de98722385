// The order in which timers fire, and the cancellation of an owner's timers.
#include "proxy/timer_queue.h"

#include <gtest/gtest.h>

namespace gorsenotch::test {
namespace {

enum class Kind { ordinary, other };
struct Owner;
using Queue = proxy::TimerQueue<Owner, Kind>;
struct Owner {
    Queue::OwnedTimers timers;
};
constexpr std::uint64_t kAnyOrder = 1000;

struct TimerQueueTest : ::testing::Test {
    Queue queue{&Owner::timers};
    void set(Millis at, std::uint64_t label, Owner* owner = nullptr) {
        queue.set(at, Kind::ordinary, owner, 0, label);
    }
    std::vector<std::uint64_t> pop_all(Millis now, std::uint64_t last_order = kAnyOrder) {
        std::vector<std::uint64_t> labels;
        while (const auto timer = queue.pop_due(now, last_order)) labels.push_back(timer->label);
        return labels;
    }
};

TEST_F(TimerQueueTest, PopsTimersByDueTimeThenByOrderOfSetting) {
    set(20, 1);
    set(10, 2);
    set(20, 3);
    set(10, 4);
    EXPECT_EQ(queue.next_due(), 10);
    EXPECT_EQ(pop_all(20), (std::vector<std::uint64_t>{2, 4, 1, 3}));
    EXPECT_TRUE(queue.empty());
}

TEST_F(TimerQueueTest, PopsATimerWhenItIsDueAndNotBefore) {
    set(10, 1);
    EXPECT_FALSE(queue.pop_due(9.999, kAnyOrder));
    EXPECT_EQ(queue.size(), 1u);
    EXPECT_TRUE(queue.pop_due(10, kAnyOrder));
    EXPECT_FALSE(queue.pop_due(10, kAnyOrder));
}

TEST_F(TimerQueueTest, DoesNotPopTimersSetAfterTheGivenOrder) {
    EXPECT_EQ(queue.last_order(), 0u);
    set(10, 1);
    const std::uint64_t before = queue.last_order();
    set(10, 2);
    EXPECT_EQ(pop_all(10, before), (std::vector<std::uint64_t>{1}));
    EXPECT_EQ(pop_all(10), (std::vector<std::uint64_t>{2}));
}

TEST_F(TimerQueueTest, ReturnsAllFieldsOfATimer) {
    Owner owner;
    queue.set(10, Kind::other, &owner, 3, 7);
    const auto timer = queue.pop_due(11, kAnyOrder);
    ASSERT_TRUE(timer);
    EXPECT_EQ(timer->at, 10);
    EXPECT_EQ(timer->order, 1u);
    EXPECT_EQ(timer->label, 7u);
    EXPECT_EQ(timer->kind, Kind::other);
    EXPECT_EQ(timer->owner, &owner);
    EXPECT_EQ(timer->attempt, 3);
}

TEST_F(TimerQueueTest, CancelsAllTimersOfOneOwnerOnly) {
    Owner first;
    Owner second;
    set(10, 1, &first);
    set(20, 2, &second);
    set(30, 3, &first);
    set(40, 4);
    queue.cancel_all(first);
    EXPECT_TRUE(first.timers.empty());
    EXPECT_EQ(pop_all(100), (std::vector<std::uint64_t>{2, 4}));
}

TEST_F(TimerQueueTest, RemovesAPoppedTimerFromItsOwner) {
    Owner owner;
    set(10, 1, &owner);
    set(20, 2, &owner);
    ASSERT_TRUE(queue.pop_due(10, kAnyOrder));
    EXPECT_EQ(owner.timers.size(), 1u);
    queue.cancel_all(owner);
    EXPECT_TRUE(queue.empty());
}

}  // namespace
}  // namespace gorsenotch::test
