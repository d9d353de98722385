#include "proxy/connection_pool.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/socket_error.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::proxy {
namespace {

// Until connecting is retried after a failure for lack of this host's resources.
constexpr Millis kConnectRetryDelay = 10;

// Stands for a new connection in ConnectionReusePolicy::on_request_ended().
constexpr Millis kNewConnectionIdleTime = -1;

bool is_local_failure(int error) {
    const auto kind = net::classify_connect_error(error);
    return kind == net::ErrorClass::host_resources || kind == net::ErrorClass::retry_now;
}

}  // namespace

// One connection, owned by the pool. Only the pool's functions change `call` and `state`.
struct ConnectionPool::Connection {
    enum class State {
        connecting,
        busy,    // carries `call`
        idle,    // waits for a request, listed in idle_by_address_
        ending,  // its call was given up; waits for the server's end of the connection
        closed,  // its stream is destroyed; its memory is freed in a later loop iteration
    };

    State state = State::connecting;
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> connect_timer;
    std::unique_ptr<net::Timer> ending_timer;
    std::function<void()> on_peer_closed;  // while `ending`
    std::string address;
    OutboundRequest request;  // stored until the connection is established
    std::shared_ptr<UpstreamCall> call;
    Connections::iterator self;
    Millis connect_deadline = 0;
    Millis idle_since = 0;
    std::optional<Millis> idle_before_use;  // idle time before the current request; none: new connection
    bool response_started = false;          // a byte of the response has arrived
    bool paused = false;
};

ConnectionPool::ConnectionPool(net::EventLoop& loop, Config config)
    : loop_(loop),
      config_(std::move(config)),
      idle_timer_(loop, [this] { close_expired_idle(); }),
      cleanup_timer_(loop, [this] { closed_connections_.clear(); }),
      detached_calls_(loop, config_.source, config_.connect_timeout) {}
ConnectionPool::~ConnectionPool() = default;

std::string ConnectionPool::render(const std::string& address, const proxy::UpstreamRequest& request,
                                   bool keep_alive) {
    http::Headers headers = {{"host", address},
                             {"connection", keep_alive ? "keep-alive" : "close"},
                             {"content-length", std::to_string(request.body.size())}};
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    return http::request_head(request.method, request.target, headers) + request.body;
}

ConnectionPool::Connection* ConnectionPool::acquire_idle(const std::string& address) {
    const auto found = idle_by_address_.find(address);
    if (found == idle_by_address_.end()) return nullptr;
    std::vector<Connection*>& idle = found->second;
    const double draw = std::uniform_real_distribution<double>()(random_);  // one draw for all of them
    for (std::size_t i = idle.size(); i-- > 0;) {
        Connection* connection = idle[i];
        const Millis idle_for = net::now() - connection->idle_since;
        if (!may_reuse(*connection, idle_for, draw)) continue;
        connection->idle_before_use = idle_for;
        connection->response_started = false;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        return connection;
    }
    return nullptr;
}

bool ConnectionPool::may_reuse(const Connection& connection, Millis idle_for, double draw) const {
    // Guards against bytes that follow a response and are taken for the next one: a connection is not reused
    // in the loop iteration in which its last response ended. May open one more connection where requests
    // follow each other at once.
    if (config_.cooldown && connection.idle_since > loop_.last_poll()) return false;
    if (config_.learn_reuse && !reuse_policy_.should_reuse(idle_for, draw)) return false;
    // Guards against a request written to a connection on which the server's FIN or other bytes lie unread.
    // Costs one system call per request.
    return !connection.stream->has_unread_input();
}

bool ConnectionPool::has_idle(const std::string& address) const {
    const auto found = idle_by_address_.find(address);
    return found != idle_by_address_.end() && !found->second.empty();
}

bool ConnectionPool::make_room() {
    if (connections_.size() < config_.max_connections) return true;
    const auto ending = std::find_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->state == Connection::State::ending;
    });
    if (ending != connections_.end()) {
        erase_connection(**ending, ConnectionEnd::cancelled);
        return true;
    }
    Connection* oldest = nullptr;
    for (const auto& [address, idle] : idle_by_address_) {
        for (Connection* connection : idle) {
            if (!oldest || connection->idle_since < oldest->idle_since) oldest = connection;
        }
    }
    if (!oldest) return false;
    erase_connection(*oldest, ConnectionEnd::evicted);
    return true;
}

