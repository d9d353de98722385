// A bare relay on libuv: bytes from one side to the other, nothing else. What any gateway must at least cost.
#include <signal.h>
#include <uv.h>

#include <iostream>

#include "net/event_loop.h"
#include "parts.h"
#include "processes.h"

namespace gorsenotch::bench {
namespace {

struct Pipe {
    uv_tcp_t a{}, b{};
    int open = 2;
    bool closing = false;
};
sockaddr_storage relay_to;
char relay_buffer[16384];

void relay_close(Pipe* p) {
    if (p->closing) return;
    p->closing = true;
    const auto done = [](uv_handle_t* handle) {
        auto* q = static_cast<Pipe*>(handle->data);
        if (--q->open == 0) delete q;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&p->a), done);
    uv_close(reinterpret_cast<uv_handle_t*>(&p->b), done);
}

void relay_read(uv_stream_t* from) {
    uv_read_start(
        from,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
            *buf = uv_buf_init(relay_buffer, sizeof relay_buffer);
        },
        [](uv_stream_t* handle, ssize_t n, const uv_buf_t* buf) {
            auto* p = static_cast<Pipe*>(handle->data);
            if (n < 0) return relay_close(p);
            if (n == 0) return;
            auto* to = reinterpret_cast<uv_stream_t*>(
                handle == reinterpret_cast<uv_stream_t*>(&p->a) ? &p->b : &p->a);
            uv_buf_t out = uv_buf_init(buf->base, static_cast<unsigned>(n));
            if (uv_try_write(to, &out, 1) != n)
                relay_close(p);  // enough for this bench: its writes are small
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
    const int e = uv_listen(reinterpret_cast<uv_stream_t*>(&server), 4096, [](uv_stream_t* handle, int) {
        auto* p = new Pipe;
        uv_tcp_init(handle->loop, &p->a);
        uv_tcp_init(handle->loop, &p->b);
        p->a.data = p->b.data = p;
        uv_accept(handle, reinterpret_cast<uv_stream_t*>(&p->a));
        uv_tcp_nodelay(&p->a, 1);
        auto* c = new uv_connect_t;
        c->data = p;
        uv_tcp_connect(c, &p->b, reinterpret_cast<sockaddr*>(&relay_to), [](uv_connect_t* req, int status) {
            auto* q = static_cast<Pipe*>(req->data);
            delete req;
            if (status < 0) return relay_close(q);
            uv_tcp_nodelay(&q->b, 1);
            relay_read(reinterpret_cast<uv_stream_t*>(&q->a));
            relay_read(reinterpret_cast<uv_stream_t*>(&q->b));
        });
    });
    if (e != 0) return 4;
    std::cout << "ready" << std::endl;
    return uv_run(&loop, UV_RUN_DEFAULT);
}

}  // namespace gorsenotch::bench
