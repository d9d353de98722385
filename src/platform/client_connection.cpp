#include "platform/client_connection.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <variant>

#include "net/clock.h"
#include "net/tcp_stream.h"

namespace gorsenotch::platform {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr http::Limits kRequestLimits{16 * kKibibyte, 64, kMaxBody};
constexpr Millis kLingerTimeout = 500;   // after a FIN, for the client to close as well
constexpr Millis kUnsentTimeout = 5000;  // before it, for a slow client to take what was written
constexpr std::size_t kMaxPipelinedBytes = 8 * kKibibyte;
constexpr std::size_t kMaxDiscardedBytes = 256 * kKibibyte;
// Unread bytes of an answer at which its endpoint is paused.
constexpr std::size_t kCongestedBytes = 256 * kKibibyte;
// On a new connection the silence before a request counts too, up to this multiple of the request's own time.
constexpr double kFreshTimeoutFactor = 1.2;
// While RequestLifecycle::on_request runs the handle is not known yet; an answer in that call sets it to 0.
constexpr std::uint64_t kHandlePending = ~std::uint64_t{0};
// A start time is never 0, which would be at the very start of the clock.
constexpr Millis kEarliestStart = 1e-3;

std::string format_seconds(Millis duration) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", duration / 1000);
    return text;
}

}  // namespace

ClientConnection::ClientConnection(Owner& owner, ClientConnectionGroup& group,
                                   std::unique_ptr<net::TcpStream> stream)
    : owner_(owner),
      group_(group),
      stream_(std::move(stream)),
      parser_(http::Parser::Kind::request, kRequestLimits),
      since_(net::now()) {}

void ClientConnection::start() {
    parser_.on_headers = [this] { on_headers(); };
    parser_.on_body = [this](std::string_view bytes) { on_body(bytes); };
    stream_->on_data = [this](std::string_view bytes) { on_data(bytes); };
    stream_->on_end = [this](int) { on_closed_by_peer(); };
    stream_->on_drain = [this] { on_drain(); };
    stream_->set_reading(true);
}

void ClientConnection::reject_unread() {
    output_ = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    end(EndReason::at_capacity);
}

// ---- reading --------------------------------------------------------------------------------------------

void ClientConnection::on_data(std::string_view bytes) {
    switch (state_) {
        case State::gone:
            return;
        case State::ending:
            discarded_bytes_ += bytes.size();
            if (discarded_bytes_ > kMaxDiscardedBytes) close();
            return;
        case State::open:
            return hold_back(bytes);
        case State::reading:
            if (pipelined_.empty()) return read(bytes);
            pipelined_.append(bytes);
            return read_pipelined();
    }
}

// What comes behind an open request waits for its answer. Guards against a client that sends ahead without
// bound.
void ClientConnection::hold_back(std::string_view bytes) {
    if (pipelined_.size() + bytes.size() <= kMaxPipelinedBytes) {
        pipelined_.append(bytes);
        return;
    }
    ++group_.counters.bad;
    const std::uint64_t handle = std::exchange(handle_, 0);
    end(EndReason::pipeline_overflow);
    if (handle != 0) group_.lifecycle.on_client_disconnected(handle);
}

void ClientConnection::read_pipelined() { read(std::exchange(pipelined_, std::string())); }

void ClientConnection::read(std::string_view bytes) {
    while (state_ == State::reading && !bytes.empty()) {
        bytes.remove_prefix(parser_.feed(bytes));
        if (state_ == State::gone || state_ == State::ending) return;
        note_request_start();
        if (parser_.fault() != http::Fault::none) return reject_malformed();
        if (parser_.complete()) on_request_complete();
    }
    if (state_ == State::open) pipelined_.append(bytes);
}

// Empty lines before a request are no part of it (RFC 9112, 2.2).
void ClientConnection::note_request_start() {
    const bool request = parser_.begun() || parser_.complete() || parser_.fault() != http::Fault::none;
    if (!request_began_at_ && request)
        request_began_at_ = std::max(kEarliestStart, net::now() - stream_->age());
}

