#include "platform/client_connections.h"

#include <algorithm>
#include <cstdio>

namespace gorsenotch::platform {
namespace {

constexpr Millis kSweep = 100;
constexpr Millis kLinger = 500;                 // a FIN goes out, and the client has so long to close as well
constexpr Millis kUnsent = 5000;                // for a slow client to take what was written, before it
constexpr std::size_t kAhead = 8 * 1024;        // bytes taken behind a request that is open
constexpr std::size_t kDiscard = 256 * 1024;    // read and thrown away before a refused connection is cut
constexpr std::size_t kCongested = 256 * 1024;  // unread bytes of an answer at which its server is paused

}  // namespace

struct ClientConnections::Connection : Client {
    enum class State { reading, open, ending };  // ending: nothing more is read but the close
    ClientConnections& of;
    std::unique_ptr<net::TcpStream> stream;
    http::Parser parser;
    State state = State::reading;
    std::optional<Inbound> in;
    bool ready = false;  // the request asks whether this gateway is ready
    std::uint64_t handle = 0;
    std::string ahead, out;
    std::size_t held = 0, discarded = 0;  // bytes of a body that count; bytes thrown away
    Millis since = 0;                     // when it was opened, or last answered, or began to end
    Millis began = 0;                     // when the first byte of the request came; 0: none
    bool fresh = true, gone = false, dirty = false, paused = false;
    Connections::iterator self;

    Connection(ClientConnections& owner, std::unique_ptr<net::TcpStream> s)
        : of(owner),
          stream(std::move(s)),
          parser(http::Parser::Kind::request, http::Limits{16 * 1024, 64, kMaxBody}) {}

    // No request has begun on it: it may be ended.
    bool resting() const { return state == State::reading && began == 0 && ahead.empty(); }
    // Nothing that has come waits for the end of the present answer.
    bool nothing_behind() const { return ahead.empty() && !stream->has_unread_input(); }
    // The answer that begins now is the connection's last.
    bool last_answer() const { return !parser.keep_alive || (of.stopped_accepting_ && nothing_behind()); }

    void write_out() {
        if (!out.empty()) stream->write(std::exchange(out, std::string()));
    }

    void begin_stream(std::string_view events) override {
        http::Headers headers = {{"content-type", "text/event-stream"}, {"transfer-encoding", "chunked"}};
        if (last_answer()) headers.emplace_back("connection", "close");
        std::string s = http::response_head(200, headers);
        http::append_chunk(s, events);
        of.send(*this, s);
    }
    void send_events(std::string_view events) override {
        if (gone) return;
        http::append_chunk(out, events);
        of.send(*this, {});
        if (!paused && stream->queued() + out.size() > kCongested) {
            paused = true;
            of.lifecycle_.on_client_congested(handle, true);
        }
    }
    void finish_stream() override {
        of.send(*this, http::last_chunk);
        handle = 0;
        // Guards against a client that has asked for the close and waits for it, in a place that others need.
        if (!parser.keep_alive) return of.end(*this, EndReason::close_requested);
        of.next(*this);
    }
    // What came is passed on before the connection ends, and a close over unread bytes would reset it.
    void abort_stream() override {
        handle = 0;
        of.end(*this, EndReason::stream_broken);
    }
    bool has_disconnected() override { return stream->peer_closed(); }
    void send_final(int status, Millis pause, std::string_view why) override {
        handle = 0;
        of.answer(*this, status, why, pause, false);
    }
};

ClientConnections::ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named,
                                     RequestLifecycle& relay, Config config)
    : loop_(loop),
      named_(named),
      lifecycle_(relay),
      config_(std::move(config)),
      sweeper_(loop, [this] { sweep(); }),
      cleanup_(loop, [this] { dead_.clear(); }),
      turn_(loop, [this] { flush(); }) {}
ClientConnections::~ClientConnections() = default;

int ClientConnections::listen() {
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) { accept(std::move(stream)); };
    listener_->on_error = [this](int) { accept_failed(); };
    sweeper_.fire_after(kSweep);
    return listener_->listen(config_.listen);
}

