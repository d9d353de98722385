// The interface of RequestLifecycle to its process: the clock, connections to endpoints, the log.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gorsenotch/settings.h"
#include "platform/upstream_exchange.h"
#include "proxy/outbound_request.h"

namespace gorsenotch::platform {

// Which connection an exchange uses. `any`: an idle one if there is one; `fresh`: always a new one, because
// idle connections may have died unnoticed.
enum class Connection { any, fresh };

// Implemented by Node and by test fakes. Times: ms on a monotonic clock. Threading: one thread;
// start_exchange() and close() may call back into the exchange from within the call. Errors: connection
// errors are reported to the exchange.
class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;  // monotonic
    // Sends `request` on a connection to `address` and passes the response to `exchange`, which is kept until
    // it has ended.
    virtual void start_exchange(const std::string& address, proxy::OutboundRequest request,
                                std::shared_ptr<UpstreamExchange> exchange,
                                Connection connection = Connection::any) = 0;
    // Stops or resumes reading the response.
    virtual void pause(const UpstreamExchange& exchange, bool paused) = 0;
    // Closes the connection of the exchange without a further call to the exchange.
    virtual void close(const UpstreamExchange& exchange) = 0;
    // Gives up the exchange without a further call to it, and ends the sending direction of its connection,
    // from which the endpoint sees that it is over. The connection is closed once the endpoint has ended it
    // too, or after `timeout`; `on_peer_closed` is called in the first case only.
    virtual void end_sending(const UpstreamExchange& exchange, Millis timeout,
                             std::function<void()> on_peer_closed) = 0;
    // Whether an idle connection to `address` is available.
    virtual bool has_idle_connection(const std::string& address) = 0;
    // `level`: debug, info, warn or error.
    virtual void log(const char* level, const char* event, const std::string& text) = 0;
};

}  // namespace gorsenotch::platform
