#include "net/timer.h"

#include <uv.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "net/event_loop.h"

namespace gorsenotch::net {

namespace {

// A delay of 0 would fire again before the loop polls.
constexpr Millis kPollRetryDelay = 1;
// Rounds up to libuv's whole milliseconds: a timer may fire slightly late, but not early.
constexpr Millis kRoundingAllowance = 0.999;

}  // namespace

struct Timer::Handle {
    uv_timer_t uv{};
    EventLoop* loop = nullptr;
    std::function<void()> fire;
    // Do not fire before the sockets have been polled at this time or later; none: no poll is required.
    std::optional<Millis> required_poll;

    void start(Millis delay) {
        // From the current time, not from the loop's cached time, which is that of its last poll.
        const Millis wait = now() + std::max(0.0, delay) - static_cast<Millis>(uv_now(uv.loop));
        uv_timer_start(
            &uv, [](uv_timer_t* handle) { static_cast<Handle*>(handle->data)->on_due(); },
            delay <= 0 ? 0 : static_cast<std::uint64_t>(wait + kRoundingAllowance), 0);
    }
    void on_due() {
        if (required_poll && *required_poll > loop->last_poll()) return start(kPollRetryDelay);
        fire();
    }
};

Timer::Timer(EventLoop& loop, std::function<void()> fire) : handle_(new Handle) {
    handle_->fire = std::move(fire);
    handle_->loop = &loop;
    uv_timer_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
}

Timer::~Timer() {
    uv_timer_stop(&handle_->uv);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::fire_after(Millis delay) {
    handle_->required_poll.reset();
    handle_->start(delay);
}

void Timer::fire_after_poll(Millis delay) {
    handle_->required_poll = std::floor(now() + std::max(0.0, delay));  // whole ms, like the loop's time
    handle_->start(delay);
}

void Timer::stop() { uv_timer_stop(&handle_->uv); }

}  // namespace gorsenotch::net
