// The client's side of one request: where its answer goes.
#pragma once

#include <string_view>

#include "gorsenotch/settings.h"

namespace gorsenotch::platform {

// Receives one answer: either begin_stream, any number of send_events and then finish_stream or abort_stream;
// or send_final alone. Nothing follows finish_stream, abort_stream and send_final.
//
// Ownership: the caller of RequestLifecycle::on_request owns it and keeps it until the answer has ended or it
// has called on_client_disconnected. Threading: one thread; it may call back into RequestLifecycle.
class Client {
public:
    virtual ~Client() = default;
    // Status 200 and the first event.
    virtual void begin_stream(std::string_view events) = 0;
    virtual void send_events(std::string_view events) = 0;
    // The stream is complete.
    virtual void finish_stream() = 0;
    // The stream broke: the connection ends without the last chunk.
    virtual void abort_stream() = 0;
    // An answer without a stream. `retry_after`: ms, 0 for no advice.
    virtual void send_final(int status, Millis retry_after, std::string_view why) = 0;
    // The client has closed its connection, even if that close has not been read yet.
    virtual bool has_disconnected() { return false; }
};

}  // namespace gorsenotch::platform
