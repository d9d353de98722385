// One request to an endpoint and its response, interpreted by the rules of the platform's protocol. No I/O,
// no clock.
//
// Order of calls to the owner: on_sent, on_written and on_first_byte at most once, on_first_event at most
// once, on_more_events after that, on_ended exactly once and last. Events are passed on unchanged as they
// arrive. Only the first event is buffered until it is complete: a response that breaks before is a failed
// attempt, not a stream that has begun. A stream is served once its events (StreamMonitor) and its message
// are complete; one whose message ends before is broken. A response longer than the platform's limit on
// bodies is malformed: an answer that never ends is cut off there. So is one whose head and first event do
// not fit into the memory budget. After on_ended calls have no effect.
#pragma once

#include <functional>
#include <string>

#include "control/memory_budget.h"
#include "gorsenotch/events.h"
#include "http/parser.h"
#include "platform/stream_monitor.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::platform {

// AttemptOutcome::detail of a rejected decode attempt for which the endpoint has no KV cache to fetch.
constexpr double kNoKvCacheToFetch = 1;

// How an exchange ended.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    int status = 0;     // of the response; 0: none received
    double detail = 0;  // as AttemptEnded::detail
    bool stream_begun = false;
    StreamEnd stream_end = StreamEnd::complete;  // of a stream that had begun
    std::uint64_t events = 0;                    // complete events of its stream
    std::uint64_t bytes = 0;                     // of its stream's body
    bool too_long = false;                       // the response exceeded the platform's limit on bodies
};

// Ownership: shared between the caller that started it and the connection that carries it. Errors: a
// malformed response ends it as `error`, or as `reset` once its stream has begun. Threading: one thread;
// hooks may end it from within their call.
class UpstreamExchange : public proxy::UpstreamCall {
public:
    enum class Kind {
        prefill,
        decode,
        lease_call  // reserves a slot or releases a lease; ends with any complete response
    };

    std::function<bool()> may_start_hook;  // whether it may still be sent; called before its first byte
    std::function<void(std::string&)>
        stamp_hook;                       // may change the request's head right before its first byte
    std::function<void()> on_sent;        // its first byte is about to be written
    std::function<void()> on_written;     // its last byte was passed to the kernel
    std::function<void()> on_first_byte;  // of the response: the endpoint is running and was reached
    std::function<void(std::string_view)> on_first_event;
    std::function<void(std::string_view)> on_more_events;
    std::function<void(const AttemptOutcome&)> on_ended;

    // `memory` is charged for the part of the response that is buffered.
    explicit UpstreamExchange(Kind kind, control::MemoryCharge memory = {});

    // ---- UpstreamCall ----
    bool may_start() override { return !over_ && (!may_start_hook || may_start_hook()); }
    void stamp_request(std::string& head) override {
        if (stamp_hook) stamp_hook(head);
    }
    void on_first_byte_sent() override {
        if (on_sent) on_sent();
    }
    void on_request_written() override;
    void on_data(std::string_view bytes) override;
    void on_connection_closed() override;
    void on_connect_failed() override;
    void on_not_sent() override;
    bool has_outcome() const override { return over_; }
    bool is_reusable() const override { return over_ && response_complete_ && !connection_unusable_; }
    bool awaits_message_end() const override { return false; }

    // ---- for the owner ----
    // The last byte of the request was passed to the kernel.
    bool request_written() const { return request_written_; }
    // Ends the exchange from this side, because of a timeout or a cancellation. The caller has to close its
    // connection. `reason` is unused; the parameter remains for callers outside this package.
    void abort(AttemptResult result, std::string_view reason = {});

private:
    bool reserve_buffer(std::size_t bytes);
    void on_head();
    void on_body(std::string_view bytes);
    void on_complete();
    void on_malformed_response();
    void finish(AttemptResult result, double detail = 0);

    const Kind kind_;
    control::MemoryCharge memory_;
    http::Parser parser_;
    StreamMonitor stream_;
    StreamEnd stream_end_ = StreamEnd::complete;
    std::string body_;  // of a response that is not a stream, or the start of an incomplete first event
    int status_ = 0;
    int interim_responses_ = 0;
    bool request_written_ = false;
    bool response_begun_ = false;     // its first byte was received
    bool response_complete_ = false;  // its last byte was received
    bool is_stream_ = false;
    bool stream_begun_ = false;  // its first event was passed on
    bool rejected_ = false;      // the endpoint states that it has not accepted the request
    bool over_ = false;          // on_ended was called
    bool connection_unusable_ = false;
};

}  // namespace gorsenotch::platform
