// The clients' side: accepts connections, reads HTTP requests, hands them to the Core and writes its answers.
#pragma once

#include <list>
#include <memory>
#include <vector>

#include "gateway/request_intake.h"
#include "net/event_loop.h"

namespace gorsenotch::gateway {

class HttpServer {
public:
    HttpServer(net::EventLoop& loop, const settings::Program& program, RequestLifecycle& core,
               Environment& ports, std::uint64_t instance);
    ~HttpServer();

    int listen();  // on the settings' address; 0 or a libuv error
    int port() const;
    // Takes no more: closes the listener and idle connections; requests that still come are refused.
    void drain();
    std::size_t connections() const { return all_.size(); }
    // The most bytes that ever waited here for one client, beyond the kernel's own buffers.
    std::size_t most_waiting() const { return most_waiting_; }

private:
    friend class Connection;
    class Connection;
    using Connections = std::list<std::unique_ptr<Connection>>;
    void accept(std::unique_ptr<net::TcpStream> stream);
    void accept_failed(int error);
    void remove(Connection& connection);
    std::string next_id();
    void flush();

    net::EventLoop& loop_;
    const settings::Program& p_;
    RequestLifecycle& lifecycle_;
    Environment& environment_;
    const std::uint64_t instance_;  // makes ids unique over all gateways and starts
    std::uint64_t count_ = 0;
    std::size_t most_ = 0;  // connections served at once; more are answered 529
    std::size_t most_waiting_ = 0;
    std::size_t turned_away_ = 0;  // of all_, those beyond it
    bool draining_ = false;
    std::uint64_t accept_failures_ = 0;  // since the start
    Millis accept_told_ = -1e18;         // when the log last told of them
    std::unique_ptr<net::TcpListener> listener_;
    Connections all_, dead_;
    std::vector<Connection*> unsent_;  // have written in this turn
    net::DeferredCall turn_;
    net::Timer burier_;
};

}  // namespace gorsenotch::gateway
