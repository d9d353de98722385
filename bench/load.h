// An open-loop load over persistent connections: requests are sent when they are due, whatever became of the
// others.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/parser.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::bench {

using net::Millis;

// When a request was due, and how long it waited for its first token.
struct Taken {
    Millis at = 0, first = 0;
};

struct Load {
    struct Link {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<http::Parser> parser;
        Millis sent = 0, first = 0;
        bool busy = false, open = false;
        long events = 0;
    };
    net::EventLoop& loop;
    std::string address;
    std::string request;  // head and body
    std::string mark;     // occurs once in each event of an answer
    std::vector<std::unique_ptr<Link>> links;
    std::vector<Link*> idle;
    std::vector<Taken> times;
    long begun = 0, done = 0, failed = 0, events = 0;
    std::function<void()> on_done;

    Load(net::EventLoop& event_loop, std::string server, std::string request_text, std::string event_mark)
        : loop(event_loop),
          address(std::move(server)),
          request(std::move(request_text)),
          mark(std::move(event_mark)) {}

    void ask() {
        ++begun;
        if (!idle.empty()) {
            Link* link = idle.back();
            idle.pop_back();
            return send(*link);
        }
        links.push_back(std::make_unique<Link>());
        Link* link = links.back().get();
        link->stream = std::make_unique<net::TcpStream>(loop);
        link->parser =
            std::make_unique<http::Parser>(http::Parser::Kind::response, http::Limits{16384, 100, 0});
        link->parser->on_body = [this, link](std::string_view bytes) {
            for (std::size_t at = 0; (at = bytes.find(mark, at)) != std::string_view::npos; at += mark.size())
                ++link->events;
            if (link->first == 0 && link->events > 0) link->first = net::now();
        };
        link->parser->on_complete = [this, link] { end(*link, link->parser->status == 200); };
        link->stream->on_data = [link](std::string_view bytes) { link->parser->feed(bytes); };
        link->stream->on_end = [this, link](int) {
            if (link->busy) end(*link, false);
            std::erase(idle, link);
            link->open = false;
        };
        link->stream->connect(address, "", [this, link](int error) {
            if (error != 0) return end(*link, false);
            link->open = true;
            link->stream->set_reading(true);
            send(*link);
        });
    }
    void send(Link& link) {
        link.busy = true;
        link.sent = net::now();
        link.first = 0;
        link.events = 0;
        link.stream->write(request);
    }
    void end(Link& link, bool ok) {
        link.busy = false;
        ++done;
        failed += !ok;
        events += link.events;
        if (ok && link.first > 0) times.push_back({link.sent, link.first - link.sent});
        if (ok && link.open) idle.push_back(&link);
        if (on_done) on_done();
    }
    // `rate` a second for `seconds`, then waits for the last; at most `most` requests.
    void run(double rate, double seconds, long most = 1L << 40) {
        const Millis began = net::now();
        // Set again each time it fires: one that fires as the loop begins its turn would leave the loop
        // asleep for good.
        net::Timer timer(loop, [&timer] { timer.fire_after(1); });
        timer.fire_after(1);
        while (true) {
            const Millis elapsed = net::now() - began;
            const long due =
                std::min(most, static_cast<long>(rate * std::min(elapsed, seconds * 1000) / 1000));
            while (begun < due) ask();
            if ((elapsed >= seconds * 1000 || begun >= most) && done >= begun) return;
            if (elapsed > seconds * 1000 + 60000) return;
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
    }
};

}  // namespace gorsenotch::bench
