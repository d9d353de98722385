// The periodic status line of a gateway node: gauges, and counters since the start of the process.
#pragma once

#include <nlohmann/json.hpp>

#include "control/memory_budget.h"
#include "gorsenotch/settings.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/endpoint_list.h"
#include "platform/request_lifecycle.h"
#include "proxy/connection_pool.h"

namespace gorsenotch::platform {

// Ownership: its timer. The components that it reports on belong to the node, have to outlive it, and are not
// changed. Times: ms. Errors: none. Threading: the event loop's thread.
class StatusReporter {
public:
    struct Sources {
        EndpointList& endpoints;
        const RequestLifecycle& lifecycle;
        const ClientConnections& client_connections;
        const proxy::ConnectionPool& connection_pool;
        const control::MemoryBudget& memory;
    };

    StatusReporter(net::EventLoop& loop, Sources sources);

    // Starts the periodic reports; the first follows one interval later. `started_at`: the start of the
    // process, on the clock of net::now().
    void start(Millis started_at);
    // Logs a status line now and restarts the interval.
    void report();
    // The fields of a status line.
    nlohmann::json fields() const;

private:
    void add_process(nlohmann::json& fields) const;
    void add_memory(nlohmann::json& fields) const;
    void add_open(nlohmann::json& fields) const;
    void add_requests(nlohmann::json& fields) const;
    void add_leases(nlohmann::json& fields) const;
    void add_connections(nlohmann::json& fields) const;

    const Sources sources_;
    net::Timer timer_;
    Millis started_at_ = 0;
};

}  // namespace gorsenotch::platform
