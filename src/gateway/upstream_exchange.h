// One attempt at an engine, from its connection to its end: what the bytes mean. No I/O, no clock.
//
// Fed by the connection that carries it; tells its owner in order: first() at most once, text() between
// first() and over(), over() exactly once and last. After over() every call changes nothing, so what a
// superseded attempt still sends is dropped.
#pragma once

#include <functional>
#include <string>

#include "engine/dialect.h"
#include "http/sse.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::gateway {

struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    double detail = 0;
    std::string parameters;  // of a read
    std::string why;         // for the log
    api::StopReason stop = api::StopReason::end;
    std::string sequence;  // of Stop::sequence
    api::Usage usage;      // of a write that was served
    LoadReport report;
    bool begun = false;  // the stream had begun
};

class UpstreamExchange : public proxy::UpstreamCall {
public:
    std::function<void()> on_sent;  // its bytes are being handed over
    std::function<void()> on_stream_begun;
    std::function<void(std::string_view)> on_text;
    std::function<void(AttemptOutcome)> on_ended;

    UpstreamExchange(const engine::Dialect& dialect, bool read, std::size_t max_event, std::size_t max_body);

    void on_first_byte_sent() override;
    void on_data(std::string_view bytes) override;
    void on_connection_closed() override;
    void on_connect_failed() override;
    void on_not_sent() override;
    void time_out();           // its time-out
    void cancel();             // the owner no longer wants it
    void on_stream_stalled();  // a begun stream has been silent for too long

    bool is_over() const override { return over_; }
    bool begun() const { return begun_; }
    bool is_reusable() const override { return over_ && clean_ && !spoilt_; }
    bool is_lingering() const override { return over_ && !clean_ && !spoilt_ && linger_; }

private:
    void on_head();
    void on_body(std::string_view bytes);
    void on_stream_event(std::string_view data);
    void on_complete();
    void fail_attempt(AttemptResult result, std::string why);
    void finish(AttemptOutcome outcome);

    const engine::Dialect& dialect_;
    const bool read_;
    const std::size_t max_body_;
    http::Parser parser_;
    http::SseReader sse_;
    std::string body_;
    LoadReport report_;
    bool sent_ = false, stream_ = false, begun_ = false, over_ = false;
    bool clean_ = false, spoilt_ = false, linger_ = false, stopped_ = false;
    api::StopReason stop_ = api::StopReason::end;
    std::string sequence_;
    api::Usage usage_;
    long pieces_ = 0;
    std::vector<engine::StreamPiece> pieces_now_;  // of the event at hand; kept for its memory
};

}  // namespace gorsenotch::gateway
