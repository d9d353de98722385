#include "net/signal_watcher.h"

#include <uv.h>

#include <utility>

#include "net/event_loop.h"

namespace gorsenotch::net {

struct SignalWatcher::Handle {
    uv_signal_t uv{};
    std::function<void()> fire;
};

SignalWatcher::SignalWatcher(EventLoop& loop, int signal_number, std::function<void()> fire)
    : handle_(new Handle) {
    handle_->fire = std::move(fire);
    uv_signal_init(loop.raw(), &handle_->uv);
    handle_->uv.data = handle_;
    uv_signal_start(
        &handle_->uv, [](uv_signal_t* handle, int) { static_cast<Handle*>(handle->data)->fire(); },
        signal_number);
    // Does not keep the loop running.
    uv_unref(reinterpret_cast<uv_handle_t*>(&handle_->uv));
}

SignalWatcher::~SignalWatcher() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

}  // namespace gorsenotch::net
