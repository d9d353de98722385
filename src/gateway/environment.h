// What a RequestLifecycle acts on: its clients, and the world outside this process.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "api/chat.h"
#include "engine/dialect.h"
#include "gateway/upstream_exchange.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::gateway {

// Client::send_complete() without the header retry-after.
constexpr Millis kNoRetryAfter = -1;

// Where a request's answer goes; owned by the front end. Called until finish_stream() or send_complete(), or
// until RequestLifecycle::on_client_disconnected().
class Client {
public:
    virtual ~Client() = default;
    // Status 200, an event stream.
    virtual void begin_stream() = 0;
    // Bytes of the stream, after begin_stream().
    virtual void send_body(std::string bytes) = 0;
    // The stream has ended; last call.
    virtual void finish_stream() = 0;
    // A complete answer; last call. `pause`: ms for the header retry-after, kNoRetryAfter for none. `retry`:
    // the header x-should-retry.
    virtual void send_complete(int status, std::string bytes, Millis pause, std::optional<bool> retry) = 0;
};

// Clocks, connections and the log.
class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;      // ms on a monotonic clock
    virtual Millis wall_ms() = 0;  // ms since 1970
    // Carries an attempt to an engine. Calls into the exchange come later, never from within
    // start_exchange().
    virtual void start_exchange(const std::string& address, proxy::UpstreamRequest wanted,
                                std::shared_ptr<UpstreamExchange> exchange) = 0;
    // Stops or resumes reading from the engine.
    virtual void pause(const UpstreamExchange& exchange, bool on) = 0;
    // The exchange was ended from this side: its connection cannot be kept.
    virtual void close(const UpstreamExchange& exchange) = 0;
    // Sends a request whose answer nobody waits for; connecting is tried again until it succeeds or `limit`
    // ms have passed.
    virtual void send_detached(const std::string& address, proxy::UpstreamRequest wanted, Millis limit) = 0;
    virtual void log(const char* level, const char* event, api::Json fields) = 0;
    // This process has just found that it stalled for so many ms. What it may have missed, such as a new list
    // of engines, is to be read now, before anything is decided.
    virtual void on_stall(Millis) {}
};

}  // namespace gorsenotch::gateway
