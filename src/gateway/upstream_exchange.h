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
    api::Stop stop = api::Stop::end;
    std::string sequence;  // of Stop::sequence
    api::Usage usage;      // of a write that was served
    LoadReport report;
    bool begun = false;  // the stream had begun
};

class UpstreamExchange : public proxy::Carried {
public:
    std::function<void()> on_sent;  // its bytes are being handed over
    std::function<void()> on_first;
    std::function<void(std::string_view)> on_text;
    std::function<void(AttemptOutcome)> on_over;

    UpstreamExchange(const engine::Dialect& dialect, bool read, std::size_t max_event, std::size_t max_body);

    void sent() override;
    void data(std::string_view bytes) override;
    void ended() override;
    void refused_dial() override;
    void not_sent() override;
    void expired();    // its time-out
    void cancelled();  // the owner no longer wants it
    void stalled();    // a begun stream has been silent for too long

    bool over() const override { return over_; }
    bool begun() const { return begun_; }
    bool reusable() const override { return over_ && clean_ && !spoilt_; }
    bool lingering() const override { return over_ && !clean_ && !spoilt_ && linger_; }

private:
    void head();
    void body(std::string_view bytes);
    void event(std::string_view data);
    void complete();
    void broken(AttemptResult result, std::string why);
    void finish(AttemptOutcome e);

    const engine::Dialect& dialect_;
    const bool read_;
    const std::size_t max_body_;
    http::Parser parser_;
    http::SseReader sse_;
    std::string body_;
    LoadReport report_;
    bool sent_ = false, stream_ = false, begun_ = false, over_ = false;
    bool clean_ = false, spoilt_ = false, linger_ = false, stopped_ = false;
    api::Stop stop_ = api::Stop::end;
    std::string sequence_;
    api::Usage usage_;
    long pieces_ = 0;
    std::vector<engine::Piece> pieces_now_;  // of the event at hand; kept for its memory
};

}  // namespace gorsenotch::gateway
