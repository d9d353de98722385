// The libuv handle of a TcpStream. For use in tcp_stream.cpp and tcp_listener.cpp only.
#pragma once

#include <uv.h>

#include <cstddef>
#include <cstdint>
#include <functional>

#include "net/tcp_stream.h"

namespace gorsenotch::net {

// Owned by its TcpStream until the stream closes it, then by the loop, which frees it.
struct TcpStream::Handle {
    uv_tcp_t uv{};
    TcpStream* owner = nullptr;
    bool closing = false;
    bool wrote = false;  // a byte was handed to the kernel
    bool reading = false;
    bool ended = false;         // on_end was called, or must no longer be called
    std::size_t in_flight = 0;  // bytes in pending WriteRequests
    std::uint64_t written = 0;  // bytes passed to TcpStream::write()
    std::function<void(int)> on_connected;
    uv_connect_t connect_request{};

    void close() {
        if (closing) return;
        closing = true;
        owner = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(&uv),
                 [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
    }
    void end(int code) {
        if (!owner || ended) return;
        ended = true;
        if (reading) uv_read_stop(stream());
        reading = false;
        // Moved out: the callback may destroy the stream that holds it.
        if (const auto callback = std::move(owner->on_end)) callback(code);
    }
    void on_written(int status) {
        if (!owner) return;
        if (status < 0) return end(status);
        wrote = true;
        // A copy: the callback may destroy the stream that holds it.
        const auto callback = owner->on_drain;
        if (in_flight == 0 && callback) callback();
    }
    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&uv); }
};

}  // namespace gorsenotch::net
