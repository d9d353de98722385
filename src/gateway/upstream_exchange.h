// One attempt at an engine, from its connection to its end: what the bytes of the answer mean.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/dialect.h"
#include "gorsenotch/events.h"
#include "http/sse.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::gateway {

// How an attempt ended, and what its answer said.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    double detail = 0;       // as AttemptEnded::detail
    std::string parameters;  // prefill_done: of the state, for the decode request
    std::string why;         // for the log
    api::StopReason stop = api::StopReason::end;
    std::string sequence;  // of StopReason::sequence
    api::Usage usage;      // of a decode attempt that was served
    LoadReport report;
    bool begun = false;  // the stream had begun
};

// Reads the answer of one attempt. The connection that carries it makes the calls of UpstreamCall; the owner
// sets the callbacks first, and gets on_sent and on_stream_begun at most once each, on_text after
// on_stream_begun, and on_ended exactly once and last. After on_ended no call has any effect for the owner,
// so what a superseded attempt still sends is dropped. No I/O and no clock.
class UpstreamExchange : public proxy::UpstreamCall {
public:
    std::function<void()> on_sent;  // its first byte may have been handed to the kernel
    std::function<void()> on_stream_begun;
    std::function<void(std::string_view)> on_text;
    std::function<void(AttemptOutcome)> on_ended;

    // `is_prefill`: a prefill request, else a decode request. `max_event`: bytes of one event of a stream;
    // `max_body`: bytes of an answer that is no stream.
    UpstreamExchange(const engine::Dialect& dialect, bool is_prefill, std::size_t max_event,
                     std::size_t max_body);

    void on_first_byte_sent() override;
    void on_data(std::string_view bytes) override;
    void on_connection_closed() override;
    void on_connect_failed() override;
    void on_not_sent() override;
    // Each of these ends the attempt from the owner's side.
    void time_out();
    void cancel();
    void on_stream_stalled();  // a begun stream has been silent for too long

    bool is_over() const override { return over_; }
    bool begun() const { return progress_ != StreamProgress::waiting; }
    bool is_reusable() const override { return over_ && connection_ == ConnectionUse::reusable; }
    bool is_lingering() const override {
        return over_ && connection_ == ConnectionUse::message_open && awaits_message_end_;
    }

private:
    enum class BodyKind { complete, event_stream };
    // `stopped`: the reason of the stop has come; text after it is dropped.
    enum class StreamProgress { waiting, begun, stopped };
    // What may become of the connection. `unusable` is final: the answer did not end cleanly, or something
    // came after its end.
    enum class ConnectionUse { message_open, reusable, unusable };

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
    void fail_response(std::string why);
    void fail_attempt(AttemptResult result, std::string why);
    void finish(AttemptOutcome outcome);

    const engine::Dialect& dialect_;
    const bool is_prefill_;
    const std::size_t max_body_;
    http::Parser parser_;
    http::SseReader sse_;
    std::string body_;
    LoadReport report_;
    BodyKind body_kind_ = BodyKind::complete;
    StreamProgress progress_ = StreamProgress::waiting;
    ConnectionUse connection_ = ConnectionUse::message_open;
    bool sent_ = false;
    bool over_ = false;
    bool awaits_message_end_ = false;  // the stream's last event came before the end of the HTTP message
    api::StopReason stop_ = api::StopReason::end;
    std::string sequence_;
    api::Usage usage_;
    long text_pieces_ = 0;
    std::vector<engine::StreamPiece> event_pieces_;  // of the current event; kept for its memory
};

}  // namespace gorsenotch::gateway
