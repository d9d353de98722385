// The interface through which a request's answer is sent to its client.
#pragma once

#include <cstdint>
#include <string_view>

#include "gorsenotch/settings.h"

namespace gorsenotch::platform {

// Receives one answer: either begin_stream, any number of send_events and then finish_stream or abort_stream;
// or only send_final. No call follows finish_stream, abort_stream or send_final.
//
// Ownership: the caller of RequestLifecycle::on_request owns it and keeps it until the answer has ended or
// on_client_disconnected was called. Threading: one thread; it may call back into RequestLifecycle.
class Client {
public:
    virtual ~Client() = default;
    // Status 200 and the first event.
    virtual void begin_stream(std::string_view events) = 0;
    virtual void send_events(std::string_view events) = 0;
    // The stream is complete.
    virtual void finish_stream() = 0;
    // The stream is broken: the connection ends without the last chunk.
    virtual void abort_stream() = 0;
    // An answer without a stream. `retry_after`: ms; 0: none is sent.
    virtual void send_final(int status, Millis retry_after, std::string_view text) = 0;
    // So much of the answer is waiting to be sent that its endpoint must not be read. Whenever that may have
    // changed, RequestLifecycle::on_client_output_sent is called or the connection ends.
    virtual bool is_congested() const { return false; }
    // Bytes sent on its connection that the client's host has acknowledged.
    virtual std::uint64_t acknowledged_bytes() const { return 0; }
    // The client has closed its connection, even if its FIN has not been read yet.
    virtual bool has_disconnected() { return false; }
};

}  // namespace gorsenotch::platform