// Guards against connections that wait for as long as this process holds descriptors for idle ones. One for
// each failure: a want that lasts ends them one by one, each with what came on it served.
void ClientConnections::accept_failed() {
    ++counters_.accept_failed;
    Connection* resting = longest_resting();
    if (resting) retire(*resting, EndReason::evicted);
}

void ClientConnections::drain() { draining_ = true; }

void ClientConnections::stop_accepting() {
    draining_ = stopped_accepting_ = true;
    // Where accepting fails for a moment what waits is taken by the next call.
    if (listener_ && listener_->accept_all_pending()) listener_.reset();
    for (auto it = all_.begin(); it != all_.end();) {
        Connection& connection = **it++;
        if (connection.resting()) retire(connection, EndReason::draining);
    }
}

ClientConnections::Connection* ClientConnections::longest_ending() {
    Connection* longest = nullptr;
    for (const auto& connection : all_) {
        if (connection->state == Connection::State::ending &&
            (!longest || connection->since < longest->since))
            longest = connection.get();
    }
    return longest;
}

// The one that has said nothing for longest, else the one idle for longest: only such may be ended.
ClientConnections::Connection* ClientConnections::longest_resting() {
    constexpr Millis kLeastSilent = 100;  // a new connection's request may be on its way
    const Millis now = net::now();
    Connection *silent = nullptr, *idle = nullptr;
    for (const auto& connection : all_) {
        if (!connection->resting() ||
            now - connection->since < (connection->fresh ? kLeastSilent : config_.least_idle))
            continue;
        Connection*& longest = connection->fresh ? silent : idle;
        if ((!longest || connection->since < longest->since) && !connection->stream->has_unread_input())
            longest = connection.get();
    }
    return silent ? silent : idle;
}

bool ClientConnections::make_room() {
    if (all_.size() >= config_.most + kEndingMost) {
        if (Connection* longest = longest_ending()) erase(*longest);
    }
    if (all_.size() - ending_ < config_.most) return true;
    Connection* resting = longest_resting();
    if (!resting) return false;
    return retire(*resting, EndReason::evicted);
}

void ClientConnections::accept(std::unique_ptr<net::TcpStream> stream) {
    ++counters_.accepted;
    const bool room = make_room();
    Connection& connection = adopt(std::move(stream));
    if (room) return;
    // Nothing of it is read, so its client may come again.
    connection.out = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    end(connection, EndReason::at_capacity);
}

ClientConnections::Connection& ClientConnections::adopt(std::unique_ptr<net::TcpStream> stream) {
    all_.push_back(std::make_unique<Connection>(*this, std::move(stream)));
    Connection& connection = *all_.back();
    connection.self = std::prev(all_.end());
    connection.since = net::now();
    connection.parser.on_headers = [this, &connection] { headers(connection); };
    connection.parser.on_body = [this, &connection](std::string_view b) {
        if (!connection.in) return;
        connection.in->body.append(b);
        connection.held += b.size(), bytes_ += b.size();
    };
    connection.stream->on_data = [this, &connection](std::string_view b) { data(connection, b); };
    connection.stream->on_end = [this, &connection](int) { lose(connection); };
    connection.stream->on_drain = [this, &connection] {
        if (connection.gone) return;
        if (connection.state == Connection::State::ending) connection.since = net::now();
        if (!std::exchange(connection.paused, false)) return;
        if (connection.handle) lifecycle_.on_client_congested(connection.handle, false);
    };
    connection.stream->set_reading(true);
    return connection;
}

void ClientConnections::data(Connection& connection, std::string_view bytes) {
    if (connection.gone) return;
    if (connection.state == Connection::State::ending) {
        if ((connection.discarded += bytes.size()) > kDiscard) erase(connection);
        return;
    }
    if (connection.state == Connection::State::open) {
        // Nobody may send ahead so much; what little comes waits for its turn.
        if (connection.ahead.size() + bytes.size() > kAhead) {
            ++counters_.bad;
            return abandon(connection);
        }
        connection.ahead.append(bytes);
        return;
    }
    if (connection.ahead.empty()) return read(connection, bytes);
    connection.ahead.append(bytes);
    read(connection, std::exchange(connection.ahead, std::string()));
}

