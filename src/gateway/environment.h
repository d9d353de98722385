// The interfaces through which RequestLifecycle reaches its clients, the engines, the clocks and the log.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "api/parse_json.h"
#include "engine/dialect.h"
#include "gateway/upstream_exchange.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::gateway {

// Passed to Client::send_complete() to leave out the retry-after header.
constexpr Millis kNoRetryAfter = -1;

// The receiver of one request's response, owned by the front end. It is not called any more after
// finish_stream(), send_complete() or RequestLifecycle::on_client_disconnected().
class Client {
public:
    virtual ~Client() = default;
    // Sends the head of a response with status 200 and an event stream as its body.
    virtual void begin_stream() = 0;
    // Sends bytes of the event stream; called only after begin_stream().
    virtual void send_body(std::string bytes) = 0;
    // Ends the event stream. No call follows.
    virtual void finish_stream() = 0;
    // Sends a complete response. No call follows. `retry_after`: ms for the retry-after header, 0 for the
    // front end's default, kNoRetryAfter to leave the header out. `should_retry`: value of the x-should-retry
    // header; the header is left out without a value.
    virtual void send_complete(int status, std::string bytes, Millis retry_after,
                               std::optional<bool> should_retry) = 0;
};

// Clocks, connections to engines and the log.
class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;      // ms on a monotonic clock
    virtual Millis wall_ms() = 0;  // ms since 1970
    // Sends an attempt to an engine. The exchange is called after this function has returned, never from
    // within it.
    virtual void start_exchange(const std::string& address, proxy::UpstreamRequest request,
                                std::shared_ptr<UpstreamExchange> exchange) = 0;
    // Stops reading the engine's response if `paused`, else resumes it.
    virtual void pause(const UpstreamExchange& exchange, bool paused) = 0;
    // Closes the connection of an exchange that the gateway itself has ended: the connection cannot be
    // reused.
    virtual void close(const UpstreamExchange& exchange) = 0;
    // Sends a request and ignores its response. Retries to connect until it succeeds or `timeout` ms have
    // passed.
    virtual void send_detached(const std::string& address, proxy::UpstreamRequest request,
                               Millis timeout) = 0;
    virtual void log(const char* level, const char* event, api::Json fields) = 0;
    // Called when this process detects that it has stalled, with the length in ms. The implementation reads
    // now what it may have missed, such as a new endpoint list, before any further decision is made.
    virtual void on_stall(Millis) {}
};

}  // namespace gorsenotch::gateway
