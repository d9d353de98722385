#include "gateway/http_server.h"

#include <algorithm>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <utility>

#include "api/messages.h"

namespace gorsenotch::gateway {

namespace {
constexpr Millis kLinger = 1000;             // for which a connection that is done is still read
constexpr std::size_t kDescriptors = 65536;  // for which there is room from the start
constexpr std::size_t kTurnedAway = 16;      // connections beyond the limit that are answered at once
}  // namespace

// One connection: one request at a time, pipelined ones wait their turn.
class HttpServer::Connection : public Client {
public:
    Connection(HttpServer& server, std::unique_ptr<net::TcpStream> stream)
        : s_(server),
          stream_(std::move(stream)),
          parser_(http::Parser::Kind::request,
                  {server.p_.limits.header_bytes, server.p_.limits.headers, server.p_.limits.body_bytes}),
          timer_(server.loop_, [this] { overdue(); }) {
        stream_->on_data = [this](std::string_view b) { data(b); };
        stream_->on_end = [this](int) { gone(); };
        stream_->on_drain = [this] { drained(); };
        parser_.on_headers = [this] { headers(); };
        parser_.on_body = [this](std::string_view b) {
            if (!early_) request_.body.append(b);
        };
        timer_.fire_after_poll(s_.p_.limits.idle_ms);
        stream_->set_reading(true);
    }

    bool idle() const {
        return !busy_ && !parser_.begun() && stream_ && stream_->queued() == 0 && out_.empty();
    }
    void turn_away() {
        ++s_.turned_away_;
        away_ = true;
        id_ = s_.next_id();
        busy_ = true;
        reply(overloaded());
    }
    // Guards against a request that came before the drain and is lost with a reset: it is read and refused.
    void shut_idle() {
        if (idle() && pending_.empty() && !stream_->has_unread_input()) close();
    }
    Connections::iterator self;

    // ---- Client -----------------------------------------------------------------------------------------

    void begin_stream() override {
        begun_ = true;
        http::Headers h = common();
        h.emplace_back("content-type", "text/event-stream; charset=utf-8");
        h.emplace_back("cache-control", "no-cache");
        if (chunked()) h.emplace_back("transfer-encoding", "chunked");
        write(http::response_head(200, h));
    }
    void send_body(std::string bytes) override {
        if (chunked()) {
            http::append_chunk(out_, bytes);
        } else {
            out_ += bytes;
        }
        wrote();
    }
    void finish_stream() override {
        if (chunked()) write(std::string(http::last_chunk));
        end_answer();
    }
    void send_complete(int status, std::string bytes, Millis pause, std::optional<bool> retry) override {
        http::Headers h = common();
        h.emplace_back("content-type", "application/json");
        h.emplace_back("content-length", std::to_string(bytes.size()));
        if (pause >= 0) {
            // The public clients heed the finer header first. Without advice of the Router, one second.
            const Millis wait = pause > 0 ? std::ceil(pause) : 1000;
            h.emplace_back("retry-after", std::to_string(static_cast<long>(std::ceil(wait / 1000))));
            h.emplace_back("retry-after-ms", std::to_string(static_cast<long>(wait)));
        }
        if (retry) h.emplace_back("x-should-retry", *retry ? "true" : "false");
        write(http::response_head(status, h) + bytes);
        end_answer();
    }

private:
    bool chunked() const { return parser_.minor >= 1; }

    http::Headers common() {
        keep_ = keep_ && !s_.draining_;
        return {{"request-id", id_}, {"connection", keep_ ? "keep-alive" : "close"}};
    }

    void write(const std::string& bytes) {
        out_ += bytes;
        wrote();
    }

