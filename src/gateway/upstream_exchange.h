// Interprets the response to one attempt at an engine.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "control/memory_budget.h"
#include "engine/dialect.h"
#include "gorsenotch/events.h"
#include "http/sse.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::gateway {

// The result of an attempt and the data of its response.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    double detail = 0;       // see AttemptEnded::detail
    std::string parameters;  // of prefill_done: KV transfer parameters for the decode request
    std::string reason;      // the reason, for the log
    api::StopReason stop_reason = api::StopReason::end;
    std::string stop_sequence;  // if `stop_reason` is StopReason::sequence
    api::Usage usage;           // of a served decode attempt
    LoadReport report;
    bool begun = false;  // the stream had begun
};

// Parses the response to one attempt. The connection that carries the attempt makes the calls of
// UpstreamCall. The owner sets the callbacks before the first of them. on_sent and on_stream_begun are called
// at most once each, on_text only after on_stream_begun, and on_ended exactly once and last. After on_ended
// no call reaches the owner, so anything that a superseded attempt still sends is discarded. Does no I/O and
// uses no clock.
class UpstreamExchange : public proxy::UpstreamCall {
public:
    std::function<void()> on_sent;  // the first byte may have been handed to the kernel
    std::function<void()> on_stream_begun;
    std::function<void(std::string_view)> on_text;
    std::function<void(AttemptOutcome)> on_ended;

    // `is_prefill`: whether this is a prefill or a decode request. `max_event_bytes` limits one event of a
    // stream, `max_body_bytes` a response body that is not streamed. `memory` is charged for what is
    // buffered.
    UpstreamExchange(const engine::Dialect& dialect, bool is_prefill, std::size_t max_event_bytes,
                     std::size_t max_body_bytes, control::MemoryCharge memory = {});

    void on_first_byte_sent() override;
    void on_data(std::string_view bytes) override;
    void on_connection_closed() override;
    void on_connect_failed() override;
    void on_not_sent() override;
    // Each of the following ends the attempt on behalf of its owner.
    void time_out();
    void cancel();
    void on_stream_stalled();  // no data within the idle timeout of a begun stream

    bool has_outcome() const override { return over_; }
    bool begun() const { return progress_ != StreamProgress::waiting; }
    bool is_reusable() const override { return over_ && connection_ == ConnectionUse::reusable; }
    bool awaits_message_end() const override {
        return over_ && connection_ == ConnectionUse::message_open && awaits_message_end_;
    }

private:
    enum class BodyKind { complete, event_stream };
    // `stopped`: the stop reason was received; text after it is discarded.
    enum class StreamProgress { waiting, begun, stopped };
    // Whether the connection can be reused. `unusable` is final: the response did not end cleanly, or further
    // bytes followed its end.
    enum class ConnectionUse { message_open, reusable, unusable };

    bool reserve_buffers();
    void on_headers();
    void on_body(std::string_view bytes);
    void on_stream_body(std::string_view bytes);
    void on_stream_event(std::string_view data);
    void on_stream_piece(const engine::StreamPiece& piece);
    void on_text_piece(const std::string& text);
    void on_stop_piece(const engine::StreamPiece& piece);
    void on_stream_done();
    void on_message_complete();
    void begin_stream();
    void finish_served();
    void fail_response(std::string reason);
    void fail_attempt(AttemptResult result, std::string reason);
    void finish(AttemptOutcome outcome);

    const engine::Dialect& dialect_;
    const bool is_prefill_;
    const std::size_t max_body_bytes_;
    control::MemoryCharge memory_;
    http::Parser parser_;
    http::SseReader sse_;
    std::string body_;
    LoadReport report_;
    BodyKind body_kind_ = BodyKind::complete;
    StreamProgress progress_ = StreamProgress::waiting;
    ConnectionUse connection_ = ConnectionUse::message_open;
    bool first_byte_sent_ = false;
    bool over_ = false;
    bool awaits_message_end_ = false;  // the last event was received, the end of the HTTP message not yet
    api::StopReason stop_reason_ = api::StopReason::end;
    std::string stop_sequence_;
    api::Usage usage_;
    long text_pieces_ = 0;
    std::vector<engine::StreamPiece> event_pieces_;  // of the current event; a member to reuse its memory
};

}  // namespace gorsenotch::gateway
