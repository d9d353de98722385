#include "gateway/upstream_exchange.h"

#include <utility>

namespace gorsenotch::gateway {
namespace {

constexpr http::Limits kResponseLimits{
    .header_bytes = std::size_t{16} * 1024, .headers = 100, .body_bytes = 0};
// Part of a response that is not charged: its request has reserved the memory for it. So responses of usual
// length are received whatever the budget has left.
constexpr std::size_t kReservedBytes = std::size_t{8} * 1024;

}  // namespace

UpstreamExchange::UpstreamExchange(const engine::Dialect& dialect, bool is_prefill,
                                   std::size_t max_event_bytes, std::size_t max_body_bytes,
                                   control::MemoryCharge memory)
    : dialect_(dialect),
      is_prefill_(is_prefill),
      max_body_bytes_(max_body_bytes),
      memory_(std::move(memory)),
      parser_(http::Parser::Kind::response, kResponseLimits),
      sse_(max_event_bytes) {
    parser_.on_headers = [this] { on_headers(); };
    parser_.on_body = [this](std::string_view bytes) { on_body(bytes); };
    parser_.on_complete = [this] { on_message_complete(); };
    sse_.on_event = [this](std::string_view, std::string_view data) { on_stream_event(data); };
}

void UpstreamExchange::on_first_byte_sent() {
    first_byte_sent_ = true;
    if (on_sent) on_sent();
}

void UpstreamExchange::on_data(std::string_view bytes) {
    if (connection_ == ConnectionUse::unusable) return;
    // Bytes after the end of the response belong to no request, so the connection must not be reused.
    if (connection_ == ConnectionUse::reusable) {
        connection_ = ConnectionUse::unusable;
        return;
    }
    const std::size_t consumed = parser_.feed(bytes);
    if (parser_.fault() != http::Fault::none) {
        connection_ = ConnectionUse::unusable;
        return fail_response("malformed HTTP response from the engine");
    }
    if (!reserve_buffers()) {
        connection_ = ConnectionUse::unusable;
        return fail_response("out of memory for responses");
    }
    if (parser_.complete() && consumed < bytes.size()) connection_ = ConnectionUse::unusable;
}

// Counts what is buffered. Guards against bodies and events of many engines that do not end. Returns false if
// there is no memory for them.
bool UpstreamExchange::reserve_buffers() {
    const std::size_t buffered = parser_.head_memory() + body_.capacity() + sse_.memory();
    const std::size_t charged = buffered > kReservedBytes ? buffered - kReservedBytes : 0;
    if (!over_) return memory_.try_resize(charged);
    memory_.resize(charged);
    return true;
}

void UpstreamExchange::on_headers() {
    if (over_) return;
    report_ = dialect_.load_report(parser_.headers);
    const std::string* type = http::find_header(parser_.headers, "content-type");
    const bool event_stream = type && type->rfind("text/event-stream", 0) == 0;
    body_kind_ =
        !is_prefill_ && parser_.status == 200 && event_stream ? BodyKind::event_stream : BodyKind::complete;
}

void UpstreamExchange::on_body(std::string_view bytes) {
    if (body_kind_ == BodyKind::event_stream) return on_stream_body(bytes);
    if (over_) return;
    if (body_.size() + bytes.size() > max_body_bytes_) {
        connection_ = ConnectionUse::unusable;
        return fail_attempt(AttemptResult::error, "response body exceeds the size limit");
    }
    body_.append(bytes);
}

void UpstreamExchange::on_stream_body(std::string_view bytes) {
    if (over_) {
        // Keeps parsing to detect events after the last one, which make the connection unusable.
        if (awaits_message_end_) sse_.feed(bytes);
        return;
    }
    if (sse_.feed(bytes) || over_) return;
    connection_ = ConnectionUse::unusable;
    fail_response("stream event exceeds the size limit");
}

void UpstreamExchange::on_stream_event(std::string_view data) {
    if (over_) {  // an event after the last one
        connection_ = ConnectionUse::unusable;
        return;
    }
    dialect_.parse_event(data, event_pieces_);
    for (const auto& piece : event_pieces_) {
        on_stream_piece(piece);
        if (over_) return;
    }
}

void UpstreamExchange::on_stream_piece(const engine::StreamPiece& piece) {
    using Kind = engine::StreamPiece::Kind;
    switch (piece.kind) {
        case Kind::none:
            return;
        case Kind::text:
            return on_text_piece(piece.text);
        case Kind::stop:
            return on_stop_piece(piece);
        case Kind::usage:
            usage_ = piece.usage;
            return;
        case Kind::done:
            return on_stream_done();
        case Kind::error:
            connection_ = ConnectionUse::unusable;
            return fail_response("error in the engine's stream: " + piece.text);
    }
}

void UpstreamExchange::on_text_piece(const std::string& text) {
    if (progress_ == StreamProgress::stopped) return;
    begin_stream();
    if (over_) return;
    ++text_pieces_;
    if (on_text) on_text(text);
}

void UpstreamExchange::on_stop_piece(const engine::StreamPiece& piece) {
    if (progress_ == StreamProgress::stopped) return;
    begin_stream();
    if (over_) return;
    progress_ = StreamProgress::stopped;
    stop_reason_ = piece.stop;
    stop_sequence_ = piece.text;
}

void UpstreamExchange::begin_stream() {
    if (progress_ != StreamProgress::waiting) return;
    progress_ = StreamProgress::begun;
    if (on_stream_begun) on_stream_begun();
}

void UpstreamExchange::on_stream_done() {
    if (progress_ != StreamProgress::stopped) return fail_response("stream ended without a stop reason");
    awaits_message_end_ = true;
    finish_served();
}

void UpstreamExchange::on_message_complete() {
    const bool allows_keep_alive = parser_.keep_alive && parser_.status >= 200;
    if (allows_keep_alive && connection_ != ConnectionUse::unusable) connection_ = ConnectionUse::reusable;
    if (over_) return;
    if (body_kind_ == BodyKind::event_stream) {
        // All text precedes the stop reason, so the response is complete even without the [DONE] marker.
        if (progress_ != StreamProgress::stopped) return fail_response("stream ended without a stop reason");
        return finish_served();
    }
    const auto parsed = is_prefill_ ? dialect_.parse_prefill_response(parser_.status, body_)
                                    : dialect_.parse_decode_error(parser_.status, body_);
    AttemptOutcome outcome;
    outcome.result = parsed.result;
    outcome.detail = parsed.detail;
    outcome.parameters = parsed.parameters;
    outcome.reason = parsed.reason;
    finish(std::move(outcome));
}

void UpstreamExchange::on_connection_closed() {
    connection_ = ConnectionUse::unusable;
    if (over_) return;
    if (parser_.finish() && over_) return;
    if (progress_ == StreamProgress::stopped) return finish_served();
    // Guards against sending again a request that may have been delivered: only if no byte was written is it
    // certain that the engine received nothing. This also holds for a reused connection that is closed before
    // the first byte of the response.
    fail_attempt(first_byte_sent_ ? AttemptResult::reset : AttemptResult::unreachable,
                 "connection closed before the response was complete");
}

void UpstreamExchange::on_connect_failed() { fail_attempt(AttemptResult::unreachable, "connection failed"); }
void UpstreamExchange::on_not_sent() { fail_attempt(AttemptResult::not_sent, "request not sent"); }
void UpstreamExchange::time_out() {
    fail_attempt(first_byte_sent_ ? AttemptResult::timed_out : AttemptResult::unreachable,
                 "attempt timed out");
}
void UpstreamExchange::cancel() { fail_attempt(AttemptResult::cancelled, "attempt cancelled"); }
void UpstreamExchange::on_stream_stalled() { fail_attempt(AttemptResult::timed_out, "stream idle timeout"); }

void UpstreamExchange::finish_served() {
    AttemptOutcome outcome;
    outcome.result = AttemptResult::served;
    finish(std::move(outcome));
}

// Ends the attempt after an invalid response: as a reset if the stream has begun, else as an error.
void UpstreamExchange::fail_response(std::string reason) {
    fail_attempt(begun() ? AttemptResult::reset : AttemptResult::error, std::move(reason));
}

void UpstreamExchange::fail_attempt(AttemptResult result, std::string reason) {
    if (over_) return;
    connection_ = ConnectionUse::unusable;
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.reason = std::move(reason);
    finish(std::move(outcome));
}

void UpstreamExchange::finish(AttemptOutcome outcome) {
    if (over_) return;
    over_ = true;
    outcome.begun = begun();
    outcome.stop_reason = stop_reason_;
    outcome.stop_sequence = stop_sequence_;
    outcome.usage = usage_;
    outcome.report = report_;
    // If the engine reports no usage, each piece of text counts as one token.
    if (outcome.result == AttemptResult::served && outcome.usage.output == 0)
        outcome.usage.output = text_pieces_;
    body_ = std::string();
    if (const auto ended = on_ended) ended(std::move(outcome));
}

}  // namespace gorsenotch::gateway
