// What the platform's pure parts ask of the process around them: the clock, connections to servers, the log.
// Threading: one thread; start() and close() may call back into the attempt from within the call.
#pragma once

#include <memory>
#include <string>

#include "platform/upstream_exchange.h"

namespace gorsenotch::platform {

// On which connection: a kept one, if there is one; or a new one, as kept ones may have fallen silent
// unnoticed.
enum class Connection { any, fresh };

class Environment {
public:
    virtual ~Environment() = default;
    virtual Millis now() = 0;  // monotonic
    // Sends `request` on a connection there; what comes of it is told to `attempt`, perhaps at once.
    virtual void start_exchange(const std::string& address, std::string request,
                                std::shared_ptr<UpstreamExchange> attempt,
                                Connection connection = Connection::any) = 0;
    virtual void pause(const UpstreamExchange& attempt, bool on) = 0;
    virtual void close(const UpstreamExchange& attempt) = 0;
    virtual bool has_idle_connection(const std::string& address) = 0;  // an idle connection is at hand there
    virtual void log(const char* level, const char* event, const std::string& text) = 0;
};

}  // namespace gorsenotch::platform
