// Runs a gateway in this process, from its start to the end of its drain.
#pragma once

#include <string>

#include "gateway/gateway.h"
#include "settings/settings.h"

namespace gorsenotch::cli {

// Returns `http://HOST:PORT` with the host of `listen` (HOST:PORT) and the given port, which may differ from
// the one in `listen` if that is 0.
std::string base_url(const std::string& listen, int port);

// Runs the log's thread for the life of this object. Must be declared before the event loop, because objects
// destroyed together with the loop still write to the log.
class LogThread {
public:
    explicit LogThread(const std::string& level);
    ~LogThread();
    LogThread(const LogThread&) = delete;
    LogThread& operator=(const LogThread&) = delete;
};

// Runs a gateway and stops the loop once it has drained. The loop must outlive this object.
class GatewayProcess {
public:
    GatewayProcess(net::EventLoop& loop, settings::ProgramSettings program,
                   const gateway::ServeOptions& options);
    // Prints `ready http://ADDRESS` once the gateway listens. Returns false and reports the error on standard
    // error if it cannot listen.
    bool start();
    // Starts the drain; a second call stops the loop immediately.
    void stop();

private:
    net::EventLoop& loop_;
    const std::string listen_;
    gateway::Gateway gateway_;
    bool is_draining_ = false;
};

}  // namespace gorsenotch::cli
