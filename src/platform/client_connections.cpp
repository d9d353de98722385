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
        if (!parser.keep_alive) return of.end(*this, EndReason::asked_for);
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
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> s) { accept(std::move(s)); };
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
        Connection& c = **it++;
        if (c.resting()) retire(c, EndReason::departing);
    }
}

ClientConnections::Connection* ClientConnections::longest_ending() {
    Connection* longest = nullptr;
    for (const auto& c : all_) {
        if (c->state == Connection::State::ending && (!longest || c->since < longest->since))
            longest = c.get();
    }
    return longest;
}

// The one that has said nothing for longest, else the one idle for longest: only such may be ended.
ClientConnections::Connection* ClientConnections::longest_resting() {
    constexpr Millis kLeastSilent = 100;  // a new connection's request may be on its way
    const Millis now = net::now();
    Connection *silent = nullptr, *idle = nullptr;
    for (const auto& c : all_) {
        if (!c->resting() || now - c->since < (c->fresh ? kLeastSilent : config_.least_idle)) continue;
        Connection*& longest = c->fresh ? silent : idle;
        if ((!longest || c->since < longest->since) && !c->stream->has_unread_input()) longest = c.get();
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
    Connection& c = adopt(std::move(stream));
    if (room) return;
    // Nothing of it is read, so its client may come again.
    c.out = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    end(c, EndReason::no_room);
}

ClientConnections::Connection& ClientConnections::adopt(std::unique_ptr<net::TcpStream> stream) {
    all_.push_back(std::make_unique<Connection>(*this, std::move(stream)));
    Connection& c = *all_.back();
    c.self = std::prev(all_.end());
    c.since = net::now();
    c.parser.on_headers = [this, &c] { headers(c); };
    c.parser.on_body = [this, &c](std::string_view b) {
        if (!c.in) return;
        c.in->body.append(b);
        c.held += b.size(), bytes_ += b.size();
    };
    c.stream->on_data = [this, &c](std::string_view b) { data(c, b); };
    c.stream->on_end = [this, &c](int) { lose(c); };
    c.stream->on_drain = [this, &c] {
        if (c.gone) return;
        if (c.state == Connection::State::ending) c.since = net::now();
        if (!std::exchange(c.paused, false)) return;
        if (c.handle) lifecycle_.on_client_congested(c.handle, false);
    };
    c.stream->set_reading(true);
    return c;
}

void ClientConnections::data(Connection& c, std::string_view bytes) {
    if (c.gone) return;
    if (c.state == Connection::State::ending) {
        if ((c.discarded += bytes.size()) > kDiscard) erase(c);
        return;
    }
    if (c.state == Connection::State::open) {
        // Nobody may send ahead so much; what little comes waits for its turn.
        if (c.ahead.size() + bytes.size() > kAhead) {
            ++counters_.bad;
            return abandon(c);
        }
        c.ahead.append(bytes);
        return;
    }
    if (c.ahead.empty()) return read(c, bytes);
    c.ahead.append(bytes);
    read(c, std::exchange(c.ahead, std::string()));
}

// What is left when a request is open waits for its answer.
void ClientConnections::read(Connection& c, std::string_view bytes) {
    while (!c.gone && c.state == Connection::State::reading && !bytes.empty()) {
        bytes.remove_prefix(c.parser.feed(bytes));
        if (c.gone) return;
        if (c.state == Connection::State::ending) return;
        // Empty lines before a request are no part of it (RFC 9112, 2.2).
        const bool request = c.parser.begun() || c.parser.complete() || c.parser.fault() != http::Fault::none;
        if (c.began <= 0 && request) c.began = std::max(1e-3, net::now() - c.stream->age());
        if (c.parser.fault() != http::Fault::none) {
            ++counters_.bad;
            const bool body = c.parser.fault() == http::Fault::body_too_large;
            const bool head = c.parser.fault() == http::Fault::headers_too_large;
            return answer(c,
                          body   ? 413
                          : head ? 431
                                 : 400,
                          body   ? "the body is over 256 KiB"
                          : head ? "the head is over 16 KiB"
                                 : "the request can't be read",
                          0, true);
        }
        if (c.parser.complete()) complete(c);
    }
    if (!c.gone && c.state == Connection::State::open) c.ahead.append(bytes);
}

void ClientConnections::headers(Connection& c) {
    c.in.reset();
    c.ready = c.parser.method == "GET" && c.parser.target == kReady;
    if (c.ready) return;
    auto read = read_head(named_, c.parser);
    if (const auto* r = std::get_if<Refusal>(&read)) {
        ++counters_.bad;
        return answer(c, r->status, r->why, 0, true);
    }
    if (bytes_ > config_.most_bytes) {
        ++counters_.bad;
        return answer(c, 503, "too much is being read", 0, true);
    }
    c.in = std::get<Inbound>(std::move(read));
}

void ClientConnections::complete(Connection& c) {
    if (c.ready) {
        c.began = 0;
        return answer(c, draining_ ? 503 : 200, draining_ ? "draining" : "ready", 0, false);
    }
    if (!c.in) return answer(c, 400, "the request can't be read", 0, true);
    if (lifecycle_.open(c.in->txn)) {
        ++counters_.bad;
        return answer(c, 409, "x-txn: a request with this id is open", 0, true);
    }
    c.fresh = false;
    c.state = Connection::State::open;
    const Millis age = net::now() - c.began;
    Inbound in = std::move(*c.in);
    c.in.reset();
    release(c);
    // The Router may end it at once: then handle is 0 again when arrive() returns.
    c.handle = ~std::uint64_t{0};
    const std::uint64_t handle = lifecycle_.on_request(std::move(in), age, &c);
    if (!c.gone && c.handle != 0) c.handle = handle;
}

void ClientConnections::answer(Connection& c, int status, std::string_view why, Millis pause, bool close) {
    if (c.gone) return;
    const EndReason reason = close                  ? EndReason::bad_request
                             : !c.parser.keep_alive ? EndReason::asked_for
                                                    : EndReason::departing;
    close |= c.last_answer();
    http::Headers headers = {{"content-type", "text/plain"},
                             {"content-length", std::to_string(why.size() + 1)}};
    if (pause > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", pause / 1000);
        headers.emplace_back("retry-after", seconds);
    }
    if (close) headers.emplace_back("connection", "close");
    send(c, http::response_head(status, headers).append(why).append("\n"));
    if (!close) return next(c);
    end(c, reason);
}

// The answer is out: the connection is ready for the next request. Guards against requests that were read
// behind an open one and lost with the connection as the gateway departs: what has come is served first.
void ClientConnections::next(Connection& c) {
    if (c.gone) return;
    c.state = Connection::State::reading;
    c.since = net::now(), c.began = 0;
    c.fresh = false;
    if (!c.ahead.empty()) return send(c, {});  // read in the turn's flush
    if (stopped_accepting_) retire(c, EndReason::departing);
}

void ClientConnections::end(Connection& c, EndReason reason) {
    if (c.gone || c.state == Connection::State::ending) return;
    ++counters_.ended[static_cast<std::size_t>(reason)];
    c.write_out();
    c.state = Connection::State::ending;
    ++ending_;
    c.since = net::now();
    c.ahead = std::string(), c.in.reset();
    release(c);
    c.stream->shutdown_write();
}

// Guards against a request that is lost because its connection is ended in the moment in which it comes: a
// request that has come already is served. One that comes later finds the FIN, and its client sends it again.
bool ClientConnections::retire(Connection& c, EndReason reason) {
    if (const auto denial = control::check_close({!c.resting(), c.stream->has_unread_input()})) {
        ++counters_.close_denials[static_cast<std::size_t>(*denial)];
        return false;
    }
    end(c, reason);
    return true;
}

void ClientConnections::erase(Connection& c) {
    if (c.gone) return;
    c.gone = true;
    if (c.state == Connection::State::ending) --ending_;
    release(c);
    if (c.dirty) std::erase(dirty_, &c);
    c.stream.reset();
    c.ahead = std::string(), c.out = std::string();
    dead_.splice(dead_.end(), all_, c.self);
    cleanup_.fire_after(0);
}

void ClientConnections::lose(Connection& c) {
    const std::uint64_t handle = std::exchange(c.handle, 0);
    if (!c.gone && c.state != Connection::State::ending)
        ++counters_.ended[static_cast<std::size_t>(EndReason::peer)];
    erase(c);
    if (handle) lifecycle_.on_client_disconnected(handle);
}

void ClientConnections::abandon(Connection& c) {
    const std::uint64_t handle = std::exchange(c.handle, 0);
    end(c, EndReason::too_much_ahead);
    if (handle) lifecycle_.on_client_disconnected(handle);
}

void ClientConnections::release(Connection& c) {
    bytes_ -= c.held;
    c.held = 0;
}

void ClientConnections::send(Connection& c, std::string_view bytes) {
    if (c.gone) return;
    c.out.append(bytes);
    if (c.dirty) return;
    c.dirty = true;
    dirty_.push_back(&c);
    turn_.schedule();
}

void ClientConnections::flush() {
    std::vector<Connection*> waiting;
    for (std::size_t i = 0; i < dirty_.size(); ++i) {
        Connection& c = *dirty_[i];
        c.dirty = false;
        c.write_out();
        if (c.state == Connection::State::reading && !c.ahead.empty()) waiting.push_back(&c);
    }
    dirty_.clear();
    for (Connection* c : waiting) read(*c, std::exchange(c->ahead, std::string()));
}

void ClientConnections::sweep() {
    const Millis now = net::now();
    sweeper_.fire_after(kSweep);
    const bool crowded = 2 * all_.size() > config_.most;
    for (auto it = all_.begin(); it != all_.end();) {
        Connection& c = **it++;
        if (c.state == Connection::State::open) continue;
        if (c.state == Connection::State::ending) {
            if (now - c.since > (c.stream->queued() > 0 ? kUnsent : kLinger)) erase(c);
        } else if (c.began > 0) {
            // A request that does not end; on a new connection the silence before it counts too.
            if (now - c.began < config_.patience && !(c.fresh && now - c.since > 1.2 * config_.patience))
                continue;
            ++counters_.bad;
            answer(c, 408, "the request did not end in time", 0, true);
        } else if (c.fresh) {
            if (now - c.since < config_.patience) continue;
            retire(c, EndReason::silent);
        } else if (now - c.since > (crowded ? config_.least_idle : config_.most_idle)) {
            retire(c, EndReason::idle);
        }
    }
}

}  // namespace gorsenotch::platform
