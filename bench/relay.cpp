// A bare relay on libuv that only forwards bytes between a client and a server: the lower bound of the CPU
// use of a gateway.
#include <uv.h>

#include <csignal>
#include <iostream>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "parts.h"
#include "processes.h"

namespace gorsenotch::bench {
namespace {

// A client connection and its upstream connection.
struct RelayedConnection {
    uv_tcp_t client{};
    uv_tcp_t server{};
    int open_handles = 2;
    bool closing = false;
};
sockaddr_storage upstream_address;
char read_buffer[16384];

void close_pair(RelayedConnection* pair) {
    if (pair->closing) return;
    pair->closing = true;
    const auto on_closed = [](uv_handle_t* handle) {
        auto* closed = static_cast<RelayedConnection*>(handle->data);
        if (--closed->open_handles == 0) delete closed;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&pair->client), on_closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&pair->server), on_closed);
}

void start_forwarding(uv_stream_t* from) {
    uv_read_start(
        from,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) { *buf = uv_buf_init(read_buffer, sizeof read_buffer); },
        [](uv_stream_t* handle, ssize_t length, const uv_buf_t* buf) {
            auto* pair = static_cast<RelayedConnection*>(handle->data);
            if (length < 0) return close_pair(pair);
            if (length == 0) return;
            auto* to = reinterpret_cast<uv_stream_t*>(
                handle == reinterpret_cast<uv_stream_t*>(&pair->client) ? &pair->server : &pair->client);
            uv_buf_t out = uv_buf_init(buf->base, static_cast<unsigned>(length));
            if (uv_try_write(to, &out, 1) != length)
                close_pair(pair);  // partial writes need no handling: the writes of the benchmark are small
        });
}

}  // namespace

int run_relay(const std::string& listen, const std::string& upstream) {
    pin_to_core(0);
    signal(SIGPIPE, SIG_IGN);
    net::parse_address(upstream, upstream_address);
    sockaddr_storage listen_address{};
    net::parse_address(listen, listen_address);
    static uv_loop_t loop;
    uv_loop_init(&loop);
    uv_tcp_t server{};
    uv_tcp_init(&loop, &server);
    uv_tcp_bind(&server, reinterpret_cast<sockaddr*>(&listen_address), 0);
    const int error = uv_listen(reinterpret_cast<uv_stream_t*>(&server), 4096, [](uv_stream_t* handle, int) {
        auto* pair = new RelayedConnection;
        uv_tcp_init(handle->loop, &pair->client);
        uv_tcp_init(handle->loop, &pair->server);
        pair->client.data = pair;
        pair->server.data = pair;
        uv_accept(handle, reinterpret_cast<uv_stream_t*>(&pair->client));
        uv_tcp_nodelay(&pair->client, 1);
        auto* connect = new uv_connect_t;
        connect->data = pair;
        uv_tcp_connect(connect, &pair->server, reinterpret_cast<sockaddr*>(&upstream_address),
                       [](uv_connect_t* req, int status) {
                           auto* connected = static_cast<RelayedConnection*>(req->data);
                           delete req;
                           if (status < 0) return close_pair(connected);
                           uv_tcp_nodelay(&connected->server, 1);
                           start_forwarding(reinterpret_cast<uv_stream_t*>(&connected->client));
                           start_forwarding(reinterpret_cast<uv_stream_t*>(&connected->server));
                       });
    });
    if (error != 0) return 4;
    std::cout << "ready" << std::endl;
    return uv_run(&loop, UV_RUN_DEFAULT);
}

}  // namespace gorsenotch::bench