// What is left when a request is open waits for its answer.
void ClientConnections::read(Connection& connection, std::string_view bytes) {
    while (!connection.gone && connection.state == Connection::State::reading && !bytes.empty()) {
        bytes.remove_prefix(connection.parser.feed(bytes));
        if (connection.gone) return;
        if (connection.state == Connection::State::ending) return;
        // Empty lines before a request are no part of it (RFC 9112, 2.2).
        const bool request = connection.parser.begun() || connection.parser.complete() ||
                             connection.parser.fault() != http::Fault::none;
        if (connection.began <= 0 && request)
            connection.began = std::max(1e-3, net::now() - connection.stream->age());
        if (connection.parser.fault() != http::Fault::none) {
            ++counters_.bad;
            const bool body = connection.parser.fault() == http::Fault::body_too_large;
            const bool head = connection.parser.fault() == http::Fault::headers_too_large;
            return answer(connection,
                          body   ? 413
                          : head ? 431
                                 : 400,
                          body   ? "the body is over 256 KiB"
                          : head ? "the head is over 16 KiB"
                                 : "the request can't be read",
                          0, true);
        }
        if (connection.parser.complete()) complete(connection);
    }
    if (!connection.gone && connection.state == Connection::State::open) connection.ahead.append(bytes);
}

void ClientConnections::headers(Connection& connection) {
    connection.in.reset();
    connection.ready = connection.parser.method == "GET" && connection.parser.target == kReady;
    if (connection.ready) return;
    auto read = read_head(named_, connection.parser);
    if (const auto* r = std::get_if<Refusal>(&read)) {
        ++counters_.bad;
        return answer(connection, r->status, r->why, 0, true);
    }
    if (bytes_ > config_.most_bytes) {
        ++counters_.bad;
        return answer(connection, 503, "too much is being read", 0, true);
    }
    connection.in = std::get<Inbound>(std::move(read));
}

void ClientConnections::complete(Connection& connection) {
    if (connection.ready) {
        connection.began = 0;
        return answer(connection, draining_ ? 503 : 200, draining_ ? "draining" : "ready", 0, false);
    }
    if (!connection.in) return answer(connection, 400, "the request can't be read", 0, true);
    if (lifecycle_.open(connection.in->txn)) {
        ++counters_.bad;
        return answer(connection, 409, "x-txn: a request with this id is open", 0, true);
    }
    connection.fresh = false;
    connection.state = Connection::State::open;
    const Millis age = net::now() - connection.began;
    Inbound in = std::move(*connection.in);
    connection.in.reset();
    release(connection);
    // The Router may end it at once: then handle is 0 again when arrive() returns.
    connection.handle = ~std::uint64_t{0};
    const std::uint64_t handle = lifecycle_.on_request(std::move(in), age, &connection);
    if (!connection.gone && connection.handle != 0) connection.handle = handle;
}

void ClientConnections::answer(Connection& connection, int status, std::string_view why, Millis pause,
                               bool close) {
    if (connection.gone) return;
    const EndReason reason = close                           ? EndReason::bad_request
                             : !connection.parser.keep_alive ? EndReason::close_requested
                                                             : EndReason::draining;
    close |= connection.last_answer();
    http::Headers headers = {{"content-type", "text/plain"},
                             {"content-length", std::to_string(why.size() + 1)}};
    if (pause > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", pause / 1000);
        headers.emplace_back("retry-after", seconds);
    }
    if (close) headers.emplace_back("connection", "close");
    send(connection, http::response_head(status, headers).append(why).append("\n"));
    if (!close) return next(connection);
    end(connection, reason);
}

// The answer is out: the connection is ready for the next request. Guards against requests that were read
// behind an open one and lost with the connection as the gateway departs: what has come is served first.
void ClientConnections::next(Connection& connection) {
    if (connection.gone) return;
    connection.state = Connection::State::reading;
    connection.since = net::now(), connection.began = 0;
    connection.fresh = false;
    if (!connection.ahead.empty()) return send(connection, {});  // read in the turn's flush
    if (stopped_accepting_) retire(connection, EndReason::draining);
}

