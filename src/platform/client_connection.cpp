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
constexpr http::Limits kRequestLimits{16 * kKibibyte, 64, kMaxBodyBytes};
constexpr Millis kLingerTimeout = 500;  // from this side's FIN, or the last input after it, to the client's
constexpr std::size_t kMaxPipelinedBytes = 8 * kKibibyte;
// Requests that are answered at once, before other connections have their turn.
constexpr int kMaxRequestsPerTurn = 8;
// The rest of a refused request that is read and discarded: a body of permitted size, also in small chunks.
constexpr std::size_t kMaxDiscardedBytes = 2 * kMaxBodyBytes;
// Buffered bytes of an answer above which reading from its endpoint is paused: the share of one holder of
// memory, within these bounds.
constexpr std::size_t kMinCongestedBytes = 8 * kKibibyte;
constexpr std::size_t kMaxCongestedBytes = 256 * kKibibyte;
// The memory of a request besides its head and body: its record, those of the Router, a response of usual
// length, and what its answer may take while its client lags behind, whatever the memory that is left:
// kMinCongestedBytes and one read.
constexpr std::size_t kRequestOverheadBytes = 32 * kKibibyte;
// Copies of a request's forwarded head: the request's, and the latest attempt's.
constexpr std::size_t kHeadCopies = 2;
// On a new connection the time from its opening to the end of the first request is limited to this multiple
// of the request timeout.
constexpr double kFreshTimeoutFactor = 1.2;
// The handle while RequestLifecycle::on_request runs; an answer from within that call sets it to 0.
constexpr std::uint64_t kHandlePending = ~std::uint64_t{0};
// The lower bound of request start times, which must be positive.
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
      memory_(group.memory, control::MemoryUse::connection),
      progress_(group.limits.stall_timeout),
      last_activity_(net::now()) {}

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
            last_activity_ = net::now();
            if (discarded_bytes_ > kMaxDiscardedBytes) close();
            return;
        case State::open:
            return buffer_pipelined(bytes);
        case State::reading:
            if (pipelined_.empty()) return read(bytes);
            pipelined_.append(bytes);
            return read_pipelined();
    }
}

// The only place that pauses or resumes reading: bounds the memory for the answers to a client that does not
// read them, and for input that waits for this connection's next turn. Has to be called whenever the output,
// the input or the state has changed. While an endpoint works, reading goes on, as the client's disconnection
// has to be noticed.
void ClientConnection::update_reading() {
    if (state_ == State::gone) return;
    const bool paused = state_ == State::reading && (is_congested() || !pipelined_.empty());
    if (paused == reading_paused_) return;
    reading_paused_ = paused;
    if (paused) progress_.start(net::now(), acknowledged_bytes());
    stream_->set_reading(!paused);
}

// Buffers input that is pipelined behind an open request. Ends the connection if there is too much, as a
// guard against clients that pipeline without limit.
void ClientConnection::buffer_pipelined(std::string_view bytes) {
    if (pipelined_.size() + bytes.size() <= kMaxPipelinedBytes) {
        pipelined_.append(bytes);
        return update_memory();
    }
    ++group_.counters.bad_requests;
    const std::uint64_t handle = std::exchange(handle_, 0);
    end(EndReason::pipeline_overflow);
    if (handle != 0) group_.lifecycle.on_client_disconnected(handle);
}

void ClientConnection::read_pipelined() { read(std::exchange(pipelined_, std::string())); }

// Guards against a client that sends requests at full speed: the answers of one turn are bounded, and other
// connections have theirs. The rest of the input is read in the next turn, see ClientConnections::flush.
void ClientConnection::read(std::string_view bytes) {
    int requests = 0;
    while (state_ == State::reading && !bytes.empty()) {
        if (requests == kMaxRequestsPerTurn || is_congested()) break;
        bytes.remove_prefix(parser_.feed(bytes));
        if (state_ == State::gone || state_ == State::ending) return;
        record_request_start();
        if (parser_.fault() != http::Fault::none) return reject_malformed();
        if (state_ == State::reading && !reserve_head()) return refuse_memory();
        if (!parser_.complete()) continue;
        on_request_complete();
        ++requests;
    }
    if (state_ == State::open || state_ == State::reading) pipelined_.append(bytes);
    update_memory();
    update_reading();
}

// Records when a request started. Empty lines before a request are not part of it (RFC 9112, 2.2).
void ClientConnection::record_request_start() {
    const bool request =
        parser_.has_partial_message() || parser_.complete() || parser_.fault() != http::Fault::none;
    if (!request_began_at_ && request)
        request_began_at_ = std::max(kEarliestStart, net::now() - stream_->time_since_last_receive());
}

void ClientConnection::reject_malformed() {
    switch (parser_.fault()) {
        case http::Fault::body_too_large:
            return reject(413, "request body exceeds 256 KiB");
        case http::Fault::headers_too_large:
            return reject(431, "request head exceeds 16 KiB");
        default:
            return reject(400, "malformed HTTP request");
    }
}