void ConnectionPool::start(const std::string& address, OutboundRequest request,
                           std::shared_ptr<UpstreamCall> call, bool force_new) {
    if (Connection* idle = force_new ? nullptr : acquire_idle(address)) {
        idle->call = std::move(call);
        by_call_[idle->call.get()] = idle;
        return send_request(*idle, std::move(request));
    }
    const bool has_room = make_room();
    connections_.push_back(std::make_unique<Connection>());
    Connection& connection = *connections_.back();
    connection.self = std::prev(connections_.end());
    connection.address = address;
    connection.request = std::move(request);
    connection.call = std::move(call);
    by_call_[connection.call.get()] = &connection;
    if (!has_room) {
        connection.connect_timer = std::make_unique<net::Timer>(
            loop_, [this, &connection] { on_connect_result(connection, UV_EMFILE); });
        return connection.connect_timer->fire_after(0);
    }
    connection.connect_deadline = net::now() + config_.connect_timeout;
    connect(connection);
}

// Every outcome is reported in a later loop iteration: start() must not run callbacks from here.
void ConnectionPool::connect(Connection& connection) {
    connection.stream = std::make_unique<net::TcpStream>(loop_);
    connection.stream->on_data = [this, &connection](std::string_view bytes) { on_data(connection, bytes); };
    connection.stream->on_end = [this, &connection](int error) { on_connection_closed(connection, error); };
    const int error = connection.stream->connect(
        connection.address, config_.source,
        [this, &connection](int result) { on_connect_result(connection, result); });
    connection.connect_timer = std::make_unique<net::Timer>(loop_, [this, &connection, error] {
        on_connect_result(connection, error != 0 ? error : UV_ETIMEDOUT);
    });
    if (error != 0) {
        connection.connect_timer->fire_after(0);
    } else {
        connection.connect_timer->fire_after_poll(std::max(0.0, connection.connect_deadline - net::now()));
    }
}

void ConnectionPool::on_connect_result(Connection& connection, int error) {
    if (connection.state != Connection::State::connecting) return;
    if (connection.connect_timer) connection.connect_timer->stop();
    if (error != 0) return on_connect_error(connection, error);
    send_request(connection, std::move(connection.request));
}

// Guards against blaming a server, or losing an attempt, for a temporary shortage of this host's resources.
void ConnectionPool::on_connect_error(Connection& connection, int error) {
    const bool local = is_local_failure(error);
    if (local && connection.stream && net::now() + kConnectRetryDelay < connection.connect_deadline) {
        connection.connect_timer = std::make_unique<net::Timer>(loop_, [this, &connection] {
            if (connection.state != Connection::State::closed) connect(connection);
        });
        return connection.connect_timer->fire_after(kConnectRetryDelay);
    }
    const auto call = connection.call;
    erase_connection(connection, ConnectionEnd::connect_failed);
    if (local) return call->on_not_sent();
    return call->on_connect_failed();
}

void ConnectionPool::send_request(Connection& connection, OutboundRequest request) {
    connection.state = Connection::State::busy;
    const auto call = connection.call;
    if (!call->may_start()) {
        // Nothing has been written: the connection can carry another request.
        by_call_.erase(call.get());
        connection.call.reset();
        connection.stream->set_reading(true);
        add_idle(connection);
        return call->on_not_sent();
    }
    call->stamp_request(request.head);
    call->on_first_byte_sent();
    connection.stream->set_reading(true);
    connection.stream->on_drain = [&connection] {
        connection.stream->on_drain = nullptr;
        if (connection.call) connection.call->on_request_written();
    };
    connection.stream->write(std::move(request.head), std::move(request.body));
    if (connection.stream->queued() > 0) return;
    connection.stream->on_drain = nullptr;
    call->on_request_written();
}

void ConnectionPool::record_use(const Connection& connection, bool failed) {
    reuse_policy_.on_request_ended(connection.idle_before_use.value_or(kNewConnectionIdleTime), failed);
    const bool reused = connection.idle_before_use.has_value();
    ++(reused ? counters_.reused : counters_.new_connections);
    if (failed) ++(reused ? counters_.reused_failed : counters_.new_failed);
}

void ConnectionPool::on_data(Connection& connection, std::string_view bytes) {
    if (connection.state == Connection::State::closed || connection.state == Connection::State::ending)
        return;
    const net::ActivityScope activity(loop_, "engines");
    if (connection.state != Connection::State::busy)
        return erase_connection(connection, ConnectionEnd::unexpected_bytes);
    const auto call = connection.call;
    if (!std::exchange(connection.response_started, true)) record_use(connection, false);
    call->on_data(bytes);
    if (connection.state != Connection::State::closed) keep_or_close(connection);
}

void ConnectionPool::on_connection_closed(Connection& connection, int error) {
    if (connection.state == Connection::State::closed) return;
    if (connection.state == Connection::State::ending) return on_peer_ended(connection, error);
    const auto call = connection.call;
    const bool connected = connection.state != Connection::State::connecting;
    if (call && connected && !connection.response_started) record_use(connection, true);
    erase_connection(connection, connected ? ConnectionEnd::closed_by_peer : ConnectionEnd::connect_failed);
    if (call) call->on_connection_closed();
}

