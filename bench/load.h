// An open-loop load generator over persistent connections: requests are sent on schedule, whether or not
// earlier ones have been answered.
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

// When a request was sent, and its time to first token.
struct RequestTiming {
    Millis sent_at = 0, first_token_latency = 0;
};

struct LoadGenerator {
    struct Connection {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<http::Parser> parser;
        Millis sent_at = 0;
        Millis first_token_at = 0;  // 0: none yet
        bool busy = false, open = false;
        long events = 0;  // of the current response
    };
    net::EventLoop& loop;
    std::string address;
    std::string request;     // head and body
    std::string event_mark;  // occurs once in each event of a response
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<Connection*> idle;
    std::vector<RequestTiming> timings;  // of successful requests
    long started = 0, completed = 0, failed = 0, events = 0;
    std::function<void()> on_completed;

    LoadGenerator(net::EventLoop& event_loop, std::string server, std::string request_text, std::string mark)
        : loop(event_loop),
          address(std::move(server)),
          request(std::move(request_text)),
          event_mark(std::move(mark)) {}

    // Sends a request on an idle connection, or on a new one if none is idle.
    void send_request() {
        ++started;
        if (!idle.empty()) {
            Connection* connection = idle.back();
            idle.pop_back();
            return send(*connection);
        }
        connections.push_back(std::make_unique<Connection>());
        Connection* connection = connections.back().get();
        connection->stream = std::make_unique<net::TcpStream>(loop);
        connection->parser =
            std::make_unique<http::Parser>(http::Parser::Kind::response, http::Limits{16384, 100, 0});
        connection->parser->on_body = [this, connection](std::string_view bytes) {
            for (std::size_t at = 0; (at = bytes.find(event_mark, at)) != std::string_view::npos;
                 at += event_mark.size())
                ++connection->events;
            if (connection->first_token_at == 0 && connection->events > 0)
                connection->first_token_at = net::now();
        };
        connection->parser->on_complete = [this, connection] {
            complete(*connection, connection->parser->status == 200);
        };
        connection->stream->on_data = [connection](std::string_view bytes) {
            connection->parser->feed(bytes);
        };
        connection->stream->on_end = [this, connection](int) {
            if (connection->busy) complete(*connection, false);
            std::erase(idle, connection);
            connection->open = false;
        };
        connection->stream->connect(address, "", [this, connection](int error) {
            if (error != 0) return complete(*connection, false);
            connection->open = true;
            connection->stream->set_reading(true);
            send(*connection);
        });
    }
    void send(Connection& connection) {
        connection.busy = true;
        connection.sent_at = net::now();
        connection.first_token_at = 0;
        connection.events = 0;
        connection.stream->write(request);
    }
    void complete(Connection& connection, bool success) {
        connection.busy = false;
        ++completed;
        failed += !success;
        events += connection.events;
        if (success && connection.first_token_at > 0)
            timings.push_back({connection.sent_at, connection.first_token_at - connection.sent_at});
        if (success && connection.open) idle.push_back(&connection);
        if (on_completed) on_completed();
    }
    // Sends `requests_per_s` for `seconds`, at most `max_requests`, then waits for the last response for at
    // most 60 s.
    void run(double requests_per_s, double seconds, long max_requests = 1L << 40) {
        const Millis began = net::now();
        // Rearmed each time it fires: one that fires as an iteration begins and is not rearmed would leave
        // uv_run blocked for good.
        net::Timer timer(loop, [&timer] { timer.fire_after(1); });
        timer.fire_after(1);
        while (true) {
            const Millis elapsed = net::now() - began;
            const long due = std::min(
                max_requests, static_cast<long>(requests_per_s * std::min(elapsed, seconds * 1000) / 1000));
            while (started < due) send_request();
            if ((elapsed >= seconds * 1000 || started >= max_requests) && completed >= started) return;
            if (elapsed > seconds * 1000 + 60000) return;
            uv_run(loop.raw(), UV_RUN_ONCE);
        }
    }
};

}  // namespace gorsenotch::bench
