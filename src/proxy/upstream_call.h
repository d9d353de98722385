// The interface between a connection to a server and the request that it carries.
#pragma once

#include <string>
#include <string_view>

namespace gorsenotch::proxy {

// One request to a server and the interpretation of its response. Called by ConnectionPool; holds no socket
// and no clock. Order of calls: may_start, stamp_request, on_first_byte_sent, then on_request_written and any
// number of on_data in either order. on_connect_failed and on_not_sent replace all of these but may_start. No
// call follows on_connection_closed, on_connect_failed, on_not_sent or ConnectionPool::close(); a call whose
// connection is kept for another request gets none of these three.
class UpstreamCall {
public:
    virtual ~UpstreamCall() = default;
    // Called right before the first byte is written. False: the request must no longer be sent (on_not_sent
    // follows).
    virtual bool may_start() { return true; }
    // Called next, to set the parts of the request's head that depend on the current time, such as the
    // remaining time.
    virtual void stamp_request(std::string& head) { (void)head; }
    // From this call on, the first byte may have been handed to the kernel.
    virtual void on_first_byte_sent() = 0;
    // The last byte has been handed to the kernel.
    virtual void on_request_written() {}
    // Bytes of the response have arrived.
    virtual void on_data(std::string_view bytes) = 0;
    // The connection has ended, by the peer's FIN or by an error.
    virtual void on_connection_closed() = 0;
    // No connection could be opened; no byte was written.
    virtual void on_connect_failed() = 0;
    // The request could not be sent for a reason local to this host, or may_start() returned false.
    virtual void on_not_sent() = 0;
    // Whether the outcome has been reported to the call's owner.
    virtual bool has_outcome() const = 0;
    // Whether the connection may carry another request: the response ended cleanly, with no byte after its
    // end.
    virtual bool is_reusable() const = 0;
    // Whether it has an outcome, but the end of the HTTP message has not arrived on the connection yet.
    virtual bool awaits_message_end() const = 0;
};

}  // namespace gorsenotch::proxy
