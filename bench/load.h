// An open-loop load over kept connections: requests go out when they are due, whatever came of the others.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/parser.h"
#include "net/event_loop.h"

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
    std::string address, request, mark;
    std::vector<std::unique_ptr<Link>> links;
    std::vector<Link*> idle;
    std::vector<Taken> times;
    long begun = 0, done = 0, failed = 0, events = 0;
    std::function<void()> on_done;

    Load(net::EventLoop& l, std::string a, std::string r, std::string m)
        : loop(l), address(std::move(a)), request(std::move(r)), mark(std::move(m)) {}

    void ask() {
        ++begun;
        Link* load = nullptr;
        if (!idle.empty()) {
            load = idle.back();
            idle.pop_back();
            return send(*load);
        }
        links.push_back(std::make_unique<Link>());
        load = links.back().get();
        load->stream = std::make_unique<net::TcpStream>(loop);
        load->parser =
            std::make_unique<http::Parser>(http::Parser::Kind::response, http::Limits{16384, 100, 0});
        load->parser->on_body = [this, load](std::string_view b) {
            for (std::size_t at = 0; (at = b.find(mark, at)) != std::string_view::npos; at += mark.size())
                ++load->events;
            if (load->first == 0 && load->events > 0) load->first = net::now();
        };
        load->parser->on_complete = [this, load] { end(*load, load->parser->status == 200); };
        load->stream->on_data = [load](std::string_view b) { load->parser->feed(b); };
        load->stream->on_end = [this, load](int) {
            if (load->busy) end(*load, false);
            std::erase(idle, load);
            load->open = false;
        };
        load->stream->connect(address, "", [this, load](int e) {
            if (e != 0) return end(*load, false);
            load->open = true;
            load->stream->set_reading(true);
            send(*load);
        });
    }
    void send(Link& load) {
        load.busy = true, load.sent = net::now(), load.first = 0, load.events = 0;
        load.stream->write(request);
    }
    void end(Link& load, bool ok) {
        load.busy = false;
        ++done;
        failed += !ok;
        events += load.events;
        if (ok && load.first > 0) times.push_back({load.sent, load.first - load.sent});
        if (ok && load.open) idle.push_back(&load);
        if (on_done) on_done();
    }
    // `rate` a second for `seconds`, then waits for the last; at most `most` requests.
    void run(double rate, double seconds, long most = 1L << 40) {
        const Millis began = net::now();
        // Arms itself anew: one that fires as the loop begins its turn would leave it asleep for good.
        net::Timer timer(loop, [&timer] { timer.fire_after(1); });
        timer.fire_after(1);
        while (true) {
            const Millis t = net::now() - began;
            const long due = std::min(most, static_cast<long>(rate * std::min(t, seconds * 1000) / 1000));
            while (begun < due) ask();
            if ((t >= seconds * 1000 || begun >= most) && done >= begun) return;
            if (t > seconds * 1000 + 60000) return;
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
    }
};

}  // namespace gorsenotch::bench