void ClientConnections::end(Connection& connection, EndReason reason) {
    if (connection.gone || connection.state == Connection::State::ending) return;
    ++counters_.ended[static_cast<std::size_t>(reason)];
    connection.write_out();
    connection.state = Connection::State::ending;
    ++ending_;
    connection.since = net::now();
    connection.ahead = std::string(), connection.in.reset();
    release(connection);
    connection.stream->shutdown_write();
}

// Guards against a request that is lost because its connection is ended in the moment in which it comes: a
// request that has come already is served. One that comes later finds the FIN, and its client sends it again.
bool ClientConnections::retire(Connection& connection, EndReason reason) {
    if (const auto denial =
            control::check_close({!connection.resting(), connection.stream->has_unread_input()})) {
        ++counters_.close_denials[static_cast<std::size_t>(*denial)];
        return false;
    }
    end(connection, reason);
    return true;
}

void ClientConnections::erase(Connection& connection) {
    if (connection.gone) return;
    connection.gone = true;
    if (connection.state == Connection::State::ending) --ending_;
    release(connection);
    if (connection.dirty) std::erase(dirty_, &connection);
    connection.stream.reset();
    connection.ahead = std::string(), connection.out = std::string();
    dead_.splice(dead_.end(), all_, connection.self);
    cleanup_.fire_after(0);
}

void ClientConnections::lose(Connection& connection) {
    const std::uint64_t handle = std::exchange(connection.handle, 0);
    if (!connection.gone && connection.state != Connection::State::ending)
        ++counters_.ended[static_cast<std::size_t>(EndReason::closed_by_peer)];
    erase(connection);
    if (handle) lifecycle_.on_client_disconnected(handle);
}

void ClientConnections::abandon(Connection& connection) {
    const std::uint64_t handle = std::exchange(connection.handle, 0);
    end(connection, EndReason::pipeline_overflow);
    if (handle) lifecycle_.on_client_disconnected(handle);
}

void ClientConnections::release(Connection& connection) {
    bytes_ -= connection.held;
    connection.held = 0;
}

void ClientConnections::send(Connection& connection, std::string_view bytes) {
    if (connection.gone) return;
    connection.out.append(bytes);
    if (connection.dirty) return;
    connection.dirty = true;
    dirty_.push_back(&connection);
    turn_.schedule();
}

void ClientConnections::flush() {
    std::vector<Connection*> waiting;
    for (std::size_t i = 0; i < dirty_.size(); ++i) {
        Connection& connection = *dirty_[i];
        connection.dirty = false;
        connection.write_out();
        if (connection.state == Connection::State::reading && !connection.ahead.empty())
            waiting.push_back(&connection);
    }
    dirty_.clear();
    for (Connection* connection : waiting) read(*connection, std::exchange(connection->ahead, std::string()));
}

void ClientConnections::sweep() {
    const Millis now = net::now();
    sweeper_.fire_after(kSweep);
    const bool crowded = 2 * all_.size() > config_.most;
    for (auto it = all_.begin(); it != all_.end();) {
        Connection& connection = **it++;
        if (connection.state == Connection::State::open) continue;
        if (connection.state == Connection::State::ending) {
            if (now - connection.since > (connection.stream->queued() > 0 ? kUnsent : kLinger))
                erase(connection);
        } else if (connection.began > 0) {
            // A request that does not end; on a new connection the silence before it counts too.
            if (now - connection.began < config_.patience &&
                !(connection.fresh && now - connection.since > 1.2 * config_.patience))
                continue;
            ++counters_.bad;
            answer(connection, 408, "the request did not end in time", 0, true);
        } else if (connection.fresh) {
            if (now - connection.since < config_.patience) continue;
            retire(connection, EndReason::request_timeout);
        } else if (now - connection.since > (crowded ? config_.least_idle : config_.most_idle)) {
            retire(connection, EndReason::idle);
        }
    }
}

}  // namespace gorsenotch::platform