    // What one turn of the loop says to a client goes out in one write, at the turn's end.
    void wrote() {
        if (!stream_) return;
        // Guards against memory taken in one long turn, in which an engine may send much.
        if (out_.size() > s_.p_.limits.stream_buffer) return flush();
        if (unsent_) return;
        unsent_ = true;
        s_.unsent_.push_back(this);
        s_.turn_.schedule();
    }

public:
    void flush() {
        if (std::exchange(unsent_, false)) std::erase(s_.unsent_, this);
        if (!stream_) return;
        stream_->write(std::exchange(out_, {}));
        s_.most_waiting_ = std::max(s_.most_waiting_, stream_->queued());
        if (closing_ && stream_->queued() == 0) return stream_->shutdown_write();
        // Back-pressure: the engine's socket is not read while this client is behind.
        if (begun_ && open_ && !congested_ && stream_->queued() > s_.p_.limits.stream_buffer) {
            congested_ = true;
            timer_.fire_after_poll(s_.p_.limits.stream_idle_ms);
            s_.lifecycle_.on_client_congested(id_, true);
        }
    }

private:
    void drained() {
        if (closing_) return out_.empty() ? stream_->shutdown_write() : flush();
        if (!congested_) return;
        congested_ = false;
        timer_.stop();
        s_.lifecycle_.on_client_congested(id_, false);
    }

    void data(std::string_view bytes) {
        const net::ActivityScope doing(s_.loop_, "clients");
        if (closing_) return;
        if (busy_ || !pending_.empty()) {
            pending_.append(bytes);
            // Guards against memory taken by what waits behind an answer.
            if (pending_.size() > s_.p_.limits.header_bytes) stream_->set_reading(false);
            return;
        }
        feed(bytes);
    }

    void feed(std::string_view bytes) {
        std::string rest;
        while (!bytes.empty() && stream_ && !closing_) {
            if (!parser_.begun()) timer_.fire_after_poll(s_.p_.limits.header_ms);
            const std::size_t n = parser_.feed(bytes);
            bytes.remove_prefix(std::min(n, bytes.size()));
            if (parser_.fault() != http::Fault::none) return refuse_faulty();
            if (!parser_.complete()) return;
            pending_.assign(bytes);
            timer_.stop();
            take();
            if (busy_ || !stream_ || closing_) return;
            rest = std::exchange(pending_, {});
            bytes = rest;
            if (bytes.empty()) timer_.fire_after_poll(s_.p_.limits.idle_ms);
        }
    }

