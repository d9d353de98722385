// A gateway in this process, from its start to the end of its drain.
#pragma once

#include <string>

#include "gateway/gateway.h"
#include "settings/settings.h"

namespace gorsenotch::cli {

// `http://HOST:PORT`, with the host of `listen` (HOST:PORT) and the port that was given.
std::string base_url(const std::string& listen, int port);

// The log's thread, for as long as it lives. To be declared before the event loop: what ends with the loop
// still logs.
class LogThread {
public:
    explicit LogThread(const std::string& level);
    ~LogThread();
    LogThread(const LogThread&) = delete;
    LogThread& operator=(const LogThread&) = delete;
};

// Ends the loop once the gateway has drained. The loop must outlive it.
class GatewayProcess {
public:
    GatewayProcess(net::EventLoop& loop, settings::Program program, const gateway::ServeOptions& options);
    // Prints `ready http://ADDRESS` once it listens. False, with a line on standard error, if it can't.
    bool start();
    // Drains; a second call ends at once.
    void stop();

private:
    net::EventLoop& loop_;
    const std::string listen_;
    gateway::Gateway gateway_;
    bool is_draining_ = false;
};

}  // namespace gorsenotch::cli
