// Connections to engines: carries Exchanges over TCP, keeps clean connections for reuse. Decides nothing.
//
// A request's bytes go out on exactly one connection and are never sent again. An idle connection is used
// when its last answer ended cleanly and nothing has come on it since.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <unordered_map>

#include "gateway/exchange.h"
#include "net/loop.h"

namespace gorsenotch::gateway {

class Upstream {
public:
    struct Config {
        std::string source;  // local address to connect from; empty: any
        Millis dial_timeout = 250, idle = 15000;
        std::size_t max_idle = 64;  // for each address
    };
    Upstream(net::Loop& loop, Config config);
    ~Upstream();

    void start(const std::string& address, engine::Wanted wanted, std::shared_ptr<Exchange> exchange);
    void pause(const Exchange& exchange, bool on);
    void close(const Exchange& exchange);
    void send_aside(const std::string& address, engine::Wanted wanted, Millis limit);
    std::size_t connections() const { return all_.size(); }

private:
    struct Link;
    using Links = std::list<std::unique_ptr<Link>>;
    struct Aside;
    void attach(Link& link, const std::string& request);
    void connected(Link& link, int error);
    void data(Link& link, std::string_view bytes);
    void ended(Link& link);
    void settle(Link& link);  // after its exchange is over: keep or close
    void erase(Link& link);
    void sweep();
    void bury();  // frees what was closed, in a turn of its own
    void try_aside(Aside& aside);
    void end_aside(Aside& aside);

    net::Loop& loop_;
    const Config config_;
    Links all_;
    Links dead_;  // closed in a callback of their own; freed by the next turn
    std::unordered_map<const Exchange*, Link*> by_exchange_;
    std::map<std::string, std::vector<Link*>> idle_;
    std::list<std::unique_ptr<Aside>> asides_, dead_asides_;
    net::Timer sweeper_, burier_;
    bool sweeping_ = false;
};

}  // namespace gorsenotch::gateway