void ClientConnection::reject_malformed() {
    switch (parser_.fault()) {
        case http::Fault::body_too_large:
            return reject(413, "the body is over 256 KiB");
        case http::Fault::headers_too_large:
            return reject(431, "the head is over 16 KiB");
        default:
            return reject(400, "the request can't be read");
    }
}

void ClientConnection::on_headers() {
    inbound_.reset();
    is_readiness_check_ = parser_.method == "GET" && parser_.target == kReady;
    if (is_readiness_check_) return;
    auto head = read_head(group_.named, parser_);
    if (const auto* refusal = std::get_if<Refusal>(&head)) return reject(refusal->status, refusal->why);
    if (group_.body_bytes > group_.limits.max_body_bytes) return reject(503, "too much is being read");
    inbound_ = std::get<Inbound>(std::move(head));
}

void ClientConnection::on_body(std::string_view bytes) {
    if (!inbound_) return;
    inbound_->body.append(bytes);
    body_bytes_ += bytes.size();
    group_.body_bytes += bytes.size();
}

void ClientConnection::on_request_complete() {
    if (is_readiness_check_) {
        request_began_at_.reset();
        const int status = group_.draining ? 503 : 200;
        return answer(status, group_.draining ? "draining" : "ready", 0, Persistence::keep_alive);
    }
    if (!inbound_) return answer(400, "the request can't be read", 0, Persistence::close);
    if (group_.lifecycle.open(inbound_->txn)) return reject(409, "x-txn: a request with this id is open");
    hand_over_request();
}

void ClientConnection::hand_over_request() {
    fresh_ = false;
    state_ = State::open;
    const Millis age = net::now() - request_began_at_.value_or(0);
    Inbound inbound = std::move(*inbound_);
    inbound_.reset();
    release_body_bytes();
    handle_ = kHandlePending;
    const std::uint64_t handle = group_.lifecycle.on_request(std::move(inbound), age, this);
    if (state_ != State::gone && handle_ != 0) handle_ = handle;
}

void ClientConnection::release_body_bytes() {
    group_.body_bytes -= body_bytes_;
    body_bytes_ = 0;
}

// ---- answers --------------------------------------------------------------------------------------------

// The answer that begins now is the connection's last: its client asked for that, or this process stops and
// nothing that has come waits behind the answer.
bool ClientConnection::is_last_answer() const {
    if (!parser_.keep_alive) return true;
    return group_.accepting_stopped && pipelined_.empty() && !stream_->has_unread_input();
}

void ClientConnection::answer(int status, std::string_view text, Millis retry_after,
                              Persistence persistence) {
    if (state_ == State::gone) return;
    EndReason reason = EndReason::draining;
    if (persistence == Persistence::close)
        reason = EndReason::bad_request;
    else if (!parser_.keep_alive)
        reason = EndReason::close_requested;
    const bool last = persistence == Persistence::close || is_last_answer();
    http::Headers headers = {{"content-type", "text/plain"},
                             {"content-length", std::to_string(text.size() + 1)}};
    if (retry_after > 0) headers.emplace_back("retry-after", format_seconds(retry_after));
    if (last) headers.emplace_back("connection", "close");
    send(http::response_head(status, headers).append(text).append("\n"));
    if (!last) return await_next_request();
    end(reason);
}

void ClientConnection::reject(int status, std::string_view text) {
    ++group_.counters.bad;
    answer(status, text, 0, Persistence::close);
}

void ClientConnection::begin_stream(std::string_view events) {
    http::Headers headers = {{"content-type", "text/event-stream"}, {"transfer-encoding", "chunked"}};
    if (is_last_answer()) headers.emplace_back("connection", "close");
    std::string head = http::response_head(200, headers);
    http::append_chunk(head, events);
    send(head);
}

void ClientConnection::send_events(std::string_view events) {
    if (state_ == State::gone) return;
    http::append_chunk(output_, events);
    send({});
    if (congested_ || stream_->queued() + output_.size() <= kCongestedBytes) return;
    congested_ = true;
    group_.lifecycle.on_client_congested(handle_, true);
}

void ClientConnection::finish_stream() {
    send(http::kLastChunk);
    handle_ = 0;
    // Guards against a client that has asked for the close and waits for it, in a place that others need.
    if (!parser_.keep_alive) return end(EndReason::close_requested);
    await_next_request();
}

