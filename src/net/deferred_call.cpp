#include "net/deferred_call.h"

#include <uv.h>

#include <utility>

#include "net/event_loop.h"

namespace gorsenotch::net {

struct DeferredCall::Handle {
    uv_check_t check{};      // runs after the poll of this iteration
    uv_prepare_t prepare{};  // runs after its timers, before the next poll
    uv_idle_t idle{};        // keeps a poll from waiting if the call was scheduled right before it
    std::function<void()> call;
    bool scheduled = false;
    bool owned = true;  // false once the DeferredCall is destroyed
    int open_handles = 3;

    void run() {
        if (!scheduled || !owned) return;
        scheduled = false;
        uv_check_stop(&check);
        uv_prepare_stop(&prepare);
        uv_idle_stop(&idle);
        call();
    }
};

DeferredCall::DeferredCall(EventLoop& loop, std::function<void()> call) : handle_(new Handle) {
    handle_->call = std::move(call);
    uv_check_init(loop.raw(), &handle_->check);
    uv_prepare_init(loop.raw(), &handle_->prepare);
    uv_idle_init(loop.raw(), &handle_->idle);
    handle_->check.data = handle_;
    handle_->prepare.data = handle_;
    handle_->idle.data = handle_;
}

DeferredCall::~DeferredCall() {
    handle_->owned = false;
    const auto closed = [](uv_handle_t* handle) {
        auto* shared = static_cast<Handle*>(handle->data);
        if (--shared->open_handles == 0) delete shared;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->check), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->prepare), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->idle), closed);
}

void DeferredCall::schedule() {
    if (handle_->scheduled) return;
    handle_->scheduled = true;
    uv_check_start(&handle_->check, [](uv_check_t* handle) { static_cast<Handle*>(handle->data)->run(); });
    uv_prepare_start(&handle_->prepare,
                     [](uv_prepare_t* handle) { static_cast<Handle*>(handle->data)->run(); });
    uv_idle_start(&handle_->idle, [](uv_idle_t*) {});
}

}  // namespace gorsenotch::net