void ClientConnection::on_headers() {
    inbound_.reset();
    is_readiness_check_ = parser_.method == "GET" && parser_.target == kReadinessPath;
    if (is_readiness_check_) return;
    auto head = read_head(group_.named, parser_);
    if (const auto* refusal = std::get_if<RequestError>(&head))
        return reject(refusal->status, refusal->message);
    inbound_ = std::get<Inbound>(std::move(head));
    inbound_->memory = memory_.sibling(control::MemoryUse::request);
    if (!reserve_body(static_cast<std::size_t>(parser_.content_length))) refuse_memory();
}

void ClientConnection::on_body(std::string_view bytes) {
    if (!inbound_) return;
    const std::size_t size = inbound_->body.size() + bytes.size();
    if (size > inbound_->body.capacity() && !reserve_body(std::max(size, 2 * inbound_->body.capacity())))
        return refuse_memory();
    inbound_->body.append(bytes);
}

// ---- memory ---------------------------------------------------------------------------------------------

// Counts the head that is being received. Returns false if there is no memory for it.
bool ClientConnection::reserve_head() { return memory_.try_resize(buffered_bytes()); }

// Reserves the memory for the request with a body of up to `bytes`, before it is taken. Returns false if
// there is none.
bool ClientConnection::reserve_body(std::size_t bytes) {
    const std::size_t capacity = std::min(bytes, kMaxBodyBytes);
    const std::size_t head = kHeadCopies * inbound_->head.size();
    if (!inbound_->memory.try_resize(kRequestOverheadBytes + head + capacity)) return false;
    inbound_->body.reserve(capacity);
    return true;
}

// Refuses the request that is being read: it has not been forwarded, so its client may repeat it.
void ClientConnection::refuse_memory() {
    ++group_.counters.refused_memory;
    inbound_.reset();
    answer(503, "out of memory for requests", 0, EndReason::memory_full);
}

// To be called whenever this connection buffers more or less.
void ClientConnection::update_memory() { memory_.resize(buffered_bytes()); }

std::size_t ClientConnection::buffered_bytes() const {
    return pipelined_.size() + unsent_bytes() + parser_.head_memory();
}

void ClientConnection::on_request_complete() {
    if (is_readiness_check_) {
        request_began_at_.reset();
        const int status = group_.draining ? 503 : 200;
        return answer(status, group_.draining ? "draining" : "ready", 0);
    }
    if (!inbound_) return answer(400, "malformed HTTP request", 0, EndReason::bad_request);
    if (group_.refuses_requests(net::now())) return refuse_draining(std::nullopt);
    if (group_.lifecycle.is_open(inbound_->txn))
        return reject(409, "x-txn: a request with this id is in progress");
    if (group_.lifecycle.may_have_executed(*inbound_)) return refuse_repeated();
    start_request();
}

void ClientConnection::start_request() {
    fresh_ = false;
    state_ = State::open;
    const Millis age = net::now() - request_began_at_.value_or(0);
    Inbound inbound = std::move(*inbound_);
    inbound_.reset();
    parser_.release_head();
    update_memory();
    handle_ = kHandlePending;
    const std::uint64_t handle = group_.lifecycle.on_request(std::move(inbound), age, this);
    if (state_ != State::gone && handle_ != 0) handle_ = handle;
}

// ---- answers --------------------------------------------------------------------------------------------

// Whether the answer that starts now is the last on this connection: its client has asked for the close, or
// this process is stopping and no further input was received.
bool ClientConnection::is_last_answer() const {
    if (!parser_.keep_alive) return true;
    return group_.accepting_stopped && pipelined_.empty() && !stream_->has_unread_input();
}

// Ends the connection after the answer for `end_reason`, if given, or if this is the last answer anyway.
void ClientConnection::answer(int status, std::string_view text, Millis retry_after,
                              std::optional<EndReason> end_reason) {
    if (state_ == State::gone) return;
    const bool last = end_reason || is_last_answer();
    const EndReason reason =
        end_reason.value_or(parser_.keep_alive ? EndReason::draining : EndReason::close_requested);
    http::Headers headers = {{"content-type", "text/plain"},
                             {"content-length", std::to_string(text.size() + 1)}};
    if (retry_after > 0) headers.emplace_back("retry-after", format_seconds(retry_after));
    if (last) headers.emplace_back("connection", "close");
    send(http::response_head(status, headers).append(text).append("\n"));
    if (!last) return await_next_request();
    end(reason);
}

void ClientConnection::reject(int status, std::string_view text) {
    ++group_.counters.bad_requests;
    answer(status, text, 0, EndReason::bad_request);
}

// Refuses the request that is being read: it has not been forwarded, so its client may repeat it elsewhere.
void ClientConnection::refuse_draining(std::optional<EndReason> end_reason) {
    ++group_.counters.refused_draining;
    inbound_.reset();
    answer(503, "draining", 0, end_reason);
}

// Refuses the request that is being read: one with its id may have had its effect.
void ClientConnection::refuse_repeated() {
    ++group_.counters.refused_repeated;
    inbound_.reset();
    answer(502, "x-txn: a request with this id may have run", 0);
}

void ClientConnection::refuse_incomplete() {
    if (state_ == State::reading && request_began_at_) refuse_draining(EndReason::draining);
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
}

