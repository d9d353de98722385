#include "gateway/upstream_exchange.h"

namespace gorsenotch::gateway {

UpstreamExchange::UpstreamExchange(const engine::Dialect& dialect, bool read, std::size_t max_event,
                                   std::size_t max_body)
    : dialect_(dialect),
      read_(read),
      max_body_(max_body),
      parser_(http::Parser::Kind::response, http::Limits{16 * 1024, 100, 0}),
      sse_(max_event) {
    parser_.on_headers = [this] { on_head(); };
    parser_.on_body = [this](std::string_view b) { on_body(b); };
    parser_.on_complete = [this] { on_complete(); };
    sse_.on_event = [this](std::string_view, std::string_view data) { on_stream_event(data); };
}

void UpstreamExchange::on_first_byte_sent() {
    sent_ = true;
    if (on_sent) on_sent();
}

void UpstreamExchange::on_data(std::string_view bytes) {
    if (spoilt_) return;
    // Bytes after the end of the answer belong to nobody: whoever sends them can't be trusted with another.
    if (clean_) {
        spoilt_ = true;
        return;
    }
    const std::size_t taken = parser_.feed(bytes);
    if (parser_.fault() != http::Fault::none) {
        spoilt_ = true;
        return fail_attempt(begun_ ? AttemptResult::reset : AttemptResult::error,
                            "the engine's answer is malformed");
    }
    if (parser_.complete() && taken < bytes.size()) spoilt_ = true;
}

void UpstreamExchange::on_head() {
    if (over_) return;
    report_ = dialect_.load_report(parser_.headers);
    const std::string* type = http::find(parser_.headers, "content-type");
    stream_ = !read_ && parser_.status == 200 && type && type->rfind("text/event-stream", 0) == 0;
}

void UpstreamExchange::on_body(std::string_view bytes) {
    if (over_) {
        if (stream_ && linger_) sse_.feed(bytes);  // for events that must not come any more
        return;
    }
    if (stream_) {
        if (!sse_.feed(bytes) && !over_) {
            spoilt_ = true;
            fail_attempt(begun_ ? AttemptResult::reset : AttemptResult::error,
                         "an event longer than the limit");
        }
        return;
    }
    if (body_.size() + bytes.size() > max_body_) {
        spoilt_ = true;
        return fail_attempt(AttemptResult::error, "an answer longer than the limit");
    }
    body_.append(bytes);
}

void UpstreamExchange::on_stream_event(std::string_view data) {
    if (over_) {  // an event after the last one
        spoilt_ = true;
        return;
    }
    dialect_.parse_event(data, pieces_now_);
    for (const auto& piece : pieces_now_) {
        using Kind = engine::StreamPiece::Kind;
        if (piece.kind == Kind::broken) {
            spoilt_ = true;
            return fail_attempt(begun_ ? AttemptResult::reset : AttemptResult::error,
                                "the engine broke the stream: " + piece.text);
        }
        if (piece.kind == Kind::usage) usage_ = piece.usage;
        // After the stop there is no more text; what comes all the same is dropped.
        if ((piece.kind == Kind::text && !stopped_) || (piece.kind == Kind::stop && !stopped_)) {
            if (!begun_) {
                begun_ = true;
                if (on_stream_begun) on_stream_begun();
                if (over_) return;
            }
            if (piece.kind == Kind::text) {
                ++pieces_;
                if (on_text) on_text(piece.text);
                if (over_) return;
            } else {
                stopped_ = true, stop_ = piece.stop, sequence_ = piece.text;
            }
        }
        if (piece.kind == Kind::done) {
            if (!stopped_)
                return fail_attempt(begun_ ? AttemptResult::reset : AttemptResult::error,
                                    "a stream without its end");
            linger_ = true;
            AttemptOutcome outcome;
            outcome.result = AttemptResult::served;
            return finish(outcome);
        }
    }
}

void UpstreamExchange::on_complete() {
    clean_ = parser_.keep_alive && parser_.status >= 200;
    if (over_) return;
    if (stream_) {
        // All text has come when the stop has, even if the engine leaves out the last marker.
        if (!stopped_)
            return fail_attempt(begun_ ? AttemptResult::reset : AttemptResult::error,
                                "a stream without its end");
        AttemptOutcome outcome;
        outcome.result = AttemptResult::served;
        return finish(outcome);
    }
    const auto parsed = read_ ? dialect_.judge_prefill(parser_.status, body_)
                              : dialect_.parse_rejection(parser_.status, body_);
    AttemptOutcome outcome;
    outcome.result = parsed.result, outcome.detail = parsed.note, outcome.parameters = parsed.parameters,
    outcome.why = parsed.why;
    finish(outcome);
}

void UpstreamExchange::on_connection_closed() {
    spoilt_ = true;
    if (over_) return;
    if (parser_.finish() && over_) return;
    if (begun_ && stopped_) {
        AttemptOutcome outcome;
        outcome.result = AttemptResult::served;
        return finish(outcome);
    }
    // Guards against a repeat of what may have been delivered: only where no byte was written is it sure that
    // nothing came to the engine. A reused connection that dies before its first byte is no exception.
    fail_attempt(sent_ ? AttemptResult::reset : AttemptResult::unreachable,
                 "the engine closed the connection");
}

void UpstreamExchange::on_connect_failed() { fail_attempt(AttemptResult::unreachable, "no connection"); }
void UpstreamExchange::on_not_sent() { fail_attempt(AttemptResult::not_sent, "not sent"); }
void UpstreamExchange::time_out() {
    fail_attempt(sent_ ? AttemptResult::timed_out : AttemptResult::unreachable, "no answer in time");
}
void UpstreamExchange::cancel() { fail_attempt(AttemptResult::cancelled, "no longer wanted"); }
void UpstreamExchange::on_stream_stalled() {
    fail_attempt(AttemptResult::timed_out, "the stream fell silent");
}

void UpstreamExchange::fail_attempt(AttemptResult result, std::string why) {
    if (over_) return;
    spoilt_ = true;
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.why = std::move(why);
    finish(std::move(outcome));
}

void UpstreamExchange::finish(AttemptOutcome outcome) {
    if (over_) return;
    over_ = true;
    outcome.begun = begun_, outcome.stop = stop_, outcome.sequence = sequence_, outcome.usage = usage_,
    outcome.report = report_;
    // An engine that reports no usage: each piece of text counts as one token.
    if (outcome.result == AttemptResult::served && outcome.usage.output == 0) outcome.usage.output = pieces_;
    body_.clear();
    if (const auto f = on_ended) f(std::move(outcome));
}

}  // namespace gorsenotch::gateway
