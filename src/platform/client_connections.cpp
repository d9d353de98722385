#include "platform/client_connections.h"

#include <functional>
#include <numeric>
#include <utility>

#include "net/clock.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"

namespace gorsenotch::platform {
namespace {

constexpr Millis kTimeoutCheckInterval = 100;
// Age at which a new connection without a request may be evicted: a request may still be in transit before.
constexpr Millis kMinFreshAge = 100;

}  // namespace

ClientConnections::ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named,
                                     RequestLifecycle& lifecycle, control::MemoryBudget& memory,
                                     Config config)
    : loop_(loop),
      listen_address_(std::move(config.listen)),
      group_(named, lifecycle, memory, config.limits),
      timeout_timer_(loop, [this] { enforce_timeouts(); }),
      cleanup_timer_(loop, [this] { removed_.clear(); }),
      flush_call_(loop, [this] { flush(); }) {}

ClientConnections::~ClientConnections() = default;

int ClientConnections::listen() {
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) { on_accepted(std::move(stream)); };
    listener_->on_error = [this](int) { on_accept_failed(); };
    timeout_timer_.fire_after(kTimeoutCheckInterval);
    return listener_->listen(listen_address_);
}

template <class Visit>
void ClientConnections::for_each_connection(Visit visit) {
    for (auto it = connections_.begin(); it != connections_.end();) {
        ClientConnection& connection = **it++;
        visit(connection);
    }
}

void ClientConnections::stop_accepting() {
    group_.draining = true;
    group_.accepting_stopped = true;
    // If accepting fails temporarily, the next call accepts the pending connections.
    if (listener_ && listener_->accept_all_pending()) listener_.reset();
    for_each_connection([](ClientConnection& connection) {
        if (connection.idle()) connection.close_idle(EndReason::draining);
    });
}

void ClientConnections::refuse_incomplete_requests() {
    for_each_connection([](ClientConnection& connection) { connection.refuse_incomplete(); });
}

std::size_t ClientConnections::unsent_bytes() const {
    return std::transform_reduce(connections_.begin(), connections_.end(), std::size_t{0}, std::plus<>(),
                                 [](const auto& connection) { return connection->unsent_bytes(); });
}

// ---- new connections ------------------------------------------------------------------------------------

void ClientConnections::on_accepted(std::unique_ptr<net::TcpStream> stream) {
    ++group_.counters.accepted;
    const bool has_room = make_room();
    ClientConnection& connection = add(std::move(stream));
    if (!has_room) connection.reject_unread();
}

// Evicts an idle connection. Guards against new connections waiting while idle ones hold all descriptors. A
// lasting shortage evicts one connection per failed accept, each after its received input is served.
void ClientConnections::on_accept_failed() {
    ++group_.counters.accept_failed;
    if (ClientConnection* connection = longest_idle()) connection->close_idle(EndReason::evicted);
}

ClientConnection& ClientConnections::add(std::unique_ptr<net::TcpStream> stream) {
    ClientConnection::Owner& owner = *this;
    connections_.push_back(std::make_unique<ClientConnection>(owner, group_, std::move(stream)));
    ClientConnection& connection = *connections_.back();
    connection.list_position = std::prev(connections_.end());
    connection.start();
    return connection;
}

// ---- capacity and eviction ------------------------------------------------------------------------------

bool ClientConnections::make_room() {
    const std::size_t max_connections = group_.limits.max_connections;
    if (connections_.size() >= max_connections + kMaxEndingConnections) {
        if (ClientConnection* ending = longest_ending()) ending->close();
    }
    if (connections_.size() - group_.ending < max_connections) return true;
    ClientConnection* idle = longest_idle();
    return idle && idle->close_idle(EndReason::evicted);
}

ClientConnection* ClientConnections::longest_ending() {
    ClientConnection* longest = nullptr;
    for (const auto& connection : connections_) {
        if (connection->state() != ClientConnection::State::ending) continue;
        if (!longest || connection->last_activity() < longest->last_activity()) longest = connection.get();
    }
    return longest;
}

// The oldest connection without any request, else the one that has been idle for longest; null if no
// connection may be evicted.
ClientConnection* ClientConnections::longest_idle() {
    const Millis now = net::now();
    ClientConnection* oldest_fresh = nullptr;
    ClientConnection* oldest_idle = nullptr;
    for (const auto& connection : connections_) {
        const Millis min_age = connection->fresh() ? kMinFreshAge : group_.limits.min_idle;
        if (!connection->idle() || now - connection->last_activity() < min_age) continue;
        ClientConnection*& oldest = connection->fresh() ? oldest_fresh : oldest_idle;
        if (oldest && connection->last_activity() >= oldest->last_activity()) continue;
        if (!connection->has_unread_input()) oldest = connection.get();
    }
    return oldest_fresh ? oldest_fresh : oldest_idle;
}

// ---- the event loop -------------------------------------------------------------------------------------

void ClientConnections::schedule_flush(ClientConnection& connection) {
    if (connection.flush_scheduled) return;
    connection.flush_scheduled = true;
    to_flush_.push_back(&connection);
    flush_call_.schedule();
}

void ClientConnections::flush() {
    std::vector<ClientConnection*> pipelined;
    // Writing may add or remove entries.
    for (std::size_t i = 0; i < to_flush_.size(); ++i) {
        ClientConnection& connection = *to_flush_[i];
        connection.flush_scheduled = false;
        connection.flush();
        if (connection.state() == ClientConnection::State::reading && connection.has_pipelined_input())
            pipelined.push_back(&connection);
    }
    to_flush_.clear();
    for (ClientConnection* connection : pipelined) connection->read_pipelined();
}

void ClientConnections::remove(ClientConnection& connection) {
    if (connection.flush_scheduled) std::erase(to_flush_, &connection);
    removed_.splice(removed_.end(), connections_, connection.list_position);
    cleanup_timer_.fire_after(0);
}

void ClientConnections::enforce_timeouts() {
    const Millis now = net::now();
    timeout_timer_.fire_after(kTimeoutCheckInterval);
    const bool crowded = 2 * connections_.size() > group_.limits.max_connections;
    for_each_connection(
        [now, crowded](ClientConnection& connection) { connection.enforce_timeouts(now, crowded); });
}

}  // namespace gorsenotch::platform
