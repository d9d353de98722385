// The driver's own work, with a clock that the test sets: order of events and timers, timeouts after a poll,
// stalls.
#include "proxy/router_driver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace gorsenotch::test {
namespace {

enum class Kind { router, ordinary };
struct Owner;
using Driver = proxy::RouterDriver<Owner, Kind>;
struct Owner {
    Driver::OwnedTimers timers;
    Driver::OwnedTimers timeouts;
};

Settings one_class_settings() {
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].latency_objective = 50;
    settings.classes[0].deadline = 100;
    settings.tenants.resize(1);
    settings.kinds.resize(1);
    return settings;
}

struct RouterDriverTest : ::testing::Test {
    Millis clock = 1000;
    std::vector<std::string> calls;
    Owner owner;
    Driver driver{one_class_settings(), 1, &Owner::timers, &Owner::timeouts};

    RouterDriverTest() {
        driver.now = [this] { return clock; };
        driver.execute = [](const Action&) {};
        driver.on_idle = [this] { calls.emplace_back("idle"); };
        driver.on_timer = [this](const Driver::Timer& timer) {
            calls.push_back("timer " + std::to_string(timer.label));
        };
        driver.on_stall = [this](Millis stall) {
            calls.push_back("stall " + std::to_string(static_cast<int>(stall)));
        };
    }
    void set(Millis at, std::uint64_t label, bool is_timeout = false) {
        driver.set_timer(Kind::ordinary, at, &owner, 0, label, is_timeout);
    }
    using Calls = std::vector<std::string>;
};

TEST_F(RouterDriverTest, FiresDueTimersAndReturnsTheTimeOfTheNext) {
    set(1000, 1);
    set(1050, 2);
    EXPECT_EQ(driver.tick(), 1050);
    EXPECT_EQ(calls, Calls{"timer 1"});
    EXPECT_EQ(driver.pending_timers(), 1u);
    driver.before_poll(1050);
    clock = 1050;
    EXPECT_EQ(driver.tick(), 2050);  // no timer is left: the next tick is in 1 s
    EXPECT_EQ(calls, (Calls{"timer 1", "timer 2"}));
}

TEST_F(RouterDriverTest, DefersATimerSetWhileAnotherFiresToTheNextTick) {
    driver.on_timer = [this](const Driver::Timer& timer) {
        calls.push_back("timer " + std::to_string(timer.label));
        if (timer.label == 1) set(clock, 2);
    };
    set(1000, 1);
    EXPECT_EQ(driver.tick(), 1000);
    EXPECT_EQ(calls, Calls{"timer 1"});
    driver.tick();
    EXPECT_EQ(calls, (Calls{"timer 1", "timer 2"}));
}

TEST_F(RouterDriverTest, FiresATimeoutOnlyAfterAPollSinceItWasDue) {
    driver.after_poll(1000);
    set(1010, 1, true);
    clock = 1010;
    EXPECT_EQ(driver.tick(), 1011);  // checked again in 1 ms
    EXPECT_TRUE(calls.empty());
    driver.after_poll(1010);
    driver.tick();
    EXPECT_EQ(calls, Calls{"timer 1"});
}

TEST_F(RouterDriverTest, WakesTheLoopOnlyForATimerDueBeforeTheNextTick) {
    int wakes = 0;
    driver.on_wake = [&wakes] { ++wakes; };
    EXPECT_EQ(driver.tick(), 2000);
    set(2000, 1);
    EXPECT_EQ(wakes, 0);
    set(1500, 2);
    EXPECT_EQ(wakes, 1);
}

TEST_F(RouterDriverTest, CancelsTimersAndTimeoutsOfAnOwner) {
    Owner other;
    set(1000, 1);
    set(1000, 2, true);
    driver.set_timer(Kind::ordinary, 1000, &other, 0, 3, false);
    driver.cancel_timers(owner);
    EXPECT_EQ(driver.pending_timers(), 1u);
    driver.tick();
    EXPECT_EQ(calls, Calls{"timer 3"});
}

TEST_F(RouterDriverTest, ReportsAStallOnceAndFiresTheTimersThatFellDueInIt) {
    driver.before_poll(1010);
    set(1200, 1);
    set(1200, 2, true);
    clock = 1510;
    driver.handle_stalls();
    EXPECT_EQ(calls, (Calls{"stall 500", "timer 1"}));  // the timeout waits for a poll
    driver.handle_stalls();
    EXPECT_EQ(calls.size(), 2u);
    EXPECT_EQ(driver.stalled_for(), 500);
}

TEST_F(RouterDriverTest, HandlesAnEventFedFromAnActionAfterTheCurrentEvent) {
    std::vector<std::string> order;
    driver.on_event = [&order](Millis, const Event& event) {
        order.emplace_back(std::holds_alternative<Arrival>(event) ? "arrival" : "disconnected");
    };
    driver.execute = [this, &order](const Action& action) {
        const auto* reject = std::get_if<Reject>(&action);
        if (!reject) return;
        driver.feed(ClientDisconnected{reject->request});
        order.emplace_back("end of action");
    };
    Arrival arrival;
    arrival.request = "request";
    arrival.deadline = clock + 100;
    driver.feed(arrival);
    clock += 200;
    driver.tick();
    ASSERT_EQ(order.front(), "arrival");
    const auto action = std::find(order.begin(), order.end(), "end of action");
    ASSERT_NE(action, order.end());
    EXPECT_EQ(*(action + 1), "disconnected");
    EXPECT_EQ(calls.back(), "idle");
}

TEST_F(RouterDriverTest, ExtendsAnAttemptsTimeoutByAStallBeforeItsRequestWasWritten) {
    driver.before_poll(1000);
    auto attempt_clock = driver.start_clock(100, 9000);
    clock = 1500;
    driver.on_request_written(attempt_clock);
    EXPECT_EQ(attempt_clock.timeout_at(), 1600);
    EXPECT_FALSE(driver.has_expired(attempt_clock));
    clock = 1600;
    EXPECT_TRUE(driver.has_expired(attempt_clock));
}

}  // namespace
}  // namespace gorsenotch::test