    void headers() {
        id_ = s_.next_id();
        keep_ = parser_.keep_alive;
        begun_ = false;
        request_ = {parser_.method, parser_.target.substr(0, parser_.target.find('?')), parser_.headers, {}};
        early_ = precheck(s_.p_, request_, id_);
        timer_.fire_after_poll(s_.p_.limits.body_ms);
        const auto* expect = http::find(request_.headers, "expect");
        if (expect && !early_ && parser_.minor >= 1 && *expect == "100-continue")
            write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void take() {
        busy_ = true;
        if (early_) return reply(*early_);
        auto taken = gateway::take(s_.p_, request_, id_);
        request_.body = {};
        if (const auto* r = std::get_if<Reply>(&taken)) return reply(*r);
        auto& n = std::get<NewRequest>(taken);
        n.client = this;
        n.age = stream_->age();
        if (s_.draining_) return reply(overloaded());
        open_ = true;
        if (s_.lifecycle_.on_request(std::move(n))) return;
        open_ = false;
        reply(overloaded());
    }

    Reply overloaded() const {
        Reply reply = error_reply(529, "overloaded_error", "Overloaded", id_);
        reply.retry = true, reply.pause = 0;
        return reply;
    }

    void reply(const Reply& r) { send_complete(r.status, r.body, r.pause, r.retry); }

    void refuse_faulty() {
        id_ = s_.next_id();
        keep_ = false;
        Reply r;
        switch (parser_.fault()) {
            case http::Fault::headers_too_large:
                r = error_reply(431, "invalid_request_error", "the headers are too long or too many", id_);
                break;
            case http::Fault::body_too_large:
                r = error_reply(413, "request_too_large", "the body exceeds the limit", id_);
                break;
            default:
                r = error_reply(400, "invalid_request_error", "malformed HTTP request", id_);
        }
        busy_ = true;
        reply(r);
    }

    void end_answer() {
        busy_ = open_ = false;
        congested_ = false;
        timer_.stop();
        if (!stream_) return;
        if (!keep_) {
            closing_ = true;
            // What the client still sends is read and dropped: a close with unread bytes would reset the
            // connection and could take the answer with it.
            stream_->set_reading(true);
            timer_.fire_after(kLinger);
            return;
        }
        timer_.fire_after_poll(s_.p_.limits.idle_ms);
        stream_->set_reading(true);
        if (pending_.empty()) return;
        // The next request waits in the buffer; taken in a turn of its own, so that a long row of them does
        // not grow the stack.
        timer_.fire_after(0);
    }

    void overdue() {
        if (!stream_) return;
        if (!busy_ && !closing_ && !pending_.empty()) {
            const std::string next = std::exchange(pending_, {});
            return feed(next);
        }
        if (!busy_ && !closing_ && parser_.begun()) {
            if (id_.empty()) id_ = s_.next_id();
            keep_ = false, busy_ = true;
            return reply(error_reply(408, "invalid_request_error", "the request took too long to come", id_));
        }
        gone();
    }

    void gone() {
        if (!stream_) return;
        const bool open = open_;
        close();
        if (open) s_.lifecycle_.on_client_disconnected(id_);
    }

    void close() {
        open_ = false;
        timer_.stop();
        stream_.reset();
        if (std::exchange(away_, false)) --s_.turned_away_;
        s_.remove(*this);
    }

    HttpServer& s_;
    std::unique_ptr<net::TcpStream> stream_;
    http::Parser parser_;
    net::Timer timer_;
    std::string id_, pending_, out_;
    HttpRequest request_;
    std::optional<Reply> early_;
    // busy: a request is being answered; open: the Core has it
    bool busy_ = false, open_ = false, begun_ = false, congested_ = false, keep_ = false, closing_ = false;
    bool unsent_ = false, away_ = false;
};

HttpServer::HttpServer(net::EventLoop& loop, const settings::Program& program, RequestLifecycle& core,
                       Environment& ports, std::uint64_t instance)
    : loop_(loop),
      p_(program),
      lifecycle_(core),
      environment_(ports),
      instance_(instance),
      turn_(loop, [this] { flush(); }),
      burier_(loop, [this] { dead_.clear(); }) {
    // Each client may need a connection to an engine and one to let go of a state; some are kept for the
    // rest.
    const auto files = net::reserve_descriptors(kDescriptors);
    most_ = files > 64 ? (files - 32) * 2 / 5 : 8;
}

HttpServer::~HttpServer() = default;

int HttpServer::listen() {
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) { accept(std::move(stream)); };
    listener_->on_error = [this](int e) { accept_failed(e); };
    return listener_->listen(p_.listen);
}

// At most a line a second: accepting is tried again a hundred times a second while descriptors lack.
void HttpServer::accept_failed(int error) {
    constexpr Millis kBetweenLines = 1000;
    ++accept_failures_;
    const Millis now = net::now();
    if (now - accept_told_ < kBetweenLines) return;
    accept_told_ = now;
    environment_.log("warn", "accept", {{"error", net::error_text(error)}, {"failures", accept_failures_}});
}

int HttpServer::port() const { return listener_ ? listener_->port() : 0; }

void HttpServer::accept(std::unique_ptr<net::TcpStream> stream) {
    const net::ActivityScope doing(loop_, "accepts");
    // Guards against descriptors running out, which would leave clients without any answer. Beyond the limit
    // a few at a time are still told so; a flood beyond these is closed.
    const bool over = all_.size() - turned_away_ >= most_;
    if (over && turned_away_ >= kTurnedAway) return;
    all_.push_back(std::make_unique<Connection>(*this, std::move(stream)));
    all_.back()->self = std::prev(all_.end());
    if (over) all_.back()->turn_away();
}

void HttpServer::flush() {
    const net::ActivityScope doing(loop_, "writes");
    const auto now = std::exchange(unsent_, {});
    for (auto* connection : now) connection->flush();
}

void HttpServer::remove(Connection& connection) {
    std::erase(unsent_, &connection);
    dead_.splice(dead_.end(), all_, connection.self);
    burier_.fire_after(0);
}

std::string HttpServer::next_id() {
    char text[48];
    std::snprintf(text, sizeof text, "req_%016" PRIx64 "%08" PRIx64, instance_, ++count_);
    return text;
}

void HttpServer::drain() {
    draining_ = true;
    // What waits to be accepted is answered too; it would be reset with the listener.
    if (listener_) listener_->accept_all_pending();
    listener_.reset();
    std::vector<Connection*> now;
    for (auto& connection : all_) now.push_back(connection.get());
    for (auto* connection : now) connection->shut_idle();
}

}  // namespace gorsenotch::gateway
