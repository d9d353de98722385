// One request to an endpoint, from its connection to its end: what the response's bytes mean, by the
// protocol's table. No I/O, no clock.
//
// Calls its owner in order: on_sent, on_written and on_first_byte at most once, on_first_event at most once,
// on_more_events after that, on_ended exactly once and last. Events of a stream are passed on as they came;
// the first waits until it is complete, as a response that breaks before it is a failed attempt and no begun
// stream. After on_ended every call changes nothing.
#pragma once

#include <functional>
#include <string>

#include "gorsenotch/events.h"
#include "http/parser.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::platform {

// AttemptOutcome::detail of a rejected decode attempt whose endpoint has no state for it to read.
constexpr double kNoStateToFetch = 1;

// How an exchange ended.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    int status = 0;      // of the response; 0: none came
    double detail = 0;   // as AttemptEnded::detail
    bool begun = false;  // the stream had begun
};

// Ownership: shared between whoever started it and the connection that carries it. Errors: a response that
// cannot be read ends it as `error`, or as `reset` once its stream has begun. Threading: one thread; hooks
// may end it from within their call.
class UpstreamExchange : public proxy::UpstreamCall {
public:
    enum class Kind {
        prefill,
        decode,
        lease_call  // reserves a slot or releases a lease; every response is its end
    };

    std::function<bool()> may_start_hook;        // whether it may still be sent; asked before its first byte
    std::function<void(std::string&)> on_stamp;  // gets the request right before its first byte goes out
    std::function<void()> on_sent;               // its first byte goes out
    std::function<void()> on_written;            // its last byte is in the kernel's hands
    std::function<void()> on_first_byte;         // of a response: it has reached an endpoint that runs
    std::function<void(std::string_view)> on_first_event;
    std::function<void(std::string_view)> on_more_events;
    std::function<void(const AttemptOutcome&)> on_ended;

    explicit UpstreamExchange(Kind kind);

    bool may_start() override { return !over_ && (!may_start_hook || may_start_hook()); }
    void stamp_request(std::string& request) override {
        if (on_stamp) on_stamp(request);
    }
    void on_first_byte_sent() override {
        if (on_sent) on_sent();
    }
    void on_request_written() override;
    void on_data(std::string_view bytes) override;
    void on_connection_closed() override;
    void on_connect_failed() override;
    void on_not_sent() override;
    bool is_over() const override { return over_; }
    bool request_written() const { return request_written_; }  // its last byte is in the kernel's hands
    bool is_reusable() const override { return over_ && response_complete_ && !connection_spoilt_; }
    bool is_lingering() const override { return false; }

    // Ends it from this side: its time is up, or nobody wants it any more. Its connection is to be closed.
    // The reason is not used; the parameter stays for callers outside this package.
    void abort(AttemptResult result, std::string_view reason = {});

private:
    void on_head();
    void on_body(std::string_view bytes);
    void on_complete();
    void on_malformed_response();
    void finish(AttemptResult result, double detail = 0);

    const Kind kind_;
    http::Parser parser_;
    std::string body_;  // of a response that is no stream, or the beginning of the first event
    int status_ = 0;
    int interim_responses_ = 0;
    bool request_written_ = false;
    bool response_begun_ = false;     // its first byte has come
    bool response_complete_ = false;  // its last byte has come
    bool is_stream_ = false;
    bool stream_begun_ = false;  // its first event was passed on
    bool rejected_ = false;      // the endpoint says that it has not taken the request
    bool over_ = false;          // on_ended was called
    bool connection_spoilt_ = false;
};

}  // namespace gorsenotch::platform
