// What a connection to an engine carries: one request and what its answer means. Upstream calls it; it holds
// no socket and no clock.
#pragma once

#include <string>
#include <string_view>

namespace gorsenotch::proxy {

class Carried {
public:
    virtual ~Carried() = default;
    // Asked right before the first byte goes out; false: it is not to be sent any more (not_sent follows).
    virtual bool may_go() { return true; }
    // Asked next, for what the request says of this moment, such as the time that is left.
    virtual void stamp(std::string& request) { (void)request; }
    virtual void sent() = 0;  // the first byte may have been handed to the kernel
    virtual void handed() {}  // the last one has been
    virtual void data(std::string_view bytes) = 0;
    virtual void ended() = 0;         // the connection is gone (FIN, reset)
    virtual void refused_dial() = 0;  // no connection came about: not one byte was written
    virtual void not_sent() = 0;      // it could not be tried, for reasons of this host
    virtual bool over() const = 0;
    // The connection may carry another request: the answer ended cleanly, to the last byte and no more.
    virtual bool reusable() const = 0;
    // Over for its owner, but the connection still owes the end of the message.
    virtual bool lingering() const = 0;
};

}  // namespace gorsenotch::proxy
