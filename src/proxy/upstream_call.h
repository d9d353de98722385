// What a connection to an engine carries: one request and what its answer means. ConnectionPool calls it; it
// holds no socket and no clock.
#pragma once

#include <string>
#include <string_view>

namespace gorsenotch::proxy {

class UpstreamCall {
public:
    virtual ~UpstreamCall() = default;
    // Asked right before the first byte goes out; false: it is not to be sent any more (on_not_sent follows).
    virtual bool may_start() { return true; }
    // Asked next, for what the request says of this moment, such as the time that is left.
    virtual void stamp_request(std::string& request) { (void)request; }
    virtual void on_first_byte_sent() = 0;  // the first byte may have been handed to the kernel
    virtual void on_request_written() {}    // the last one has been
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_connection_closed() = 0;  // the connection is gone (FIN, reset)
    virtual void on_connect_failed() = 0;     // no connection came about: not one byte was written
    virtual void on_not_sent() = 0;           // it could not be tried, for reasons of this host
    virtual bool is_over() const = 0;
    // The connection may carry another request: the answer ended cleanly, to the last byte and no more.
    virtual bool is_reusable() const = 0;
    // Over for its owner, but the connection still owes the end of the message.
    virtual bool is_lingering() const = 0;
};

}  // namespace gorsenotch::proxy
