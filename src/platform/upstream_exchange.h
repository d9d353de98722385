// One request to a model server, from its connection to its end: what the bytes mean, by the protocol's
// table. No I/O, no clock.
//
// Tells its owner in order: on_written and on_first_byte at most once, on_first at most once, on_more_events
// after that, on_ended exactly once and last. Events of a stream are passed on as they came; the first waits
// until it is whole, as an answer spoilt before it is a failed attempt and no begun stream. After on_ended
// every call changes nothing.
#pragma once

#include <functional>
#include <string>

#include "gorsenotch/logic.h"
#include "http/parser.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::platform {

// AttemptOutcome::detail of a rejected decode attempt whose endpoint has no state for it to read.
constexpr double kNoStateToFetch = 1;

struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    int status = 0;      // of the answer; 0: none came
    double detail = 0;   // as Outcome::note
    bool begun = false;  // the stream had begun
};

class UpstreamExchange : public proxy::UpstreamCall {
public:
    enum class Kind {
        prefill,
        decode,
        lease_call
    };  // call: to hold a place or let go; every answer is its end

    std::function<bool()> may_start_hook;        // whether it may still be sent; asked before its first byte
    std::function<void(std::string&)> on_stamp;  // the request, right before its first byte goes out
    std::function<void()> on_sent;               // its first byte goes out
    std::function<void()> on_written;
    std::function<void()> on_first_byte;  // the first byte of an answer: it has arrived at a server that runs
    std::function<void(std::string_view)> on_first_event, on_more_events;
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
    bool request_written() const { return written_; }  // its last byte is in the kernel's hands
    bool is_reusable() const override { return over_ && clean_ && !spoilt_; }
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
    std::string body_;  // of a whole answer, or the beginning of the first event
    int status_ = 0, interim_responses_ = 0;
    bool written_ = false, answer_begun_ = false, begun_ = false, over_ = false;
    bool stream_ = false, clean_ = false, spoilt_ = false, rejected_ = false;
};

}  // namespace gorsenotch::platform
