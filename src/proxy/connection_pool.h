// Connections to engines: carries requests over TCP, keeps clean connections for reuse. Decides nothing.
//
// A request's bytes go out on exactly one connection and are never sent again. An idle connection is used
// when its last answer ended cleanly and nothing has come on it since.
#pragma once

#include <array>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "control/connection_reuse_policy.h"
#include "engine/dialect.h"
#include "net/event_loop.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::proxy {

// Why a connection to a server ended.
enum class ConnectionEnd {
    connect_failed,    // it never came up
    closed_by_peer,    // the server closed it, or it broke
    unexpected_bytes,  // something came on an idle one
    not_reusable,      // its answer did not end cleanly, or enough idle ones are kept
    cancelled,         // its request was given up
    idle,              // without use for long
    evicted
};
constexpr std::array<const char*, 7> kConnectionEndNames = {
    "connect_failed", "closed_by_peer", "unexpected_bytes", "not_reusable", "cancelled", "idle", "evicted"};

class ConnectionPool {
public:
    struct Config {
        std::string source;  // local address to connect from; empty: any
        Millis connect_timeout = 250, idle_timeout = 15000;
        std::size_t max_idle_per_address = 64;  // for each address
        std::size_t max_connections =
            SIZE_MAX;  // connections in sum; the longest idle makes room, else: on_not_sent
        // Not used again in the turn in which its last answer ended: what an engine sends behind it is seen.
        bool cooldown = false;
        bool learn_reuse =
            false;  // whether kept connections are worth using: see control/connection_reuse_policy
    };
    ConnectionPool(net::EventLoop& loop, Config config);
    ~ConnectionPool();

    // `request`: its bytes, head and body. Calls into `carried` may come from within start().
    // `fresh`: on a new connection, whether or not one is kept.
    void start(const std::string& address, std::string request, std::shared_ptr<UpstreamCall> carried,
               bool fresh = false);
    void pause(const UpstreamCall& carried, bool on);
    void close(const UpstreamCall& carried);
    void send_detached(const std::string& address, engine::UpstreamRequest wanted, Millis limit);
    std::size_t connections() const { return connections_.size(); }
    // Requests on new and on kept connections, and how many of each broke before any byte of an answer.
    struct Counters {
        std::uint64_t new_connections = 0, new_broken = 0, reused = 0, reused_broken = 0;
        std::array<std::uint64_t, kConnectionEndNames.size()> ended_by_cause{};
    };
    const Counters& counters() const { return counters_; }
    bool has_idle(const std::string& address) const;  // a connection there waits for a request
    static std::string render(const std::string& address, const engine::UpstreamRequest& request, bool keep);

private:
    struct Connection;
    using Connections = std::list<std::unique_ptr<Connection>>;
    struct DetachedCall;
    void attach(Connection& link, std::string request);
    Connection* find_idle(const std::string& address);
    bool make_room();
    void connect(Connection& link);
    void on_connected(Connection& link, int error);
    void on_data(Connection& link, std::string_view bytes);
    void on_connection_closed(Connection& link);
    void record_use(const Connection& link, bool broke);
    void keep_or_close(Connection& link);  // after its request is over: keep or close
    void keep_idle(Connection& link);
    void erase_connection(Connection& link, ConnectionEnd why);
    void close_idle();
    void cleanup();  // frees what was closed, in a turn of its own
    void try_detached(DetachedCall& aside);
    void end_detached(DetachedCall& aside);

    net::EventLoop& loop_;
    const Config config_;
    Connections connections_;
    Connections closed_connections_;  // closed in a callback of their own; freed by the next turn
    std::unordered_map<const UpstreamCall*, Connection*> by_call_;
    std::map<std::string, std::vector<Connection*>> idle_by_address_;
    std::list<std::unique_ptr<DetachedCall>> detached_calls_, ended_detached_calls_;
    net::Timer idle_timer_, cleanup_timer_;
    bool idle_timer_set_ = false;
    control::ConnectionReusePolicy reuse_policy_;
    Counters counters_;
    std::minstd_rand random_;
};

}  // namespace gorsenotch::proxy
