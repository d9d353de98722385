// A bare relay on libuv: bytes from one side to the other, nothing else. The least CPU that any gateway uses.
#include <uv.h>

#include <csignal>
#include <iostream>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "parts.h"
#include "processes.h"

namespace gorsenotch::bench {
namespace {

struct Pipe {
    uv_tcp_t client{};
    uv_tcp_t server{};
    int open_handles = 2;
    bool closing = false;
};
sockaddr_storage relay_to;
char relay_buffer[16384];

void relay_close(Pipe* pipe) {
    if (pipe->closing) return;
    pipe->closing = true;
    const auto done = [](uv_handle_t* handle) {
        auto* closed = static_cast<Pipe*>(handle->data);
        if (--closed->open_handles == 0) delete closed;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&pipe->client), done);
    uv_close(reinterpret_cast<uv_handle_t*>(&pipe->server), done);
}

void relay_read(uv_stream_t* from) {
    uv_read_start(
        from,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
            *buf = uv_buf_init(relay_buffer, sizeof relay_buffer);
        },
        [](uv_stream_t* handle, ssize_t n, const uv_buf_t* buf) {
            auto* pipe = static_cast<Pipe*>(handle->data);
            if (n < 0) return relay_close(pipe);
            if (n == 0) return;
            auto* to = reinterpret_cast<uv_stream_t*>(
                handle == reinterpret_cast<uv_stream_t*>(&pipe->client) ? &pipe->server : &pipe->client);
            uv_buf_t out = uv_buf_init(buf->base, static_cast<unsigned>(n));
            if (uv_try_write(to, &out, 1) != n)
                relay_close(pipe);  // enough for this bench: its writes are small
        });
}

}  // namespace

int run_relay(const std::string& listen, const std::string& to) {
    pin(0);
    signal(SIGPIPE, SIG_IGN);
    net::parse_address(to, relay_to);
    sockaddr_storage at{};
    net::parse_address(listen, at);
    static uv_loop_t loop;
    uv_loop_init(&loop);
    uv_tcp_t server{};
    uv_tcp_init(&loop, &server);
    uv_tcp_bind(&server, reinterpret_cast<sockaddr*>(&at), 0);
    const int error = uv_listen(reinterpret_cast<uv_stream_t*>(&server), 4096, [](uv_stream_t* handle, int) {
        auto* pipe = new Pipe;
        uv_tcp_init(handle->loop, &pipe->client);
        uv_tcp_init(handle->loop, &pipe->server);
        pipe->client.data = pipe;
        pipe->server.data = pipe;
        uv_accept(handle, reinterpret_cast<uv_stream_t*>(&pipe->client));
        uv_tcp_nodelay(&pipe->client, 1);
        auto* connect = new uv_connect_t;
        connect->data = pipe;
        uv_tcp_connect(connect, &pipe->server, reinterpret_cast<sockaddr*>(&relay_to),
                       [](uv_connect_t* req, int status) {
                           auto* connected = static_cast<Pipe*>(req->data);
                           delete req;
                           if (status < 0) return relay_close(connected);
                           uv_tcp_nodelay(&connected->server, 1);
                           relay_read(reinterpret_cast<uv_stream_t*>(&connected->client));
                           relay_read(reinterpret_cast<uv_stream_t*>(&connected->server));
                       });
    });
    if (error != 0) return 4;
    std::cout << "ready" << std::endl;
    return uv_run(&loop, UV_RUN_DEFAULT);
}

}  // namespace gorsenotch::bench
