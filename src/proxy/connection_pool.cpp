#include "proxy/connection_pool.h"

#include <algorithm>

#include "net/socket_error.h"

namespace gorsenotch::proxy {
namespace {
// Until a connection is tried again that failed for want of this host's resources.
constexpr Millis kDialPause = 10;
}  // namespace

struct ConnectionPool::Connection {
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> dial;
    std::string address, request;
    std::shared_ptr<UpstreamCall> carried;
    Connections::iterator self;
    Millis dial_until = 0;  // by then its connection is up, or the attempt is given up
    Millis idle_since = 0;
    Millis idle_for = -1;  // before the request it carries; below 0: it is new
    bool heard = false;    // a byte of the answer has come
    bool connected = false, idle = false, gone = false, paused = false;
};

// A call that nobody waits for, on a connection of its own.
struct ConnectionPool::DetachedCall {
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> timer;
    std::string address, request;
    Millis until = 0;
    bool sent = false;
    std::list<std::unique_ptr<DetachedCall>>::iterator self;
};

ConnectionPool::ConnectionPool(net::EventLoop& loop, Config config)
    : loop_(loop),
      config_(std::move(config)),
      idle_timer_(loop, [this] { close_idle(); }),
      cleanup_timer_(loop, [this] { cleanup(); }) {}
ConnectionPool::~ConnectionPool() = default;

std::string ConnectionPool::render(const std::string& address, const engine::UpstreamRequest& request,
                                   bool keep) {
    http::Headers headers = {{"host", address},
                             {"connection", keep ? "keep-alive" : "close"},
                             {"content-length", std::to_string(request.body.size())}};
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    return http::request_head(request.method, request.target, headers) + request.body;
}

// Guards against an answer behind an answer taken for the next one: a connection is not used in the turn in
// which its last answer ended. May open one connection more where requests follow at once.
ConnectionPool::Connection* ConnectionPool::find_idle(const std::string& address) {
    const auto it = idle_by_address_.find(address);
    if (it == idle_by_address_.end()) return nullptr;
    const double draw = std::uniform_real_distribution<double>()(random_);  // one for all that are at hand
    for (std::size_t i = it->second.size(); i-- > 0;) {
        Connection* link = it->second[i];
        if (config_.cooldown && link->idle_since > loop_.last_poll()) continue;
        const Millis idle = net::now() - link->idle_since;
        if (config_.learn_reuse && !reuse_policy_.should_reuse(idle, draw)) continue;
        // Guards against a request written to a connection that the server has closed, or has sent something
        // on, which has not been read yet. Costs one system call a request.
        if (link->stream->has_unread_input()) continue;
        link->idle_for = idle, link->heard = false;
        it->second.erase(it->second.begin() + static_cast<std::ptrdiff_t>(i));
        return link;
    }
    return nullptr;
}

bool ConnectionPool::has_idle(const std::string& address) const {
    const auto it = idle_by_address_.find(address);
    return it != idle_by_address_.end() && !it->second.empty();
}

bool ConnectionPool::make_room() {
    if (connections_.size() < config_.max_connections) return true;
    Connection* oldest = nullptr;
    for (const auto& [address, links] : idle_by_address_) {
        for (Connection* connection : links) {
            if (!oldest || connection->idle_since < oldest->idle_since) oldest = connection;
        }
    }
    if (!oldest) return false;
    erase_connection(*oldest, ConnectionEnd::evicted);
    return true;
}

void ConnectionPool::start(const std::string& address, std::string request,
                           std::shared_ptr<UpstreamCall> carried, bool fresh) {
    if (Connection* link = fresh ? nullptr : find_idle(address)) {
        link->idle = false;
        link->carried = std::move(carried);
        by_call_[link->carried.get()] = link;
        return attach(*link, std::move(request));
    }
    const bool room = make_room();
    connections_.push_back(std::make_unique<Connection>());
    Connection& link = *connections_.back();
    link.self = std::prev(connections_.end());
    link.address = address;
    link.request = std::move(request);
    link.carried = std::move(carried);
    by_call_[link.carried.get()] = &link;
    if (!room) {
        link.dial = std::make_unique<net::Timer>(loop_, [this, &link] { on_connected(link, UV_EMFILE); });
        return link.dial->fire_after(0);
    }
    link.dial_until = net::now() + config_.connect_timeout;
    connect(link);
}

// Opens the link's connection. Whatever the outcome, it is told by the loop's next turn: callers of start()
// may not be called back from here.
void ConnectionPool::connect(Connection& link) {
    link.stream = std::make_unique<net::TcpStream>(loop_);
    link.stream->on_data = [this, &link](std::string_view b) { on_data(link, b); };
    link.stream->on_end = [this, &link](int) { on_connection_closed(link); };
    const int error =
        link.stream->connect(link.address, config_.source, [this, &link](int e) { on_connected(link, e); });
    link.dial = std::make_unique<net::Timer>(
        loop_, [this, &link, error] { on_connected(link, error != 0 ? error : UV_ETIMEDOUT); });
    if (error != 0) {
        link.dial->fire_after(0);
    } else {
        link.dial->fire_after_poll(std::max(0.0, link.dial_until - net::now()));
    }
}

void ConnectionPool::on_connected(Connection& link, int error) {
    if (link.gone || link.connected) return;
    if (link.dial) link.dial->stop();
    if (error != 0) {
        // Guards against a server blamed, or an attempt lost, for what this host is short of for a moment.
        const auto what = net::classify_connect_error(error);
        const bool own = what == net::ErrorClass::host_resources || what == net::ErrorClass::retry_now;
        if (own && link.stream && net::now() + kDialPause < link.dial_until) {
            link.dial = std::make_unique<net::Timer>(loop_, [this, &link] {
                if (!link.gone) connect(link);
            });
            return link.dial->fire_after(kDialPause);
        }
        const auto carried = link.carried;
        erase_connection(link, ConnectionEnd::connect_failed);
        if (own) return carried->on_not_sent();
        return carried->on_connect_failed();
    }
    link.connected = true;
    attach(link, std::move(link.request));
}

void ConnectionPool::attach(Connection& link, std::string request) {
    const auto carried = link.carried;
    if (!carried->may_start()) {
        // Nothing has been written: the connection stays good.
        by_call_.erase(carried.get());
        link.carried.reset();
        link.stream->set_reading(true);
        keep_idle(link);
        return carried->on_not_sent();
    }
    carried->stamp_request(request);
    carried->on_first_byte_sent();
    link.stream->set_reading(true);
    link.stream->on_drain = [&link] {
        link.stream->on_drain = nullptr;
        if (link.carried) link.carried->on_request_written();
    };
    link.stream->write(std::move(request));
    if (link.stream->queued() > 0) return;
    link.stream->on_drain = nullptr;
    carried->on_request_written();
}

void ConnectionPool::record_use(const Connection& link, bool broke) {
    reuse_policy_.on_request_ended(link.idle_for, broke);
    ++(link.idle_for < 0 ? counters_.new_connections : counters_.reused);
    if (broke) ++(link.idle_for < 0 ? counters_.new_broken : counters_.reused_broken);
}

void ConnectionPool::on_data(Connection& link, std::string_view bytes) {
    if (link.gone) return;
    const net::ActivityScope doing(loop_, "engines");
    if (link.idle || !link.carried) return erase_connection(link, ConnectionEnd::unexpected_bytes);
    const auto carried = link.carried;
    if (!std::exchange(link.heard, true)) record_use(link, false);
    carried->on_data(bytes);
    if (!link.gone) keep_or_close(link);
}

void ConnectionPool::on_connection_closed(Connection& link) {
    if (link.gone) return;
    const auto carried = link.carried;
    if (carried && link.connected && !link.heard) record_use(link, true);
    erase_connection(link, link.connected ? ConnectionEnd::closed_by_peer : ConnectionEnd::connect_failed);
    if (carried) carried->on_connection_closed();
}

void ConnectionPool::keep_or_close(Connection& link) {
    if (!link.carried || !link.carried->is_over()) return;
    if (link.carried->is_lingering()) return;
    if (!link.carried->is_reusable() || idle_by_address_[link.address].size() >= config_.max_idle_per_address)
        return erase_connection(link, ConnectionEnd::not_reusable);
    by_call_.erase(link.carried.get());
    link.carried.reset();
    keep_idle(link);
}

void ConnectionPool::keep_idle(Connection& link) {
    link.idle = true;
    link.idle_since = net::now();
    if (link.paused) link.paused = false, link.stream->set_reading(true);
    idle_by_address_[link.address].push_back(&link);
    if (!idle_timer_set_) idle_timer_set_ = true, idle_timer_.fire_after(config_.idle_timeout);
}

void ConnectionPool::erase_connection(Connection& link, ConnectionEnd why) {
    if (link.gone) return;
    ++counters_.ended_by_cause[static_cast<std::size_t>(why)];
    link.gone = true;
    if (link.carried) by_call_.erase(link.carried.get());
    if (link.idle) std::erase(idle_by_address_[link.address], &link);
    link.carried.reset();
    link.stream.reset();
    closed_connections_.splice(closed_connections_.end(), connections_, link.self);
    cleanup_timer_.fire_after(0);
}

void ConnectionPool::cleanup() {
    closed_connections_.clear();
    ended_detached_calls_.clear();
}

void ConnectionPool::close_idle() {
    const Millis now = net::now();
    bool left = false;
    for (auto& [address, links] : idle_by_address_) {
        for (std::size_t i = links.size(); i-- > 0;) {
            if (now - links[i]->idle_since >= config_.idle_timeout)
                erase_connection(*links[i], ConnectionEnd::idle);
        }
        left |= !links.empty();
    }
    std::erase_if(idle_by_address_, [](const auto& of) { return of.second.empty(); });
    idle_timer_set_ = left;
    if (left) idle_timer_.fire_after(config_.idle_timeout / 4);
}

void ConnectionPool::pause(const UpstreamCall& carried, bool on) {
    const auto it = by_call_.find(&carried);
    if (it == by_call_.end() || it->second->gone || !it->second->connected) return;
    it->second->paused = on;
    it->second->stream->set_reading(!on);
}

void ConnectionPool::close(const UpstreamCall& carried) {
    const auto it = by_call_.find(&carried);
    if (it != by_call_.end()) erase_connection(*it->second, ConnectionEnd::cancelled);
}

void ConnectionPool::send_detached(const std::string& address, engine::UpstreamRequest wanted, Millis limit) {
    detached_calls_.push_back(std::make_unique<DetachedCall>());
    DetachedCall& pool = *detached_calls_.back();
    pool.self = std::prev(detached_calls_.end());
    pool.address = address;
    pool.request = render(address, wanted, false);
    pool.until = net::now() + limit;
    pool.timer = std::make_unique<net::Timer>(loop_, [this, &pool] {
        if (pool.sent || net::now() >= pool.until) return end_detached(pool);
        try_detached(pool);
    });
    try_detached(pool);
}

// A let-go may be sent twice without harm, so until one connection takes it others are tried.
void ConnectionPool::try_detached(DetachedCall& pool) {
    pool.stream = std::make_unique<net::TcpStream>(loop_);
    pool.stream->on_end = [this, &pool](int) { end_detached(pool); };
    const int error = pool.stream->connect(pool.address, config_.source, [this, &pool](int e) {
        if (e != 0) return pool.timer->fire_after(50);
        pool.sent = true;
        pool.stream->set_reading(true);
        pool.stream->write(pool.request);
        pool.timer->fire_after_poll(std::max(1000.0, pool.until - net::now()));
    });
    pool.timer->fire_after_poll(error != 0 ? 50 : config_.connect_timeout);
}

void ConnectionPool::end_detached(DetachedCall& pool) {
    pool.stream.reset();
    pool.timer->stop();
    ended_detached_calls_.splice(ended_detached_calls_.end(), detached_calls_, pool.self);
    cleanup_timer_.fire_after(0);
}

}  // namespace gorsenotch::proxy
