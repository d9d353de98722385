// The interface between a connection to a server and the one request that it carries.
#pragma once

#include <string>
#include <string_view>

namespace gorsenotch::proxy {

// One request to a server and the meaning of its answer. ConnectionPool calls it; it holds no socket and no
// clock. Order of calls: may_start, stamp_request, on_first_byte_sent, then on_request_written and any number
// of on_data in either order. on_connect_failed and on_not_sent come in place of all but may_start. Nothing
// follows on_connection_closed, on_connect_failed or on_not_sent, nor ConnectionPool::close(); a call whose
// connection is kept for another request gets none of the three.
class UpstreamCall {
public:
    virtual ~UpstreamCall() = default;
    // Called right before the first byte is written. False: it is not to be sent any more (on_not_sent
    // follows).
    virtual bool may_start() { return true; }
    // Called next, to write into the request what depends on this moment, such as the time that is left.
    virtual void stamp_request(std::string& request) { (void)request; }
    // From here on the first byte may have been handed to the kernel.
    virtual void on_first_byte_sent() = 0;
    // The last byte has been handed to the kernel.
    virtual void on_request_written() {}
    virtual void on_data(std::string_view bytes) = 0;
    // The connection has ended, by the peer's FIN or by an error.
    virtual void on_connection_closed() = 0;
    // No connection could be opened: not one byte was written.
    virtual void on_connect_failed() = 0;
    // The request could not be sent for reasons of this host, or may_start() refused it.
    virtual void on_not_sent() = 0;
    // Its owner has the outcome.
    virtual bool is_over() const = 0;
    // The connection may carry another request: the answer ended cleanly, with no byte after its end.
    virtual bool is_reusable() const = 0;
    // is_over(), but the end of the HTTP message has yet to come on the connection.
    virtual bool is_lingering() const = 0;
};

}  // namespace gorsenotch::proxy
