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
enum class LinkEnd {
    dial_failed,    // it never came up
    peer,           // the server closed it, or it broke
    unasked_bytes,  // something came on an idle one
    not_reusable,   // its answer did not end cleanly, or enough idle ones are kept
    called_off,     // its request was given up
    idle,           // without use for long
    made_room
};
constexpr std::array<const char*, 7> kLinkEnds = {"dial_failed", "peer", "unasked_bytes", "not_reusable",
                                                  "called_off",  "idle", "made_room"};

class Upstream {
public:
    struct Config {
        std::string source;  // local address to connect from; empty: any
        Millis dial_timeout = 250, idle = 15000;
        std::size_t max_idle = 64;    // for each address
        std::size_t most = SIZE_MAX;  // connections in sum; the longest idle makes room, else: not_sent
        // Not used again in the turn in which its last answer ended: what an engine sends behind it is seen.
        bool rested = false;
        bool learn = false;  // whether kept connections are worth using: see control/connection_reuse_policy
    };
    Upstream(net::Loop& loop, Config config);
    ~Upstream();

    // `request`: its bytes, head and body. Calls into `carried` may come from within start().
    // `fresh`: on a new connection, whether or not one is kept.
    void start(const std::string& address, std::string request, std::shared_ptr<Carried> carried,
               bool fresh = false);
    void pause(const Carried& carried, bool on);
    void close(const Carried& carried);
    void send_aside(const std::string& address, engine::Wanted wanted, Millis limit);
    std::size_t connections() const { return all_.size(); }
    // Requests on new and on kept connections, and how many of each broke before any byte of an answer.
    struct Tally {
        std::uint64_t fresh = 0, fresh_broke = 0, kept = 0, kept_broke = 0;
        std::array<std::uint64_t, kLinkEnds.size()> ended{};
    };
    const Tally& tally() const { return tally_; }
    bool idle_at(const std::string& address) const;  // a connection there waits for a request
    static std::string render(const std::string& address, const engine::Wanted& w, bool keep);

private:
    struct Link;
    using Links = std::list<std::unique_ptr<Link>>;
    struct Aside;
    void attach(Link& link, std::string request);
    Link* spare(const std::string& address);
    bool make_room();
    void dial(Link& link);
    void connected(Link& link, int error);
    void data(Link& link, std::string_view bytes);
    void ended(Link& link);
    void told(const Link& link, bool broke);
    void settle(Link& link);  // after its request is over: keep or close
    void keep(Link& link);
    void erase(Link& link, LinkEnd why);
    void sweep();
    void cleanup();  // frees what was closed, in a turn of its own
    void try_aside(Aside& aside);
    void end_aside(Aside& aside);

    net::Loop& loop_;
    const Config config_;
    Links all_;
    Links dead_;  // closed in a callback of their own; freed by the next turn
    std::unordered_map<const Carried*, Link*> by_carried_;
    std::map<std::string, std::vector<Link*>> idle_;
    std::list<std::unique_ptr<Aside>> asides_, dead_asides_;
    net::Timer sweeper_, cleanup_;
    bool sweeping_ = false;
    control::ConnectionReusePolicy reuse_;
    Tally tally_;
    std::minstd_rand random_;
};

}  // namespace gorsenotch::proxy
