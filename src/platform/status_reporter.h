// The periodic status line of a node: what is open, and counts since the start of the process.
#pragma once

#include <nlohmann/json.hpp>

#include "gorsenotch/settings.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/endpoint_list.h"
#include "platform/request_lifecycle.h"
#include "proxy/connection_pool.h"

namespace gorsenotch::platform {

// Ownership: its timer; the components it reports on belong to the node and have to outlive it, and it
// changes none of them. Times: ms. Errors: none. Threading: the event loop's thread.
class StatusReporter {
public:
    struct Sources {
        EndpointList& endpoints;
        const RequestLifecycle& lifecycle;
        const ClientConnections& client_connections;
        const proxy::ConnectionPool& connection_pool;
    };

    StatusReporter(net::EventLoop& loop, Sources sources);

    // `started_at`: when the process began to start, on the clock of net::now(). The first line follows one
    // interval later.
    void start(Millis started_at);
    // Logs a line now; the next one follows one interval later.
    void report();
    // The fields of the line.
    nlohmann::json fields() const;

private:
    void add_process(nlohmann::json& fields) const;
    void add_open(nlohmann::json& fields) const;
    void add_requests(nlohmann::json& fields) const;
    void add_leases(nlohmann::json& fields) const;
    void add_connections(nlohmann::json& fields) const;

    const Sources sources_;
    net::Timer timer_;
    Millis started_at_ = 0;
};

}  // namespace gorsenotch::platform
