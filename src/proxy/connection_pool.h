// A pool of connections to servers: carries requests over TCP and keeps connections for reuse. Which server
// gets a request, and what follows the request's end, is decided by the caller.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/connection_reuse_policy.h"
#include "gorsenotch/settings.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "proxy/detached_calls.h"
#include "proxy/outbound_request.h"
#include "proxy/upstream_call.h"
#include "proxy/upstream_request.h"

namespace gorsenotch::proxy {

// Why a connection to a server ended.
enum class ConnectionEnd {
    connect_failed,    // it was not established
    closed_by_peer,    // the server closed it, or it failed
    unexpected_bytes,  // bytes arrived while it was idle
    not_reusable,      // its response did not end cleanly, or enough idle connections are kept
    cancelled,         // its request was cancelled
    idle,              // unused for Config::idle_timeout
    evicted            // the longest idle connection, closed to make room for another
};
// The names of the ConnectionEnd values, in their order.
constexpr std::array<const char*, 7> kConnectionEndNames = {
    "connect_failed", "closed_by_peer", "unexpected_bytes", "not_reusable", "cancelled", "idle", "evicted"};

// Owns every connection, from connect to close; a call is shared with its owner while its connection carries
// it. A request's bytes are sent on exactly one connection and never sent again. An idle connection is reused
// if its last response ended cleanly and no bytes have arrived on it since.
//
// Times are ms. Threading: the loop's thread. Must be destroyed before the loop.
class ConnectionPool {
public:
    struct Config {
        std::string source;  // local address to connect from; empty: any
        Millis connect_timeout = 250;
        Millis idle_timeout = 15000;
        std::size_t max_idle_per_address = 64;
        // Limit of all connections. At the limit the longest idle one is closed; if none is idle, calls get
        // on_not_sent().
        std::size_t max_connections = SIZE_MAX;
        // Whether a connection is not reused in the loop iteration in which its last response ended, so that
        // bytes sent after the response are detected.
        bool cooldown = false;
        // Whether control::ConnectionReusePolicy may prefer a new connection to an idle one.
        bool learn_reuse = false;
    };
    ConnectionPool(net::EventLoop& loop, Config config);
    ~ConnectionPool();

    // Sends `request` over an idle connection, or over a new one if there is
    // none or if `force_new`. May call `call` before it returns if an idle connection is used.
    void start(const std::string& address, OutboundRequest request, std::shared_ptr<UpstreamCall> call,
               bool force_new = false);
    // Stops or resumes reading the response of `call`. No effect before its connection is established.
    void pause(const UpstreamCall& call, bool paused);
    // Closes the connection of `call` at once, without calling it. No effect if it has none.
    void close(const UpstreamCall& call);
    // Gives up `call`, without calling it, so that its server's end of the connection shows whether the
    // server has noticed: sends a FIN, and closes the connection when the server has ended it too, or after
    // `timeout`. `on_peer_closed` is called in the first case only. A call whose request is not written
    // completely is closed at once.
    void end_sending(const UpstreamCall& call, Millis timeout, std::function<void()> on_peer_closed);
    // Sends a request whose response nobody waits for, on a connection of its own; see DetachedCalls.
    void send_detached(const std::string& address, const proxy::UpstreamRequest& request, Millis timeout);
    // The number of busy and idle connections, without those of send_detached().
    std::size_t connections() const { return connections_.size(); }
    // Bytes of requests, without those of send_detached(), by what they wait for.
    struct PendingBytes {
        std::size_t for_connection = 0;  // the connection is being established
        std::size_t for_socket = 0;      // the kernel has not accepted them yet
    };
    PendingBytes pending_bytes() const;
    // Requests sent on new and on reused connections, how many of each failed before any byte of a response,
    // and connections that ended, indexed by ConnectionEnd.
    struct Counters {
        std::uint64_t new_connections = 0;
        std::uint64_t new_failed = 0;
        std::uint64_t reused = 0;
        std::uint64_t reused_failed = 0;
        std::array<std::uint64_t, kConnectionEndNames.size()> ended_by_cause{};
    };
    const Counters& counters() const { return counters_; }
    // Whether an idle connection to `address` is kept, reusable now or not.
    bool has_idle(const std::string& address) const;
    // The bytes of `request`. `keep_alive`: whether to ask the server to keep the connection open.
    static std::string render(const std::string& address, const proxy::UpstreamRequest& request,
                              bool keep_alive);

private:
    struct Connection;
    using Connections = std::list<std::unique_ptr<Connection>>;
    // Returns a reusable connection to `address`, which is no longer listed as idle; null if there is none.
    Connection* acquire_idle(const std::string& address);
    bool may_reuse(const Connection& connection, Millis idle_for, double draw) const;
    // Whether one more connection may be opened; closes the longest idle one if necessary.
    bool make_room();
    void connect(Connection& connection);
    void on_connect_result(Connection& connection, int error);
    void on_connect_error(Connection& connection, int error);
    void send_request(Connection& connection, OutboundRequest request);
    void on_data(Connection& connection, std::string_view bytes);
    void on_connection_closed(Connection& connection, int error);
    void on_peer_ended(Connection& connection, int error);
    void record_use(const Connection& connection, bool failed);
    void keep_or_close(Connection& connection);  // if its call is over
    void add_idle(Connection& connection);
    void erase_connection(Connection& connection, ConnectionEnd cause);
    void close_expired_idle();

    net::EventLoop& loop_;
    const Config config_;
    Connections connections_;
    Connections closed_connections_;  // freed in a later loop iteration, as their callbacks may be running
    std::unordered_map<const UpstreamCall*, Connection*> by_call_;
    std::map<std::string, std::vector<Connection*>> idle_by_address_;  // the last is the most recently used
    net::Timer idle_timer_;
    net::Timer cleanup_timer_;
    bool idle_timer_set_ = false;
    DetachedCalls detached_calls_;
    control::ConnectionReusePolicy reuse_policy_;
    Counters counters_;
    std::minstd_rand random_;
};

}  // namespace gorsenotch::proxy
