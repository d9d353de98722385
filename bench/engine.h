// An engine that costs little CPU: prefills at once, then streams a fixed number of events at a fixed pace.
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

inline std::string event(const std::string& data) { return http::chunk("data: " + data + "\n\n"); }

struct BenchEngine {
    struct Link {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<net::Timer> timer;
        std::unique_ptr<http::Parser> parser;
        bool is_prefill = false;
        int events_left = 0;
        std::list<std::unique_ptr<Link>>::iterator self;
    };
    net::EventLoop loop;
    net::TcpListener listener{loop};
    net::Timer discard_timer{loop, [this] { closed_links.clear(); }};
    std::list<std::unique_ptr<Link>> links;
    std::list<std::unique_ptr<Link>> closed_links;
    int events;  // of each stream
    int pace;    // ms between two of them
    const std::string token = event(
        "{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,"
        "\"delta\":"
        "{\"content\":\" token\"},\"finish_reason\":null}]}");
    const std::string last =
        event("{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}") +
        event("{\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":30}}") +
        event("[DONE]") + std::string(http::kLastChunk);

    BenchEngine(int stream_events, int event_pace) : events(stream_events), pace(event_pace) {
        listener.on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
            links.push_back(std::make_unique<Link>());
            Link* link = links.back().get();
            link->self = std::prev(links.end());
            link->stream = std::move(stream);
            link->parser = std::make_unique<http::Parser>(http::Parser::Kind::request, http::Limits{});
            link->timer = std::make_unique<net::Timer>(loop, [this, link] { step(*link); });
            link->parser->on_body = [link](std::string_view bytes) {
                link->is_prefill |= bytes.find("\"do_remote_decode\":true") != std::string_view::npos;
            };
            link->parser->on_complete = [this, link] { begin(*link); };
            link->stream->on_data = [link](std::string_view bytes) { link->parser->feed(bytes); };
            link->stream->on_end = [this, link](int) {
                link->stream.reset();
                link->timer->stop();
                closed_links.splice(closed_links.end(), links, link->self);
                discard_timer.fire_after(0);
            };
            link->stream->set_reading(true);
        };
    }
    void begin(Link& link) {
        if (link.parser->target == "/abort_request")
            return link.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
        if (link.is_prefill) {
            link.is_prefill = false;
            const std::string body =
                "{\"kv_transfer_params\":{\"do_remote_prefill\":true,\"remote_request_id\":\"r\"}}";
            return link.stream->write(
                http::response_head(200, {{"content-type", "application/json"},
                                          {"content-length", std::to_string(body.size())}}) +
                body);
        }
        link.events_left = events;
        link.stream->write(http::response_head(
            200, {{"content-type", "text/event-stream"}, {"transfer-encoding", "chunked"}}));
        step(link);
    }
    void step(Link& link) {
        if (!link.stream) return;
        link.stream->write(link.events_left-- > 0 ? token : last);
        if (link.events_left >= 0) link.timer->fire_after(pace);
    }
};

}  // namespace gorsenotch::bench