void ConnectionPool::keep_or_close(Connection& connection) {
    const auto& call = connection.call;
    if (!call || !call->has_outcome()) return;
    if (call->awaits_message_end()) return;
    const bool has_room = idle_by_address_[connection.address].size() < config_.max_idle_per_address;
    if (!call->is_reusable() || !has_room) return erase_connection(connection, ConnectionEnd::not_reusable);
    by_call_.erase(call.get());
    connection.call.reset();
    add_idle(connection);
}

void ConnectionPool::add_idle(Connection& connection) {
    connection.state = Connection::State::idle;
    connection.idle_since = net::now();
    if (std::exchange(connection.paused, false)) connection.stream->set_reading(true);
    idle_by_address_[connection.address].push_back(&connection);
    if (!std::exchange(idle_timer_set_, true)) idle_timer_.fire_after(config_.idle_timeout);
}

void ConnectionPool::erase_connection(Connection& connection, ConnectionEnd cause) {
    if (connection.state == Connection::State::closed) return;
    ++counters_.ended_by_cause[static_cast<std::size_t>(cause)];
    if (connection.call) by_call_.erase(connection.call.get());
    if (connection.state == Connection::State::idle)
        std::erase(idle_by_address_[connection.address], &connection);
    connection.state = Connection::State::closed;
    connection.call.reset();
    connection.request = {};
    connection.stream.reset();
    closed_connections_.splice(closed_connections_.end(), connections_, connection.self);
    cleanup_timer_.fire_after(0);
}

void ConnectionPool::close_expired_idle() {
    const Millis now = net::now();
    bool any_idle = false;
    for (auto& [address, idle] : idle_by_address_) {
        for (std::size_t i = idle.size(); i-- > 0;) {
            if (now - idle[i]->idle_since >= config_.idle_timeout)
                erase_connection(*idle[i], ConnectionEnd::idle);
        }
        any_idle |= !idle.empty();
    }
    std::erase_if(idle_by_address_, [](const auto& entry) { return entry.second.empty(); });
    idle_timer_set_ = any_idle;
    if (any_idle) idle_timer_.fire_after(config_.idle_timeout / 4);
}

void ConnectionPool::pause(const UpstreamCall& call, bool paused) {
    const auto found = by_call_.find(&call);
    if (found == by_call_.end()) return;
    Connection& connection = *found->second;
    if (connection.state != Connection::State::busy) return;
    connection.paused = paused;
    connection.stream->set_reading(!paused);
}

void ConnectionPool::close(const UpstreamCall& call) {
    const auto found = by_call_.find(&call);
    if (found != by_call_.end()) erase_connection(*found->second, ConnectionEnd::cancelled);
}

void ConnectionPool::end_sending(const UpstreamCall& call, Millis timeout,
                                 std::function<void()> on_peer_closed) {
    const auto found = by_call_.find(&call);
    if (found == by_call_.end()) return;
    Connection& connection = *found->second;
    const bool written = connection.state == Connection::State::busy && connection.stream->queued() == 0;
    if (!written) return erase_connection(connection, ConnectionEnd::cancelled);
    by_call_.erase(found);
    connection.call.reset();
    connection.state = Connection::State::ending;
    connection.on_peer_closed = std::move(on_peer_closed);
    connection.stream->set_reading(true);
    connection.stream->shutdown_write();
    connection.ending_timer = std::make_unique<net::Timer>(
        loop_, [this, &connection] { erase_connection(connection, ConnectionEnd::cancelled); });
    connection.ending_timer->fire_after(timeout);
}

// The server ended a connection whose call was given up. Other errors than its reset come from this host.
void ConnectionPool::on_peer_ended(Connection& connection, int error) {
    const auto on_peer_closed = std::move(connection.on_peer_closed);
    erase_connection(connection, ConnectionEnd::cancelled);
    if (error == 0 || error == UV_ECONNRESET) on_peer_closed();
}

ConnectionPool::PendingBytes ConnectionPool::pending_bytes() const {
    PendingBytes pending;
    for (const auto& connection : connections_) {
        pending.for_connection += connection->request.size();
        if (connection->stream) pending.for_socket += connection->stream->queued();
    }
    return pending;
}

void ConnectionPool::send_detached(const std::string& address, const proxy::UpstreamRequest& request,
                                   Millis timeout) {
    detached_calls_.send(address, render(address, request, false), timeout);
}

}  // namespace gorsenotch::proxy
