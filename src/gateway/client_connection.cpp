#include "gateway/client_connection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/clock.h"
#include "net/tcp_stream.h"

namespace gorsenotch::gateway {
namespace {

constexpr Millis kLingerTimeout = 1000;      // from this side's FIN to the client's
constexpr Millis kDefaultRetryAfter = 1000;  // where the Router gives no value
constexpr Millis kMillisPerSecond = 1000;
// Copies of a request's body: rendered for an attempt, and queued for the engine.
constexpr std::size_t kRenderedCopies = 2;
constexpr std::size_t kKibibyte = 1024;
// Queued bytes above which no more is taken from the engine: the share of one holder of memory, within these
// bounds, and at most limits.stream_buffer_bytes.
constexpr std::size_t kMinQueuedBytes = 8 * kKibibyte;

}  // namespace

ClientConnection::ClientConnection(net::EventLoop& loop, const settings::ProgramSettings& program,
                                   RequestLifecycle& lifecycle, control::MemoryBudget& memory,
                                   ConnectionOwner& owner, std::unique_ptr<net::TcpStream> stream)
    : loop_(loop),
      program_(program),
      lifecycle_(lifecycle),
      owner_(owner),
      stream_(std::move(stream)),
      parser_(http::Parser::Kind::request,
              {program.limits.header_bytes, program.limits.headers, program.limits.body_bytes}),
      timer_(loop, [this] { on_timer(); }),
      progress_(program.limits.stream_idle_ms),
      budget_(memory),
      request_memory_(memory, control::MemoryUse::request),
      buffer_memory_(memory, control::MemoryUse::connection) {
    stream_->on_data = [this](std::string_view bytes) { on_data(bytes); };
    stream_->on_end = [this](int) { on_disconnected(); };
    stream_->on_drain = [this] { on_drain(); };
    parser_.on_headers = [this] { on_headers(); };
    parser_.on_body = [this](std::string_view bytes) { on_body(bytes); };
    timer_.fire_after_poll(program_.limits.idle_ms);
    stream_->set_reading(true);
}

bool ClientConnection::is_idle() const {
    return !is_answering() && !parser_.has_partial_message() && stream_ && stream_->queued() == 0 &&
           output_.empty();
}

void ClientConnection::reject_overloaded() {
    rejected_ = true;
    id_ = owner_.next_request_id();
    state_ = State::replying;
    reply(overloaded_reply());
}

void ClientConnection::close_if_idle() {
    if (is_idle() && buffered_input_.empty() && !stream_->has_unread_input()) close();
}

// ---- responses ------------------------------------------------------------------------------------------

void ClientConnection::begin_stream() {
    stream_begun_ = true;
    http::Headers headers = common_headers();
    headers.emplace_back("content-type", "text/event-stream; charset=utf-8");
    headers.emplace_back("cache-control", "no-cache");
    if (is_chunked()) headers.emplace_back("transfer-encoding", "chunked");
    write(http::response_head(200, headers));
}

void ClientConnection::send_body(std::string bytes) {
    if (is_chunked()) {
        http::append_chunk(output_, bytes);
    } else {
        output_ += bytes;
    }
    schedule_output();
}

void ClientConnection::finish_stream() {
    if (is_chunked()) write(std::string(http::kLastChunk));
    finish_response();
}

void ClientConnection::send_complete(int status, std::string bytes, Millis retry_after,
                                     std::optional<bool> should_retry) {
    http::Headers headers = common_headers();
    headers.emplace_back("content-type", "application/json");
    headers.emplace_back("content-length", std::to_string(bytes.size()));
    if (retry_after >= 0) {
        // Both headers: the public client libraries prefer retry-after-ms, as it is finer.
        const Millis wait = retry_after > 0 ? std::ceil(retry_after) : kDefaultRetryAfter;
        const auto seconds = static_cast<long>(std::ceil(wait / kMillisPerSecond));
        headers.emplace_back("retry-after", std::to_string(seconds));
        headers.emplace_back("retry-after-ms", std::to_string(static_cast<long>(wait)));
    }
    if (should_retry) headers.emplace_back("x-should-retry", *should_retry ? "true" : "false");
    write(std::move(bytes.insert(0, http::response_head(status, headers))));  // not copied: it may be large
    finish_response();
}

http::Headers ClientConnection::common_headers() {
    keep_alive_ = keep_alive_ && !owner_.is_draining();
    return {{"request-id", id_}, {"connection", keep_alive_ ? "keep-alive" : "close"}};
}

void ClientConnection::write(std::string bytes) {
    if (output_.empty()) {
        output_ = std::move(bytes);
    } else {
        output_ += bytes;
    }
    schedule_output();
}

void ClientConnection::schedule_output() {
    if (!stream_) return;
    update_memory();
    // Bounds the memory for output in one long loop turn, in which an engine may send a lot.
    if (output_.size() > program_.limits.stream_buffer_bytes) return flush();
    if (flush_scheduled_) return;
    flush_scheduled_ = true;
    owner_.schedule_flush(*this);
}

void ClientConnection::flush() {
    if (std::exchange(flush_scheduled_, false)) owner_.cancel_flush(*this);
    if (!stream_) return;
    stream_->write(std::exchange(output_, {}));
    update_memory();
    owner_.record_queued_bytes(stream_->queued());
    if (state_ == State::closing && stream_->queued() == 0) return linger();
    // Back-pressure: the engine's socket is not read while this client lags behind.
    const bool streaming = stream_begun_ && state_ == State::in_lifecycle;
    if (streaming && !congested_ && stream_->queued() > max_queued_bytes()) {
        congested_ = true;
        await_output_taken();
        lifecycle_.on_client_congested(id_, true);
    }
}

std::size_t ClientConnection::max_queued_bytes() const {
    return budget_.share_within(kMinQueuedBytes, program_.limits.stream_buffer_bytes);
}

void ClientConnection::on_drain() {
    update_memory();
    if (state_ == State::closing) return output_.empty() ? linger() : flush();
    if (std::exchange(awaits_client_, false)) return await_next_request();
    if (!congested_) return;
    congested_ = false;
    timer_.stop();
    lifecycle_.on_client_congested(id_, false);
}

// All output is with the kernel: sends a FIN and waits for the client's.
void ClientConnection::linger() {
    stream_->shutdown_write();
    timer_.fire_after(kLingerTimeout);
}

void ClientConnection::finish_response() {
    state_ = State::reading;
    id_.clear();
    congested_ = false;
    timer_.stop();
    if (!stream_) return;
    await_output_taken();
    if (!keep_alive_) {
        state_ = State::closing;
        // Further input is read and discarded: closing a socket with unread bytes would reset the connection,
        // and the client could lose the response.
        update_reading();
        return schedule_output();  // for linger(), as the answer may be with the kernel already
    }
    awaits_client_ = stream_->queued() > max_queued_bytes();
    if (awaits_client_) return update_reading();
    await_next_request();
}

void ClientConnection::await_next_request() {
    timer_.fire_after_poll(program_.limits.idle_ms);
    update_reading();
    if (buffered_input_.empty()) return;
    // The next request was received already. It is parsed in a loop turn of its own, so that many pipelined
    // requests do not grow the stack.
    timer_.fire_after(0);
}

// ---- requests -------------------------------------------------------------------------------------------

void ClientConnection::on_data(std::string_view bytes) {
    const net::ActivityScope activity(loop_, "clients");
    if (state_ == State::closing) return;
    if (is_answering() || !buffered_input_.empty()) {
        buffered_input_.append(bytes);
        update_memory();
        return update_reading();
    }
    parse(bytes);
}

// The only place that pauses or resumes reading: bounds the memory for pipelined input, and for the answers
// to a client that does not read them. Has to be called whenever buffered_input_, awaits_client_ or the state
// has changed.
void ClientConnection::update_reading() {
    const bool has_room = !awaits_client_ && buffered_input_.size() <= program_.limits.header_bytes;
    const bool discards_input = state_ == State::closing;
    stream_->set_reading(has_room || discards_input);
}

void ClientConnection::parse(std::string_view bytes) {
    std::string remaining;  // backs `bytes` after the first request
    while (!bytes.empty() && stream_ && state_ != State::closing) {
        if (!parser_.has_partial_message()) timer_.fire_after_poll(program_.limits.header_ms);
        const std::size_t consumed = parser_.feed(bytes);
        bytes.remove_prefix(std::min(consumed, bytes.size()));
        if (parser_.fault() != http::Fault::none) return reject_malformed();
        if (!parser_.complete())
            return is_reading_head() && !reserve_buffers() ? reject_incomplete() : void();
        buffered_input_.assign(bytes);
        timer_.stop();
        on_request();
        update_memory();
        if (state_ != State::reading || !stream_ || awaits_client_) return;
        remaining = std::exchange(buffered_input_, {});
        update_reading();
        bytes = remaining;
        if (bytes.empty()) timer_.fire_after_poll(program_.limits.idle_ms);
    }
}

void ClientConnection::on_headers() {
    id_ = owner_.next_request_id();
    keep_alive_ = parser_.keep_alive;
    stream_begun_ = false;
    request_ = {parser_.method, parser_.target.substr(0, parser_.target.find('?')), parser_.headers, {}};
    early_reply_ = precheck(program_, request_, id_);
    if (!early_reply_ && !reserve_body(static_cast<std::size_t>(parser_.content_length))) refuse_memory();
    timer_.fire_after_poll(program_.limits.body_ms);
    const auto* expect = http::find_header(request_.headers, "expect");
    if (expect && !early_reply_ && parser_.http_minor >= 1 && *expect == "100-continue")
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientConnection::on_body(std::string_view bytes) {
    if (early_reply_) return;
    const std::size_t size = request_.body.size() + bytes.size();
    if (size > request_.body.capacity() && !reserve_body(std::max(size, 2 * request_.body.capacity())))
        return refuse_memory();
    request_.body.append(bytes);
}

// Reserves the memory for the request with a body of up to `bytes`, before it is taken. Returns false if
// there is none.
bool ClientConnection::reserve_body(std::size_t bytes) {
    const std::size_t capacity = std::min(bytes, program_.limits.body_bytes);
    if (!request_memory_.try_resize(NewRequest::kOverheadBytes + parser_.head_memory() +
                                    (1 + kRenderedCopies) * capacity))
        return false;
    request_.body.reserve(capacity);
    return true;
}

// The rest of the body is read and discarded, then the refusal is sent.
void ClientConnection::refuse_memory() {
    request_.body = std::string();
    request_memory_.resize(0);
    early_reply_ = overloaded_reply();
}

// Counts what this connection buffers besides the request that it reads. Returns false if there is no memory
// for it.
bool ClientConnection::reserve_buffers() { return buffer_memory_.try_resize(buffered_bytes()); }

// As reserve_buffers(), for memory that is already in use.
void ClientConnection::update_memory() { buffer_memory_.resize(buffered_bytes()); }

std::size_t ClientConnection::buffered_bytes() const {
    const std::size_t queued = stream_ ? stream_->queued() : 0;
    return buffered_input_.size() + output_.size() + queued + parser_.head_memory();
}

// Reserves the memory for a parsed request and its answer. Returns false if there is none.
bool ClientConnection::reserve_accepted(NewRequest& request, std::size_t body_bytes) {
    request.memory = request_memory_.split(request_memory_.bytes());
    request.answer_memory = request.memory.sibling(control::MemoryUse::response);
    // Many short texts take more memory than their JSON.
    return request.memory.try_resize(request.memory_of_record() + kRenderedCopies * body_bytes) &&
           request.answer_memory.try_resize(request.answer->memory_for(request.chat.expected_answer_bytes()));
}

void ClientConnection::on_request() {
    state_ = State::replying;
    HttpRequest request = std::exchange(request_, {});
    parser_.release_head();
    if (early_reply_) return reply(*early_reply_);
    auto intake_result = accept_request(program_, request, id_);
    const std::size_t body_bytes = request.body.size();
    request.body = std::string();
    if (const auto* answer = std::get_if<Reply>(&intake_result)) {
        request_memory_.resize(0);
        return reply(*answer);
    }
    auto& accepted = std::get<NewRequest>(intake_result);
    accepted.client = this;
    if (!reserve_accepted(accepted, body_bytes)) return reply(overloaded_reply());
    accepted.age = stream_->time_since_last_receive();
    if (owner_.is_draining()) return reply(overloaded_reply());
    state_ = State::in_lifecycle;
    if (lifecycle_.on_request(std::move(accepted))) return;
    state_ = State::replying;
    reply(overloaded_reply());
}

void ClientConnection::reject_malformed() {
    abandon_request();
    reply(fault_reply());
}

void ClientConnection::reject_incomplete() {
    if (state_ != State::reading || !parser_.has_partial_message()) return;
    abandon_request();
    reply(overloaded_reply());
}

// Prepares the answer to a request of which no more is read: the last one of this connection.
void ClientConnection::abandon_request() {
    if (id_.empty()) id_ = owner_.next_request_id();
    keep_alive_ = false;
    state_ = State::replying;
    request_ = {};
    parser_.release_head();
    request_memory_.resize(0);
    update_memory();
}

Reply ClientConnection::fault_reply() const {
    switch (parser_.fault()) {
        case http::Fault::headers_too_large:
            return error_reply(431, "invalid_request_error",
                               "request headers exceed the limit on size or number", id_);
        case http::Fault::body_too_large:
            return error_reply(413, "request_too_large", "request body exceeds the size limit", id_);
        default:
            return error_reply(400, "invalid_request_error", "malformed HTTP request", id_);
    }
}

Reply ClientConnection::overloaded_reply() const {
    Reply reply = error_reply(529, "overloaded_error", "Overloaded", id_);
    reply.should_retry = true;
    reply.retry_after = 0;
    return reply;
}

void ClientConnection::reply(const Reply& reply) {
    send_complete(reply.status, reply.body, reply.retry_after, reply.should_retry);
}

// ---- timeouts and disconnection -------------------------------------------------------------------------

void ClientConnection::on_timer() {
    if (!stream_) return;
    if (state_ == State::reading && !buffered_input_.empty() && !awaits_client_) {
        const std::string next_request = std::exchange(buffered_input_, {});
        update_reading();
        return parse(next_request);
    }
    if (state_ == State::reading && parser_.has_partial_message()) {
        abandon_request();
        return reply(error_reply(408, "invalid_request_error", "timed out while reading the request", id_));
    }
    if (!still_takes_output()) on_disconnected();
}

// Starts the time limit on the client's progress.
void ClientConnection::await_output_taken() {
    progress_.start(net::now(), stream_->acknowledged_bytes());
    timer_.fire_after_poll(program_.limits.stream_idle_ms);
}

// Whether output is queued and the client has acknowledged some of it lately; sets the timer again if so.
bool ClientConnection::still_takes_output() {
    if (stream_->queued() == 0) return false;
    const Millis now = net::now();
    progress_.record(now, stream_->acknowledged_bytes());
    if (now >= progress_.stalls_at()) return false;
    timer_.fire_after_poll(progress_.stalls_at() - now);
    return true;
}

void ClientConnection::on_disconnected() {
    if (!stream_) return;
    const bool in_lifecycle = state_ == State::in_lifecycle;
    close();
    if (in_lifecycle) lifecycle_.on_client_disconnected(id_);
}

void ClientConnection::close() {
    if (state_ == State::in_lifecycle) state_ = State::replying;
    timer_.stop();
    stream_.reset();
    output_ = std::string();
    buffered_input_ = std::string();
    request_ = {};
    parser_.release_head();
    request_memory_.resize(0);
    update_memory();
    owner_.on_closed(*this);
}

}  // namespace gorsenotch::gateway