void ClientConnection::abort_stream() {
    handle_ = 0;
    end(EndReason::stream_broken);
}

void ClientConnection::send_final(int status, Millis retry_after, std::string_view text) {
    handle_ = 0;
    answer(status, text, retry_after, Persistence::keep_alive);
}

// The answer is out. Guards against requests that were read behind an open one and lost with the connection
// as the gateway stops: what has come is served first.
void ClientConnection::await_next_request() {
    if (state_ == State::gone) return;
    state_ = State::reading;
    since_ = net::now();
    request_began_at_.reset();
    fresh_ = false;
    if (!pipelined_.empty()) return send({});  // read in the turn's flush
    if (group_.accepting_stopped) close_idle(EndReason::draining);
}

void ClientConnection::send(std::string_view bytes) {
    if (state_ == State::gone) return;
    output_.append(bytes);
    owner_.schedule_flush(*this);
}

void ClientConnection::flush() {
    if (!output_.empty()) stream_->write(std::exchange(output_, std::string()));
}

void ClientConnection::on_drain() {
    if (state_ == State::gone) return;
    if (state_ == State::ending) since_ = net::now();
    if (!std::exchange(congested_, false)) return;
    if (handle_ != 0) group_.lifecycle.on_client_congested(handle_, false);
}

// ---- end ------------------------------------------------------------------------------------------------

// A FIN after what was written; what still comes is thrown away, then the connection is gone.
void ClientConnection::end(EndReason reason) {
    if (state_ == State::gone || state_ == State::ending) return;
    ++group_.counters.ended[static_cast<std::size_t>(reason)];
    flush();
    state_ = State::ending;
    ++group_.ending;
    since_ = net::now();
    pipelined_ = std::string();
    inbound_.reset();
    release_body_bytes();
    stream_->shutdown_write();
}

// Guards against a request that is lost because its connection is ended in the moment in which it comes: a
// request that has come already is served. One that comes later finds the FIN, and its client sends it again.
bool ClientConnection::close_idle(EndReason reason) {
    const control::ClosePreconditions facts{!idle(), stream_->has_unread_input()};
    if (const auto block_reason = control::check_close(facts)) {
        ++group_.counters.close_denials[static_cast<std::size_t>(*block_reason)];
        return false;
    }
    end(reason);
    return true;
}

void ClientConnection::close() {
    if (state_ == State::gone) return;
    if (state_ == State::ending) --group_.ending;
    state_ = State::gone;
    release_body_bytes();
    stream_.reset();
    pipelined_ = std::string();
    output_ = std::string();
    owner_.remove(*this);
}

void ClientConnection::on_closed_by_peer() {
    const std::uint64_t handle = std::exchange(handle_, 0);
    if (state_ == State::reading || state_ == State::open)
        ++group_.counters.ended[static_cast<std::size_t>(EndReason::closed_by_peer)];
    close();
    if (handle != 0) group_.lifecycle.on_client_disconnected(handle);
}

// ---- timeouts -------------------------------------------------------------------------------------------

void ClientConnection::enforce_timeouts(Millis now, bool crowded) {
    const ClientConnectionLimits& limits = group_.limits;
    if (state_ == State::open || state_ == State::gone) return;
    if (state_ == State::ending) {
        const Millis timeout = stream_->queued() > 0 ? kUnsentTimeout : kLingerTimeout;
        if (now - since_ > timeout) close();
    } else if (request_began_at_) {
        if (is_request_overdue(now)) reject(408, "the request did not end in time");
    } else if (fresh_) {
        if (now - since_ >= limits.request_timeout) close_idle(EndReason::request_timeout);
    } else if (now - since_ > (crowded ? limits.min_idle : limits.max_idle)) {
        close_idle(EndReason::idle);
    }
}

bool ClientConnection::is_request_overdue(Millis now) const {
    const Millis timeout = group_.limits.request_timeout;
    if (now - *request_began_at_ >= timeout) return true;
    return fresh_ && now - since_ > kFreshTimeoutFactor * timeout;
}

}  // namespace gorsenotch::platform