// While this holds, a flush is scheduled or a write is queued, so on_output_sent() or the end of the
// connection is certain to follow.
bool ClientConnection::is_congested() const {
    return unsent_bytes() > group_.memory.share_within(kMinCongestedBytes, kMaxCongestedBytes);
}

void ClientConnection::finish_stream() {
    send(http::kLastChunk);
    handle_ = 0;
    // Guards against a client that has asked for the close and waits for it, occupying a connection slot.
    if (!parser_.keep_alive) return end(EndReason::close_requested);
    await_next_request();
}

void ClientConnection::abort_stream() {
    handle_ = 0;
    end(EndReason::stream_broken);
}

void ClientConnection::send_final(int status, Millis retry_after, std::string_view text) {
    handle_ = 0;
    answer(status, text, retry_after);
}

// Prepares for the next request after an answer. Guards against losing pipelined requests while the gateway
// is stopping: input already received is served before the connection is closed.
void ClientConnection::await_next_request() {
    if (state_ == State::gone) return;
    state_ = State::reading;
    last_activity_ = net::now();
    request_began_at_.reset();
    fresh_ = false;
    update_reading();
    if (!pipelined_.empty()) return send({});  // read by the scheduled flush
    if (group_.accepting_stopped) close_idle(EndReason::draining);
}

void ClientConnection::send(std::string_view bytes) {
    if (state_ == State::gone) return;
    output_.append(bytes);
    update_memory();
    owner_.schedule_flush(*this);
}

// The kernel may take all of the output at once: then no write is queued, and on_drain() is not called for
// it.
void ClientConnection::flush() {
    if (output_.empty()) return;
    stream_->write(std::exchange(output_, std::string()));
    on_output_sent();
}

void ClientConnection::on_drain() {
    if (state_ == State::gone) return;
    if (state_ == State::ending) last_activity_ = linger_began_at_ = net::now();
    on_output_sent();
    // Its turn was put off because of the output that has now been sent.
    if (state_ == State::reading && !pipelined_.empty()) owner_.schedule_flush(*this);
}

void ClientConnection::on_output_sent() {
    update_memory();
    update_reading();
    if (handle_ != 0) group_.lifecycle.on_client_output_sent(handle_);
}

// ---- end ------------------------------------------------------------------------------------------------

// Flushes the output and sends a FIN. Further input is discarded until the connection is closed.
void ClientConnection::end(EndReason reason) {
    if (state_ == State::gone || state_ == State::ending) return;
    ++group_.counters.ended[static_cast<std::size_t>(reason)];
    flush();
    state_ = State::ending;
    ++group_.ending;
    last_activity_ = net::now();
    linger_began_at_ = last_activity_;
    progress_.start(last_activity_, acknowledged_bytes());
    pipelined_ = std::string();
    inbound_.reset();
    parser_.release_head();
    update_memory();
    update_reading();
    stream_->shutdown_write();
}

// Guards against losing a request that arrives while its idle connection is being closed: a request that has
// arrived is served. A later one meets the FIN, and its client sends it again.
bool ClientConnection::close_idle(EndReason reason) {
    const control::ClosePreconditions preconditions{!idle(), stream_->has_unread_input()};
    if (const auto block_reason = control::check_close(preconditions)) {
        ++group_.counters.close_blocks[static_cast<std::size_t>(*block_reason)];
        return false;
    }
    end(reason);
    return true;
}

void ClientConnection::close() {
    if (state_ == State::gone) return;
    if (state_ == State::ending) --group_.ending;
    state_ = State::gone;
    inbound_.reset();
    stream_.reset();
    pipelined_ = std::string();
    output_ = std::string();
    memory_.resize(0);
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
        if (is_end_overdue(now)) close();
    } else if (reading_paused_) {
        if (is_client_stalled(now)) end(EndReason::client_stalled);
    } else if (request_began_at_) {
        if (is_request_overdue(now)) reject(408, "request not received completely in time");
    } else if (fresh_) {
        if (now - last_activity_ >= limits.request_timeout) close_idle(EndReason::request_timeout);
    } else if (now - last_activity_ > (crowded ? limits.min_idle : limits.max_idle)) {
        close_idle(EndReason::idle);
    }
}

// The rest of an answer is sent for as long as its client takes it. A client that still sends its request is
// waited for: a close would reset its connection before it has read the answer.
bool ClientConnection::is_end_overdue(Millis now) {
    const bool stalled = is_client_stalled(now);
    if (stream_->queued() > 0) return stalled;
    return now > last_activity_ + kLingerTimeout || now > linger_began_at_ + group_.limits.request_timeout;
}

bool ClientConnection::is_client_stalled(Millis now) {
    progress_.record(now, acknowledged_bytes());
    return now > progress_.stalls_at();
}

bool ClientConnection::is_request_overdue(Millis now) const {
    const Millis timeout = group_.limits.request_timeout;
    if (now - *request_began_at_ >= timeout) return true;
    return fresh_ && now - last_activity_ > kFreshTimeoutFactor * timeout;
}

}  // namespace gorsenotch::platform
