#include "platform/client_connections.h"

#include <utility>

#include "net/clock.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"

namespace gorsenotch::platform {
namespace {

constexpr Millis kTimeoutCheckInterval = 100;
// Before a new connection without a request may be closed to make room: its request may be on its way.
constexpr Millis kMinSilence = 100;

}  // namespace

ClientConnections::ClientConnections(net::EventLoop& loop, const settings::NamedSettings& named,
                                     RequestLifecycle& lifecycle, Config config)
    : loop_(loop),
      listen_address_(std::move(config.listen)),
      group_(named, lifecycle, config.limits),
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

void ClientConnections::stop_accepting() {
    group_.draining = true;
    group_.accepting_stopped = true;
    // Where accepting fails for a moment what waits is taken by the next call.
    if (listener_ && listener_->accept_all_pending()) listener_.reset();
    for (auto it = connections_.begin(); it != connections_.end();) {
        ClientConnection& connection = **it++;
        if (connection.idle()) connection.close_idle(EndReason::draining);
    }
}

// ---- new connections ------------------------------------------------------------------------------------

void ClientConnections::on_accepted(std::unique_ptr<net::TcpStream> stream) {
    ++group_.counters.accepted;
    const bool has_room = make_room();
    ClientConnection& connection = add(std::move(stream));
    if (!has_room) connection.reject_unread();
}

// Guards against connections that wait for as long as this process holds descriptors for idle ones. One for
// each failure: a want that lasts ends them one by one, each with what came on it served.
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
    if (connections_.size() >= max_connections + kEndingMost) {
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
        if (!longest || connection->since() < longest->since()) longest = connection.get();
    }
    return longest;
}

// The one that has said nothing for longest, else the one idle for longest: only such may be ended.
ClientConnection* ClientConnections::longest_idle() {
    const Millis now = net::now();
    ClientConnection* longest_silent = nullptr;
    ClientConnection* longest_idle = nullptr;
    for (const auto& connection : connections_) {
        const Millis min_age = connection->fresh() ? kMinSilence : group_.limits.min_idle;
        if (!connection->idle() || now - connection->since() < min_age) continue;
        ClientConnection*& longest = connection->fresh() ? longest_silent : longest_idle;
        if (longest && connection->since() >= longest->since()) continue;
        if (!connection->has_unread_input()) longest = connection.get();
    }
    return longest_silent ? longest_silent : longest_idle;
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
    // The list may grow or shrink as bytes are written.
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
    for (auto it = connections_.begin(); it != connections_.end();) {
        ClientConnection& connection = **it++;
        connection.enforce_timeouts(now, crowded);
    }
}

}  // namespace gorsenotch::platform
