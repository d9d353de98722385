// A fake engine that uses little CPU: answers a prefill at once and streams a fixed number of events at a
// fixed interval for a decode.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "http/parser.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::bench {

// A server-sent event with `data`, as one HTTP chunk.
inline std::string event(const std::string& data) { return http::chunk("data: " + data + "\n\n"); }

struct BenchEngine {
    struct Connection {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<net::Timer> timer;
        std::unique_ptr<http::Parser> parser;
        bool is_prefill = false;
        int events_left = 0;
        std::list<std::unique_ptr<Connection>>::iterator self;
    };
    net::EventLoop loop;
    net::TcpListener listener{loop};
    net::Timer discard_timer{loop, [this] { closed_connections.clear(); }};
    std::list<std::unique_ptr<Connection>> connections;
    std::list<std::unique_ptr<Connection>> closed_connections;
    int events_per_stream;
    int event_interval_ms;
    const std::string token_event = event(
        "{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,"
        "\"delta\":"
        "{\"content\":\" token\"},\"finish_reason\":null}]}");
    const std::string final_events =
        event("{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}") +
        event("{\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":30}}") +
        event("[DONE]") + std::string(http::kLastChunk);

    BenchEngine(int events, int interval_ms) : events_per_stream(events), event_interval_ms(interval_ms) {
        listener.on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
            connections.push_back(std::make_unique<Connection>());
            Connection* connection = connections.back().get();
            connection->self = std::prev(connections.end());
            connection->stream = std::move(stream);
            connection->parser = std::make_unique<http::Parser>(http::Parser::Kind::request, http::Limits{});
            connection->timer =
                std::make_unique<net::Timer>(loop, [this, connection] { send_next_event(*connection); });
            connection->parser->on_body = [connection](std::string_view bytes) {
                connection->is_prefill |= bytes.find("\"do_remote_decode\":true") != std::string_view::npos;
            };
            connection->parser->on_complete = [this, connection] { respond(*connection); };
            connection->stream->on_data = [connection](std::string_view bytes) {
                connection->parser->feed(bytes);
            };
            connection->stream->on_end = [this, connection](int) {
                connection->stream.reset();
                connection->timer->stop();
                closed_connections.splice(closed_connections.end(), connections, connection->self);
                discard_timer.fire_after(0);
            };
            connection->stream->set_reading(true);
        };
    }
    void respond(Connection& connection) {
        if (connection.parser->target == "/abort_request")
            return connection.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
        if (connection.is_prefill) {
            connection.is_prefill = false;
            const std::string body =
                "{\"kv_transfer_params\":{\"do_remote_prefill\":true,\"remote_request_id\":\"r\"}}";
            return connection.stream->write(
                http::response_head(200, {{"content-type", "application/json"},
                                          {"content-length", std::to_string(body.size())}}) +
                body);
        }
        connection.events_left = events_per_stream;
        connection.stream->write(http::response_head(
            200, {{"content-type", "text/event-stream"}, {"transfer-encoding", "chunked"}}));
        send_next_event(connection);
    }
    void send_next_event(Connection& connection) {
        if (!connection.stream) return;
        connection.stream->write(connection.events_left-- > 0 ? token_event : final_events);
        if (connection.events_left >= 0) connection.timer->fire_after(event_interval_ms);
    }
};

}  // namespace gorsenotch::bench
