// The interface to the process around: the clock, connections to endpoints, the log.
#pragma once

#include <memory>
#include <string>

#include "gorsenotch/settings.h"
#include "platform/upstream_exchange.h"

namespace gorsenotch::platform {

// On which connection an exchange goes: an idle one, if there is one; or a new one, as idle ones may have
// fallen silent unnoticed.
enum class Connection { any, fresh };

// Implemented by Node, and by tests. Times: ms on a monotonic clock. Threading: one thread; start_exchange()
// and close() may call back into the exchange from within the call. Errors: those of a connection go to the
// exchange.
class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;  // monotonic
    // Sends `request` on a connection to `address`; what comes of it goes to `exchange`, which is kept until
    // it is over.
    virtual void start_exchange(const std::string& address, std::string request,
                                std::shared_ptr<UpstreamExchange> exchange,
                                Connection connection = Connection::any) = 0;
    // Stops or resumes reading the response.
    virtual void pause(const UpstreamExchange& exchange, bool on) = 0;
    // Closes the connection of the exchange, which hears no more of it.
    virtual void close(const UpstreamExchange& exchange) = 0;
    virtual bool has_idle_connection(const std::string& address) = 0;
    // `level`: debug, info, warn or error.
    virtual void log(const char* level, const char* event, const std::string& text) = 0;
};

}  // namespace gorsenotch::platform
